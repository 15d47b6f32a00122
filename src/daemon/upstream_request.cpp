#include "daemon/upstream_request.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include "base/time.hpp"
#include "daemon/limits.hpp"
#include "net/socket.hpp"

namespace duneturn {

namespace {

constexpr auto quiet = asio::as_tuple(asio::use_awaitable);

}  // namespace

UpstreamRequest::UpstreamRequest(std::shared_ptr<Stream> stream, ServerRequest request,
    UpstreamRequestObserver& observer, Microseconds unacknowledgedLimit)
    : stream_(std::move(stream)),
      request_(std::move(request)),
      observer_(observer),
      unacknowledgedLimit_(unacknowledgedLimit),
      answer_(request_.answer),
      acknowledgements_(unacknowledgedLimit) {}

auto UpstreamRequest::run() -> asio::awaitable<Microseconds> {
    auto ignored = beast::error_code();
    auto& socket = stream_->socket();
    if (!socket.non_blocking()) socket.non_blocking(true, ignored);
    writeSome();
    if (writing_ == Writing::UnderWay) {
        auto self = shared_from_this();
        asio::co_spawn(stream_->get_executor(), writeRest(), [self](const std::exception_ptr&) {});
    }
    auto delivery = co_await readAnswer();
    if (delivery != Delivery::Whole) close();
    auto isTaken = co_await awaitTaken(bootNow() + ANSWERED_REQUEST_TIMEOUT);
    if (isTaken) restoreLimit();
    else close();
    co_return delivery == Delivery::Whole&& isTaken ? answer_.keepFor() : 0;
}

auto UpstreamRequest::unwritten() const -> std::array<asio::const_buffer, 2> {
    auto ofHead = std::min(written_, request_.head.size());
    return {asio::buffer(request_.head) + ofHead, asio::buffer(request_.body) + (written_ - ofHead)};
}

// Writes as much as the connection takes now.
auto UpstreamRequest::writeSome() -> void {
    auto& socket = stream_->socket();
    auto bytes = request_.head.size() + request_.body.size();
    auto failed = beast::error_code();
    while (written_ < bytes && !failed) written_ += socket.write_some(unwritten(), failed);
    if (!failed) return finishWriting();
    if (failed != asio::error::would_block) writing_ = Writing::Failed;
}

auto UpstreamRequest::finishWriting() -> void {
    writing_ = Writing::Finished;
    request_.head = request_.body = std::string();  // streams last long
    observer_.onRequestWritten();
}

auto UpstreamRequest::writeRest() -> asio::awaitable<void> {
    while (writing_ == Writing::UnderWay) {
        auto [failed] = co_await stream_->socket().async_wait(tcp::socket::wait_write, quiet);
        if (writing_ != Writing::UnderWay) co_return;
        if (failed) writing_ = Writing::Failed;
        else writeSome();
    }
}

// Waits until the server's machine has all of the request, or `until`. False if it does not get it. Until
// then the connection is of no use to another request, which would wait behind the rest of this one.
auto UpstreamRequest::awaitTaken(std::optional<Microseconds> until) -> asio::awaitable<bool> {
    auto timer = asio::steady_timer(stream_->get_executor());
    while (mayStillBeTaken() && (!until || bootNow() < *until)) {
        timer.expires_after(std::chrono::microseconds(ANSWERED_REQUEST_CHECK_PERIOD));
        co_await timer.async_wait(quiet);
    }
    co_return isTaken();
}

auto UpstreamRequest::isTaken() const -> bool {
    if (writing_ != Writing::Finished || !stream_->socket().is_open()) return false;
    auto queue = sendQueue(stream_->socket().native_handle());
    return !queue || queue->bytes == 0;
}

auto UpstreamRequest::mayStillBeTaken() const -> bool {
    return writing_ != Writing::Failed && stream_->socket().is_open() && !isTaken();
}

auto UpstreamRequest::readAnswer() -> asio::awaitable<Delivery> {
    while (true) {
        auto [failed, count] = co_await stream_->async_read_some(answer_.prepare(READ_BYTES), quiet);
        if (!failed) {
            answer_.received(count);
        } else {
            auto end = co_await endOf(failed);
            answer_.end(end);
        }
        auto delivery = observer_.onAnswerRead(answer_);
        if (delivery != Delivery::Reading) co_return delivery;
        if (!answer_.streamed()) continue;
        auto wanted = co_await observer_.awaitStreamRoom();
        if (!wanted) co_return Delivery::Over;
    }
}

// An end of file alone does not show that an answer without a length is whole. The system reports a reset
// once only: if a write got it, the read gets an end of file. And a server that dies in the middle of its
// answer may end the connection first and reset it for what comes after. Both happen only to a server that
// has not taken all of the request. It may read on at any time: the edge drops the attempt at its deadline.
auto UpstreamRequest::endOf(beast::error_code failed) -> asio::awaitable<ConnectionEnd> {
    auto isInOrder = failed == asio::error::eof;
    if (isInOrder && answer_.endsWithConnection()) {
        auto hasTaken = co_await awaitTaken(std::nullopt);
        isInOrder = hasTaken && !hasPendingError(stream_->socket().native_handle());
    }
    close();
    co_return isInOrder ? ConnectionEnd::Closed : ConnectionEnd::Reset;
}

auto UpstreamRequest::close() -> void {
    auto ignored = beast::error_code();
    stream_->socket().close(ignored);
    if (writing_ == Writing::UnderWay) writing_ = Writing::Failed;
}

auto UpstreamRequest::checkServer(Microseconds now) -> bool {
    if (!stream_->socket().is_open()) return false;
    auto descriptor = stream_->socket().native_handle();
    auto queue = sendQueue(descriptor);
    if (!queue) return false;
    switch (acknowledgements_.observe(*queue, now)) {
    case AcknowledgementWatch::Verdict::Acknowledged:
        if (writing_ == Writing::UnderWay) return true;
        restoreLimit();
        return false;
    case AcknowledgementWatch::Verdict::Waiting:
        if (!limitLifted_) setUnacknowledgedLimit(descriptor, 0);
        limitLifted_ = true;
        return true;
    case AcknowledgementWatch::Verdict::Lost: close(); return false;
    }
    return false;
}

// The connection may be kept for another request, which begins with the limit.
auto UpstreamRequest::restoreLimit() -> void {
    if (!limitLifted_) return;
    setUnacknowledgedLimit(stream_->socket().native_handle(), unacknowledgedLimit_);
    limitLifted_ = false;
}

}  // namespace duneturn
