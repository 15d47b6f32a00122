#pragma once
// HTTP/1.1 by Boost.Beast: the names under which its parts are used here, and the rules of the protocol that
// Beast leaves to its user (hop-by-hop headers, Keep-Alive, the head of a request, an answer's end).
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "base/time.hpp"
#include "net/headers.hpp"

namespace duneturn {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
/// Messages whose body is a string: most of those here.
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Whether a header concerns one connection only (RFC 9110, section 7.6.1); `connection` is the value of the
/// Connection header, which may name further ones.
[[nodiscard]] auto isHopByHopHeader(std::string_view name, std::string_view connection) -> bool;
/// The seconds of a Keep-Alive header's timeout; -1 if it names none.
[[nodiscard]] auto keepAliveSeconds(std::string_view value) -> std::int64_t;
/// How long a connection may be kept idle after an answer with these headers; 0: not at all.
[[nodiscard]] auto keepFor(const Headers& headers) -> Microseconds;

/// The head of a request to the server at `address`, its empty line included: without hop-by-hop headers,
/// with the body's length, and with Host if `headers` has none.
[[nodiscard]] auto requestHead(const std::string& method, const std::string& target, const Headers& headers,
    std::size_t bodyBytes, const std::string& address, bool keepAlive) -> std::string;

/// Ends the parsing of an answer whose connection was closed in order: no error if the answer is whole.
[[nodiscard]] auto finishAtClose(http::response_parser<http::string_body>& parser) -> beast::error_code;

}  // namespace duneturn
