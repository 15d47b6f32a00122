#include "net/socket.hpp"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>

#include <boost/asio/ip/address.hpp>
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
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, int(limit / MILLISECOND));
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, int(std::max(limit, SECOND) / SECOND));
    set(IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
    set(IPPROTO_TCP, TCP_KEEPCNT, PROBES);
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
