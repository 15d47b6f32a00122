#include "daemon/client_session.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "base/json.hpp"
#include "base/time.hpp"
#include "control/operator_connection_watch.hpp"
#include "daemon/limits.hpp"
#include "daemon/node_shell.hpp"
#include "net/socket.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr unsigned HTTP_1_1 = 11;

/// Whether the bytes read are no request, and not only the connection's end.
auto isMalformed(beast::error_code fault) -> bool {
    auto& parsing = http::make_error_code(http::error::bad_method).category();
    return fault.category() == parsing && fault != http::error::end_of_stream
        && fault != http::error::partial_message;
}

/// Why a request that could not be read is rejected; empty if nobody waits for an answer.
auto rejectionOf(beast::error_code fault) -> std::optional<Rejection> {
    using http::status;
    if (fault == http::error::header_limit)
        return Rejection{status::request_header_fields_too_large, "the header is too large"};
    if (fault == http::error::body_limit)
        return Rejection{status::payload_too_large, "the body is too large"};
    if (fault == beast::error::timeout)
        return Rejection{status::request_timeout, "the request came too slowly"};
    if (isMalformed(fault)) return Rejection{status::bad_request, "malformed request: " + fault.message()};
    return std::nullopt;
}

}  // namespace

ClientSession::ClientSession(
    SessionContext& context, ListenerKind kind, std::string address, tcp::socket socket)
    : context_(context),
      kind_(kind),
      address_(std::move(address)),
      stream_(std::make_shared<beast::tcp_stream>(std::move(socket))),
      buffer_(CONNECTION_BUFFER_BYTES) {}

auto ClientSession::run() -> asio::awaitable<void> {
    configureSocket(stream_->socket().native_handle(), CLIENT_UNACKNOWLEDGED_LIMIT);
    context_.sessions++;
    auto more = true;
    while (more) more = co_await serveNext();
    endIdle();
    close();
    context_.sessions--;
}

// Reads one request and has it answered. Whether the connection may carry another.
auto ClientSession::serveNext() -> asio::awaitable<bool> {
    auto limits = this->limits();
    auto arrived = bootNow();
    if (buffer_.size() == 0) {
        auto begun = co_await waitForFirstByte(limits);
        if (!begun) co_return false;
        arrived = bootNow();
    }
    auto isOfClient = kind_ == ListenerKind::Client;
    context_.requestsUnderWay += int(isOfClient);
    auto more = co_await serveRequest(limits, arrived);
    context_.requestsUnderWay -= int(isOfClient);
    co_return more;
}

auto ClientSession::serveRequest(const ConnectionLimits& limits, Microseconds arrived)
    -> asio::awaitable<bool> {
    auto request = co_await readRequest(limits);
    if (!request) co_return false;
    stream_->expires_never();
    if (isForServers(*request)) co_return co_await forward(*request, arrived);
    co_return co_await serveHere(*request);
}

// Has a request answered by the edge. Whether the connection may carry another.
auto ClientSession::forward(const HttpRequest& request, Microseconds arrived) -> asio::awaitable<bool> {
    auto services = RequestServices{context_.logic, context_.workers, context_.responses};
    auto idleLimit = context_.adapter.present() ? this->limits().idle : Microseconds(0);
    auto forwarded = ClientRequest(services, *stream_, buffer_, request, idleLimit);
    auto reusable = co_await forwarded.run(arrived);
    if (forwarded.closesKeptConnection()) co_await closeGracefully();
    co_return reusable;
}

auto ClientSession::limits() -> ConnectionLimits {
    if (!context_.adapter.present() || kind_ != ListenerKind::Client) return {};
    auto lock = std::lock_guard(context_.logic.mutex);
    return context_.clientLimits;
}

// False if a planned stop takes no further requests.
auto ClientSession::becomeIdle() -> bool {
    auto lock = std::lock_guard(context_.logic.mutex);
    if (context_.logic.refusing) return false;
    context_.idle.insert(stream_);
    return true;
}

auto ClientSession::endIdle() -> void {
    auto lock = std::lock_guard(context_.logic.mutex);
    context_.idle.erase(stream_);
}

// The connection is idle until then. False if no request will come.
auto ClientSession::waitForFirstByte(const ConnectionLimits& limits) -> asio::awaitable<bool> {
    if (buffer_.capacity() > 2 * READ_BYTES) buffer_.shrink_to_fit();
    if (!becomeIdle()) co_return false;
    stream_->expires_after(std::chrono::microseconds(limits.idle));
    auto [failed, count] = co_await stream_->async_read_some(buffer_.prepare(READ_BYTES / 2), quiet);
    endIdle();
    if (failed) co_return false;
    buffer_.commit(count);
    co_return true;
}

// A whole request; empty if none came, or a faulty one, which is answered here.
auto ClientSession::readRequest(const ConnectionLimits& limits)
    -> asio::awaitable<std::optional<HttpRequest>> {
    auto parser = Parser();
    parser.header_limit(std::uint32_t(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    stream_->expires_after(std::chrono::microseconds(limits.headerRead));
    auto [fault, count] = co_await http::async_read_header(*stream_, buffer_, parser, quiet);
    if (!fault && parser.get().count(http::field::transfer_encoding) && !parser.chunked()) {
        auto rejection =
            Rejection{http::status::bad_request, "malformed request: the body's end is not told"};
        co_await reject(rejection);
        co_return std::nullopt;
    }
    // Fields behind a chunked body are no part of the header: they would name another request.
    auto header = http::fields();
    auto chunked = !fault && parser.chunked();
    if (chunked) header = parser.get();
    if (!fault && !parser.is_done()) fault = co_await readBody(parser);
    if (fault) {
        countBadInput(fault);
        auto rejection = rejectionOf(fault);
        if (rejection) co_await reject(*rejection);
        co_return std::nullopt;
    }
    auto request = parser.release();
    if (chunked) static_cast<http::fields&>(request) = std::move(header);
    co_return request;
}

auto ClientSession::countBadInput(beast::error_code fault) -> void {
    if (fault != http::error::end_of_stream && fault != asio::error::operation_aborted)
        context_.counters.add("bad_input_total");
}

auto ClientSession::readBody(Parser& parser) -> asio::awaitable<beast::error_code> {
    stream_->expires_after(std::chrono::microseconds(BODY_READ_TIMEOUT));
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        auto proceed = http::response<http::empty_body>(http::status::continue_, HTTP_1_1);
        co_await http::async_write(*stream_, proceed, quiet);
    }
    auto [fault, count] = co_await http::async_read(*stream_, buffer_, parser, quiet);
    co_return fault;
}

// Answers a request that was not executed; the connection ends with it.
auto ClientSession::reject(Rejection rejection) -> asio::awaitable<void> {
    auto response = HttpResponse(rejection.status, HTTP_1_1);
    response.set(http::field::content_type, "application/json");
    auto& notExecuted = context_.logic.edge->dialect().notExecuted;
    if (!notExecuted.empty()) response.set(notExecuted, "true");
    response.keep_alive(false);
    response.body() = errorBody({{"/", rejection.why}});
    response.prepare_payload();
    stream_->expires_after(std::chrono::microseconds(REJECT_WRITE_TIMEOUT));
    co_await http::async_write(*stream_, response, quiet);
    co_await drainInput();
}

// Ends a connection whose client may be sending a further request.
auto ClientSession::closeGracefully() -> asio::awaitable<void> {
    stream_->expires_after(std::chrono::microseconds(CLOSE_TIMEOUT));
    co_await drainInput();
}

// What still comes is read for a moment: closed with unread bytes, the response would be lost to a reset.
auto ClientSession::drainInput() -> asio::awaitable<void> {
    auto ignored = beast::error_code();
    stream_->socket().shutdown(tcp::socket::shutdown_send, ignored);
    auto bytes = std::array<char, REJECT_DRAIN_STEP_BYTES>();
    for (auto left = REJECT_DRAIN_BYTES; left > 0;) {
        auto [failed, count] = co_await stream_->async_read_some(asio::buffer(bytes), quiet);
        if (failed) co_return;
        left -= std::min(left, count);
    }
}

// Clients of deployments without an adapter may also ask where to go, and for health.
auto ClientSession::isForServers(const HttpRequest& request) const -> bool {
    if (kind_ != ListenerKind::Client) return false;
    if (context_.adapter.present()) return true;
    return !isPublicTarget(std::string(request.target()));
}

// A request that this process answers itself.
auto ClientSession::serveHere(const HttpRequest& request) -> asio::awaitable<bool> {
    auto watch = std::make_shared<OperatorConnectionWatch>(stream_->socket(), bootNow(),
        [&calls = context_.calls](OperatorConnectionWatch& gone) { calls.cancel(gone); });
    watch->start();
    auto shell = NodeShell(context_.logic, context_.calls, context_.settings, watch.get());
    auto response = HttpResponse();
    if (kind_ == ListenerKind::Adapter) response = co_await context_.adapter.serve(address_, request, shell);
    else response = co_await context_.operatorApi.serve(request, shell);
    watch->stop();
    auto keepAlive = request.keep_alive() && !context_.logic.closing;
    response.version(HTTP_1_1);
    response.keep_alive(keepAlive);
    response.prepare_payload();
    stream_->expires_after(std::chrono::microseconds(OPERATOR_WRITE_TIMEOUT));
    auto [failed, count] = co_await http::async_write(*stream_, response, quiet);
    co_return !failed && keepAlive;
}

auto ClientSession::close() -> void {
    auto ignored = beast::error_code();
    // A shutdown would end the connection in order before the reset.
    auto isReset = isResetOnClose(stream_->socket().native_handle());
    if (!isReset) stream_->socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_->socket().close(ignored);
}

}  // namespace duneturn
