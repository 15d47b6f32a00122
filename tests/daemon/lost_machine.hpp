#pragma once
// The loss of a machine, as its peers see it: nothing that they send reaches the socket, so that nothing is
// acknowledged.
#include <linux/filter.h>
#include <sys/socket.h>

namespace duneturn {

/// From now on the system drops all that comes for a socket.
inline auto loseMachine(int descriptor) -> void {
    auto refuse = sock_filter{BPF_RET | BPF_K, 0, 0, 0};
    auto program = sock_fprog{1, &refuse};
    ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

}  // namespace duneturn
