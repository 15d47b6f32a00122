#pragma once
// Network addresses of processes, always numeric: nothing here asks a name server.
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace duneturn {

/// Where a process listens.
struct Address {
    std::string ip;          ///< IPv4 or IPv6, without brackets.
    std::uint16_t port = 0;  ///< 1 to 65535; 0 in an address that was not set.
};

/// Reads "IP:PORT", an IPv6 address in brackets; the error says what is wrong.
[[nodiscard]] auto parseAddress(std::string_view text) -> tl::expected<Address, std::string>;

}  // namespace duneturn
