#include "daemon/disconnect_watch.hpp"

#include <functional>
#include <utility>

#include "daemon/limits.hpp"
#include "net/socket.hpp"

namespace duneturn {

DisconnectWatch::DisconnectWatch(
    beast::tcp_stream& stream, beast::flat_buffer& buffer, std::function<void()> onGone)
    : stream_(stream), buffer_(buffer), onGone_(std::move(onGone)) {}

auto DisconnectWatch::start() -> void {
    if (buffer_.size() >= READ_AHEAD_BYTES) return;
    auto wait = tcp::socket::wait_read;
    stream_.socket().async_wait(wait, [self = shared_from_this()](beast::error_code failed) {
        if (self->stopped_) return;
        if (failed) return self->onGone_();
        self->onReadable();
    });
}

// Bytes that are left unread end the watch: the connection's end cannot be seen behind them.
auto DisconnectWatch::onReadable() -> void {
    auto descriptor = stream_.socket().native_handle();
    if (!readsAhead_ && hasUnreadBytes(descriptor)) return;
    auto alive = readsAhead_ ? readAhead() : isSocketQuiet(descriptor);
    if (alive) start();
    else onGone_();
}

// Takes what has come; false if the connection has ended.
auto DisconnectWatch::readAhead() -> bool {
    auto failed = beast::error_code();
    stream_.socket().non_blocking(true, failed);
    auto count = stream_.socket().read_some(buffer_.prepare(READ_AHEAD_STEP_BYTES), failed);
    buffer_.commit(count);
    return !failed || failed == asio::error::would_block;
}

}  // namespace duneturn
