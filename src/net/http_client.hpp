#pragma once
// One HTTP request to another process, on a connection of its own.
#include <string>

#include <tl/expected.hpp>

#include "base/time.hpp"
#include "net/http.hpp"

namespace duneturn {

/// Why a request got no answer: an address that is none, or an error of the network; names the address.
struct CallError {
    std::string why;
};

/// Sends a request to `address` (IP:PORT) and reads its answer, of at most 64 MiB. A body is sent as
/// application/json. Gives up after `limit`. Runs on the caller's executor.
auto fetch(std::string address, std::string method, std::string path, std::string body, Headers headers,
    Microseconds limit) -> asio::awaitable<tl::expected<HttpResponse, CallError>>;
/// The same, blocking; for the command line.
[[nodiscard]] auto fetchBlocking(const std::string& address, const std::string& method,
    const std::string& path, const std::string& body, const Headers& headers, Microseconds limit)
    -> tl::expected<HttpResponse, CallError>;

}  // namespace duneturn
