#pragma once
// Addresses of processes, by number.
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace duneturn {

/// Where a process listens.
struct Address {
    std::string ip;
    std::uint16_t port = 0;
};
/// Reads "IP:PORT", numbers only; the error says what is wrong.
auto parseAddress(std::string_view text) -> tl::expected<Address, std::string>;

}  // namespace duneturn
