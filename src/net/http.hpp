#pragma once
// What the shells share of HTTP: Beast types, the split of event streams, one call.
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"

namespace duneturn {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Splits a text/event-stream into its events, whatever the pieces it comes in.
struct EventStreamSplitter {
    std::string buf;
    std::size_t limit = 256 * 1024;
    auto feed(std::string_view s) -> void { buf += s; }
    /// The next whole event; false if there is none yet.
    auto next(Event& e) -> bool;
    auto tooLong() const -> bool { return buf.size() > limit; }
};

/// What the configuration in force allows a sender: "limits".
struct Limits {
    std::size_t headerBytes = 16 * 1024, bodyBytes = 8u << 20;
    Microseconds headerRead = 10 * SECOND;  // from a request's first byte to its header's last
    Microseconds idle = 60 * SECOND;        // how long a connection may say nothing between requests
};
auto limitsOf(const rapidjson::Value& config) -> Limits;

/// Whether a header concerns one connection only; `connection` is the Connection header's value.
auto isHopByHopHeader(std::string_view name, std::string_view connection) -> bool;
/// The seconds of a Keep-Alive header's timeout; -1 if it names none.
auto keepAliveSeconds(std::string_view value) -> std::int64_t;
/// How long a connection may be kept idle after a reply with these headers; 0: not at all.
auto keepFor(const Headers& h) -> Microseconds;

/// Which idle connections to servers are kept. Bookkeeping only: they are numbers here.
struct IdleConnections {
    std::size_t perServer = 4, all = 512;
    /// Keeps connection `id` to `key` until `till`, of at most `most` there; those given back
    /// must be closed.
    auto put(const std::string& key, std::int64_t id, Microseconds till, Microseconds now,
        std::size_t most = 4) -> std::vector<std::int64_t>;
    /// The one to `key` that was used last; -1 if there is none.
    auto take(const std::string& key, Microseconds now) -> std::int64_t;
    /// Those whose time is over; they must be closed.
    auto expire(Microseconds now) -> std::vector<std::int64_t>;
    auto size() const -> std::size_t { return n_; }

  private:
    struct Idle {
        std::int64_t id;
        Microseconds till;
    };
    std::map<std::string, std::vector<Idle>> m_;
    std::size_t n_ = 0;
};

/// How many idle connections one of `nodes` nodes keeps to a server that accepts `maxConns`
/// from all callers together (0: any number): all nodes' idle ones leave most of them free.
auto idleShare(std::int64_t maxConns, std::size_t nodes) -> std::size_t;

/// A planned stop within a grace: exchanges are taken for a while yet, for senders learn late
/// that this node leaves; then they are refused, and at last what still runs is cut visibly.
struct StopSchedule {
    Microseconds at = 0, grace = 0;  // at 0: no stop has begun
    enum Step { Serve, Refuse, Cut, End };
    /// `busy`: an exchange is under way or its reply not wholly written.
    auto step(Microseconds now, bool busy) const -> Step;
    static constexpr Microseconds FIRST = 1500 * MILLISECOND;
};

/// The head of a request to a server at `address`, with its length and Host if `headers` has none.
auto requestHead(const std::string& method, const std::string& target, const Headers& headers,
    std::size_t bodySize, const std::string& address, bool keepAlive) -> std::string;

/// A server's connection has ended: no error if the reply is whole.
auto finishAtClose(http::response_parser<http::string_body>& p) -> beast::error_code;

struct CallError {
    std::string why;
};
/// One call of another process.
auto fetch(std::string addr, std::string method, std::string path, std::string body, Headers h,
    Microseconds limit) -> asio::awaitable<tl::expected<HttpResponse, CallError>>;
/// The same, blocking; for the command line.
auto call(const std::string& addr, const std::string& method, const std::string& path,
    const std::string& body, const Headers& h, Microseconds limit) -> tl::expected<HttpResponse, CallError>;

auto endpoint(const std::string& addr) -> tcp::endpoint;
/// No delay, and limits on how long a peer may be without a sign of life, since a machine
/// without power says nothing: `unheard` while sent bytes are unacknowledged, else probes.
auto configureSocket(int fd, Microseconds unheard) -> void;

}  // namespace duneturn
