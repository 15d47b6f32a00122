#pragma once
// TCP sockets: endpoints, the options that all connections share, and a look at what waits to be read or
// sent.
#include <cstddef>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "base/time.hpp"

namespace duneturn {

/// The endpoint of "IP:PORT"; that of no address if the text is none.
[[nodiscard]] auto endpoint(const std::string& address) -> boost::asio::ip::tcp::endpoint;

/// Sets TCP_NODELAY, and limits how long the other side may be silent, since a machine that has lost its
/// power says nothing: for `limit` while sent bytes are unacknowledged; else keep-alive probes are sent
/// after `limit` (a second at least), and three that get no answer end the connection.
auto configureSocket(int descriptor, Microseconds limit) -> void;

/// Limits anew how long sent bytes may be unacknowledged; 0: the system's own limit.
auto setUnacknowledgedLimit(int descriptor, Microseconds limit) -> void;

/// The bytes that were written to a connection and that its peer has not acknowledged.
struct SendQueue {
    std::size_t bytes = 0;
    /// A segment, or a probe of a closed window, was sent after the peer's last acknowledgement; else the
    /// peer's window is closed, and it has answered the last of them.
    bool awaitsAcknowledgement = false;
    Microseconds sinceAcknowledgement = 0;  ///< Since the last one came.
};
/// The state of a connection's send queue; empty if the system has no such information.
[[nodiscard]] auto sendQueue(int descriptor) -> std::optional<SendQueue>;

/// Has a connection end with a reset when it is closed, also by the end of the process; or in order again.
auto setResetOnClose(int descriptor, bool isReset) -> void;
[[nodiscard]] auto isResetOnClose(int descriptor) -> bool;

/// Whether an error waits on a socket. It is left there: the next call that reads or writes gets it, and only
/// that one.
[[nodiscard]] auto hasPendingError(int descriptor) -> bool;

/// Whether nothing waits to be read on a socket, not even the other side's end. Does not block.
[[nodiscard]] auto isSocketQuiet(int descriptor) -> bool;

/// Whether bytes wait to be read on a socket. Does not block, and leaves them.
[[nodiscard]] auto hasUnreadBytes(int descriptor) -> bool;

}  // namespace duneturn
