#include "daemon/client_request.hpp"

#include <array>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);
constexpr unsigned HTTP_1_1 = 11;
/// A Keep-Alive header promises this less than what is kept to, so that a request and the close do not cross.
constexpr Microseconds IDLE_MARGIN = SECOND;

/// All Connection headers of a request as one list.
auto connectionHeader(const HttpRequest& request) -> std::string {
    auto list = std::string();
    for (auto [field, end] = request.equal_range(http::field::connection); field != end; ++field)
        list += (list.empty() ? "" : ",") + std::string(field->value());
    return list;
}

auto connectionHeader(const Headers& headers) -> std::string {
    auto list = std::string();
    for (auto& [name, value] : headers)
        if (beast::iequals(name, "Connection")) list += (list.empty() ? "" : ",") + value;
    return list;
}

/// Whether a response of this status has no body.
auto isBodiless(int status) -> bool { return status == 204 || status == 304 || status / 100 == 1; }

}  // namespace

ClientRequest::ClientRequest(RequestServices services, beast::tcp_stream& stream, beast::flat_buffer& buffer,
    const HttpRequest& request, Microseconds idleLimit)
    : services_(services),
      stream_(stream),
      buffer_(buffer),
      request_(request),
      idleLimit_(idleLimit),
      isHead_(request.method() == http::verb::head),
      isHttp10_(request.version() < HTTP_1_1),
      keepAlive_(request.keep_alive()),
      watch_(std::make_shared<DisconnectWatch>(stream, buffer, [this] { clientGone(); })) {}

auto ClientRequest::run(Microseconds arrived) -> asio::awaitable<bool> {
    auto executor = co_await asio::this_coro::executor;
    submit(arrived, executor);
    watch_->start();
    auto next = Next::Wait;
    while (next == Next::Wait) {
        next = co_await writeProgress();
        if (next != Next::Wait || hasProgress()) continue;
        changed_->expires_at(asio::steady_timer::time_point::max());
        co_await changed_->async_wait(quiet);
    }
    watch_->stop();
    finish();
    co_return next == Next::Reuse;
}

// Gives the request to the edge; from here on its response may grow.
auto ClientRequest::submit(Microseconds arrived, const asio::any_io_executor& executor) -> void {
    auto headers = requestHeaders();
    changed_ = std::make_shared<asio::steady_timer>(executor);
    auto lock = std::lock_guard(services_.logic.mutex);
    number_ = services_.logic.edge->accept(std::string(request_.method_string()),
        std::string(request_.target()), headers, request_.body(), bootNow(), arrived);
    response_ = services_.responses.of(number_);
    auto responseLock = std::lock_guard(response_->mutex);
    response_->wake = [&workers = services_.workers, executor, changed = changed_] {
        // The only worker needs no handler in its queue.
        if (workers.onOnlyWorker()) changed->cancel();
        else asio::post(executor, [changed] { changed->cancel(); });
    };
}

// What concerns this connection only is not passed on, nor what its Connection header names.
auto ClientRequest::requestHeaders() const -> Headers {
    auto headers = Headers();
    auto connection = connectionHeader(request_);
    for (auto& field : request_) {
        auto name = std::string_view(field.name_string().data(), field.name_string().size());
        if (!isHopByHopHeader(name, connection))
            headers.emplace_back(std::string(name), std::string(field.value()));
    }
    return headers;
}

auto ClientRequest::clientGone() -> void {
    auto lock = std::lock_guard(services_.logic.mutex);
    services_.logic.edge->clientClosed(number_, bootNow());
    services_.responses.end(number_, ClientResponse::End::Cut);
}

auto ClientRequest::finish() -> void {
    auto lock = std::lock_guard(services_.logic.mutex);
    services_.logic.edge->clientClosed(number_, bootNow());
    services_.responses.erase(number_);
}

// While this process stops, a response ends its connection; but not before the client's next request, if that
// has been read already.
auto ClientRequest::staysOpen(const Progress& progress) const -> bool {
    if (!request_.keep_alive() || (progress.streamed && isHttp10_)) return false;
    return !services_.logic.closing || buffer_.size() > 0;
}

auto ClientRequest::takeProgress() -> Progress {
    auto progress = Progress();
    auto lock = std::lock_guard(response_->mutex);
    progress.headReady = response_->headReady;
    progress.streamed = response_->streamed;
    progress.end = response_->end;
    if (!progress.headReady) return progress;
    if (!headWritten_) {
        progress.status = response_->status;
        progress.headers = response_->headers;
    }
    progress.parts.swap(response_->parts);
    response_->heldBytes = 0;
    return progress;
}

auto ClientRequest::hasProgress() -> bool {
    auto lock = std::lock_guard(response_->mutex);
    if (response_->end != ClientResponse::End::Open) return true;
    return response_->headReady && (!headWritten_ || !response_->parts.empty());
}

auto ClientRequest::writeProgress() -> asio::awaitable<Next> {
    auto progress = takeProgress();
    if (!progress.headReady) {
        auto over = progress.end != ClientResponse::End::Open;
        co_return over ? Next::Close : Next::Wait;
    }
    if (!headWritten_) keepAlive_ = staysOpen(progress);
    if (!keepAlive_) watch_->stopReadingAhead();
    if (!headWritten_ && !progress.streamed) co_return co_await writeWhole(progress);
    co_return co_await writeStreamed(progress);
}

// A response of known length, in one write.
auto ClientRequest::writeWhole(const Progress& progress) -> asio::awaitable<Next> {
    headWritten_ = true;
    auto head = responseHead(progress);
    auto body = std::string();
    if (!isBodiless(progress.status) && !isHead_) {
        if (!progress.parts.empty()) body = progress.parts.front();
        head += fmt::format("Content-Length: {}\r\n", body.size());
    }
    head += "\r\n";
    stream_.expires_after(std::chrono::microseconds(CLIENT_WRITE_TIMEOUT));
    auto bytes = std::array{asio::buffer(head), asio::buffer(body)};
    auto [failed, count] = co_await asio::async_write(stream_, bytes, quiet);
    co_return failed ? Next::Close : afterWholeResponse();
}

// The next piece of a streamed response, the head before the first one.
auto ClientRequest::writeStreamed(const Progress& progress) -> asio::awaitable<Next> {
    auto text = std::string();
    if (!headWritten_) {
        text = responseHead(progress);
        if (!services_.logic.edge->dialect().passThroughHeaders) text += "Cache-Control: no-cache\r\n";
        text += isHttp10_ ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n";
        // Without chunks only a reset shows that the end came early.
        if (isHttp10_) setResetOnClose(stream_.socket().native_handle(), true);
    }
    headWritten_ = true;
    text += streamText(progress);
    if (!text.empty()) {
        stream_.expires_after(std::chrono::microseconds(CLIENT_WRITE_TIMEOUT));
        auto [failed, count] = co_await asio::async_write(stream_, asio::buffer(text), quiet);
        stream_.expires_never();
        if (failed) co_return Next::Close;
    }
    if (progress.end == ClientResponse::End::Open) co_return Next::Wait;
    co_return afterEnd(progress);
}

// A response's head up to its length. What the logic gives is kept as it is, less what concerns one
// connection.
auto ClientRequest::responseHead(const Progress& progress) const -> std::string {
    auto reason = std::string(http::obsolete_reason(http::status(progress.status)));
    auto head = fmt::format("HTTP/1.1 {} {}\r\n", progress.status, reason);
    auto connection = connectionHeader(progress.headers);
    for (auto& [name, value] : progress.headers) {
        auto kept =
            !isHopByHopHeader(name, connection) || (isHead_ && beast::iequals(name, "Content-Length"));
        if (kept) head += fmt::format("{}: {}\r\n", name, value);
    }
    if (!keepAlive_) return head + "Connection: close\r\n";
    if (isHttp10_) head += "Connection: keep-alive\r\n";
    if (idleLimit_ >= 2 * SECOND)
        head += fmt::format("Keep-Alive: timeout={}\r\n", (idleLimit_ - IDLE_MARGIN) / SECOND);
    return head;
}

auto ClientRequest::streamText(const Progress& progress) const -> std::string {
    auto text = std::string();
    if (isHead_) return text;
    for (auto& part : progress.parts) {
        if (part.empty()) continue;
        if (isHttp10_) text += part;
        else text += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
    }
    // No final chunk for a stream that is not whole.
    if (progress.end == ClientResponse::End::Whole && !isHttp10_) text += "0\r\n\r\n";
    return text;
}

auto ClientRequest::afterWholeResponse() -> Next {
    closesKeptConnection_ = !keepAlive_ && request_.keep_alive();
    return keepAlive_ ? Next::Reuse : Next::Close;
}

auto ClientRequest::afterEnd(const Progress& progress) -> Next {
    if (progress.end != ClientResponse::End::Whole) return Next::Close;
    if (isHttp10_) setResetOnClose(stream_.socket().native_handle(), false);
    return afterWholeResponse();
}

}  // namespace duneturn
