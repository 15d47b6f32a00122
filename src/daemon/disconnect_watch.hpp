#pragma once
// Notices a client that goes away while its response is awaited.
#include <functional>
#include <memory>

#include "net/http.hpp"

namespace duneturn {

/// Of one request. What the client sends ahead meanwhile is kept in its connection's buffer, up to
/// READ_AHEAD_BYTES; beyond, its going away shows only when something is written. Used on the connection's
/// executor only.
class DisconnectWatch : public std::enable_shared_from_this<DisconnectWatch> {
  public:
    /// `stream` and `buffer` must outlive stop(). `onGone` is called at most once, and not after stop().
    DisconnectWatch(beast::tcp_stream& stream, beast::flat_buffer& buffer, std::function<void()> onGone);

    auto start() -> void;
    /// Leaves unread what the client sends from now on, since no further request of its connection is
    /// answered.
    auto stopReadingAhead() -> void { readsAhead_ = false; }
    /// The wait itself ends with the client's next bytes, or with its connection.
    auto stop() -> void { stopped_ = true; }

  private:
    auto onReadable() -> void;
    auto readAhead() -> bool;

    beast::tcp_stream& stream_;
    beast::flat_buffer& buffer_;
    std::function<void()> onGone_;
    bool readsAhead_ = true;
    bool stopped_ = false;
};

}  // namespace duneturn
