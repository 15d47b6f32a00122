#include "net/socket.hpp"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>

#include <boost/asio/ip/address.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/address.hpp"
#include "base/time.hpp"

namespace duneturn {

auto endpoint(const std::string& address) -> boost::asio::ip::tcp::endpoint {
    auto parsed = parseAddress(address);
    if (!parsed) return {};
    return {boost::asio::ip::make_address(parsed->ip), parsed->port};
}

auto configureSocket(int descriptor, Microseconds limit) -> void {
    constexpr auto PROBE_INTERVAL_S = 1;
    constexpr auto PROBES = 3;
    auto set = [&](int level, int option, int value) {
        ::setsockopt(descriptor, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    setUnacknowledgedLimit(descriptor, limit);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, int(std::max(limit, SECOND) / SECOND));
    set(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
    set(IPPROTO_TCP, TCP_KEEPCNT, PROBES);
}

auto setUnacknowledgedLimit(int descriptor, Microseconds limit) -> void {
    auto milliseconds = int(limit / MILLISECOND);
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds);
}

auto sendQueue(int descriptor) -> std::optional<SendQueue> {
    auto bytes = 0;
    if (::ioctl(descriptor, SIOCOUTQ, &bytes) != 0 || bytes < 0) return std::nullopt;
    if (bytes == 0) return SendQueue();
    auto info = tcp_info();
    auto length = socklen_t(sizeof info);
    auto failed = ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length);
    auto isOpen = info.tcpi_state == TCP_ESTABLISHED || info.tcpi_state == TCP_CLOSE_WAIT;
    if (failed || !isOpen) return std::nullopt;
    // A peer whose buffer is full may drop a segment that its window allowed. It answers each repetition, but
    // leaves the segment unacknowledged.
    auto isSegmentUnanswered = info.tcpi_unacked > 0 && info.tcpi_last_data_sent < info.tcpi_last_ack_recv;
    auto awaits = isSegmentUnanswered || info.tcpi_probes > 0;
    return SendQueue{std::size_t(bytes), awaits, Microseconds(info.tcpi_last_ack_recv) * MILLISECOND};
}

auto setResetOnClose(int descriptor, bool isReset) -> void {
    auto option = linger{int(isReset), 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

auto isResetOnClose(int descriptor) -> bool {
    auto option = linger();
    auto length = socklen_t(sizeof option);
    auto failed = ::getsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, &length);
    return !failed && option.l_onoff != 0 && option.l_linger == 0;
}

auto hasPendingError(int descriptor) -> bool {
    auto look = pollfd{descriptor, 0, 0};
    return ::poll(&look, 1, 0) == 1 && (look.revents & POLLERR) != 0;
}

auto isSocketQuiet(int descriptor) -> bool {
    auto byte = char();
    auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto hasUnreadBytes(int descriptor) -> bool {
    auto byte = char();
    return ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace duneturn
