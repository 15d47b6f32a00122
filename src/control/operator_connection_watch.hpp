#pragma once
// Watches the connection of a request that is being answered, so that no command is carried out for a
// caller who has given up and may have sent other commands elsewhere since.
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include <sys/socket.h>

#include "base/time.hpp"
#include "net/http.hpp"

namespace duneturn {

/// Whether the other end of `socket` has closed: its end of stream, or a broken connection.
inline auto peerClosed(int socket) -> bool {
    auto byte = char();
    auto received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return received == 0;
}

/// Of one request. Used on its connection's executor only.
class OperatorConnectionWatch : public std::enable_shared_from_this<OperatorConnectionWatch> {
  public:
    /// `arrived`: when the request was read; `onGone` is called once, if the caller goes.
    OperatorConnectionWatch(
        tcp::socket& socket, Microseconds arrived, std::function<void(OperatorConnectionWatch&)> onGone)
        : arrived(arrived), socket_(socket), onGone_(std::move(onGone)) {}

    auto start() -> void {
        auto self = shared_from_this();
        socket_.async_wait(tcp::socket::wait_read, [self](beast::error_code failed) {
            // Bytes of a next request hide the end; it is looked for again before each command.
            if (!self->over_ && (failed || peerClosed(self->socket_.native_handle()))) self->leave();
        });
    }
    /// The request is answered, and its connection may go.
    auto stop() -> void { over_ = true; }
    auto isCallerGone() -> bool {
        if (!gone_ && peerClosed(socket_.native_handle())) leave();
        return gone_;
    }

    const Microseconds arrived;
    std::int64_t call = 0;  // the node's number of the command or read under way; 0 if none is

  private:
    auto leave() -> void {
        if (gone_) return;
        gone_ = true;
        onGone_(*this);
    }

    tcp::socket& socket_;
    std::function<void(OperatorConnectionWatch&)> onGone_;
    bool gone_ = false, over_ = false;
};

}  // namespace duneturn
