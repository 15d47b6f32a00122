#pragma once
// What the shells share of HTTP: Beast types, the split of event streams, one call.
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "edge.hpp"

namespace dt {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Req = http::request<http::string_body>;
using Res = http::response<http::string_body>;

/// Splits a text/event-stream into its events, whatever the pieces it comes in.
struct EventSplit {
    Str buf;
    std::size_t limit = 256 * 1024;
    auto feed(View s) -> void { buf += s; }
    /// The next whole event; false if there is none yet.
    auto next(Event& e) -> bool;
    auto tooLong() const -> bool { return buf.size() > limit; }
};

struct CallError {
    Str why;
};
/// One blocking call of another process, for the command line.
auto call(const Str& addr, const Str& method, const Str& path, const Str& body, const Headers& h, Us limit)
    -> tl::expected<Res, CallError>;

auto endpoint(const Str& addr) -> tcp::endpoint;

}  // namespace dt
