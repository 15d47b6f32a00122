#pragma once
// Detects that the caller of an operator's request has disconnected, so that no command is executed for a
// caller that has given up and may have sent other commands to another node since.
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include <sys/socket.h>

#include "base/time.hpp"
#include "net/http.hpp"

namespace duneturn {

/// Whether the peer has closed the connection or the connection has failed. Reads nothing from the socket.
inline auto isPeerClosed(int socket) -> bool {
    auto byte = char();
    auto received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    return received == 0;
}

/// Watches the connection of one request. To be used only on the executor of that connection.
class OperatorConnectionWatch : public std::enable_shared_from_this<OperatorConnectionWatch> {
  public:
    /// @param arrived when the request was read.
    /// @param onDisconnect called at most once, when the caller has disconnected.
    OperatorConnectionWatch(
        tcp::socket& socket, Microseconds arrived, std::function<void(OperatorConnectionWatch&)> onDisconnect)
        : arrived(arrived), socket_(socket), onDisconnect_(std::move(onDisconnect)) {}

    /// Starts to wait for a disconnect.
    auto start() -> void {
        auto self = shared_from_this();
        socket_.async_wait(tcp::socket::wait_read, [self](beast::error_code failed) {
            // Bytes of a following request hide the end of the stream, so isCallerGone() checks again before
            // each command.
            if (!self->stopped_ && (failed || isPeerClosed(self->socket_.native_handle())))
                self->reportDisconnect();
        });
    }
    /// To be called once the request is answered: a later disconnect is not reported any more.
    auto stop() -> void { stopped_ = true; }
    /// Checks the connection and returns whether the caller has disconnected.
    auto isCallerGone() -> bool {
        if (!disconnected_ && isPeerClosed(socket_.native_handle())) reportDisconnect();
        return disconnected_;
    }

    const Microseconds arrived;
    std::int64_t call = 0;  // the node's id of the command or read in progress; 0: none

  private:
    auto reportDisconnect() -> void {
        if (disconnected_) return;
        disconnected_ = true;
        onDisconnect_(*this);
    }

    tcp::socket& socket_;
    std::function<void(OperatorConnectionWatch&)> onDisconnect_;
    bool disconnected_ = false, stopped_ = false;
};

}  // namespace duneturn
