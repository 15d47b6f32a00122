#include "net/socket.hpp"

#include <cerrno>

#include <sys/socket.h>

namespace duneturn {

auto isSocketQuiet(int descriptor) -> bool {
    auto byte = char();
    auto received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace duneturn
