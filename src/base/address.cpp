// Addresses, IP:PORT by number.
#include "base/address.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/ip/address.hpp>
#include <tl/expected.hpp>

namespace duneturn {

auto parseAddress(std::string_view s) -> tl::expected<Address, std::string> {
    constexpr auto MOST_DIGITS = std::size_t(5);
    constexpr auto MOST_PORT = 65535;
    auto colon = s.rfind(':');
    if (colon == std::string_view::npos) return tl::make_unexpected(std::string("wants IP:PORT"));
    auto ip = std::string(s.substr(0, colon)), port = std::string(s.substr(colon + 1));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') ip = ip.substr(1, ip.size() - 2);
    auto error = boost::system::error_code();
    boost::asio::ip::make_address(ip, error);
    if (error) return tl::make_unexpected(std::string("wants an IP by number"));
    auto digits = !port.empty() && port.size() <= MOST_DIGITS
        && port.find_first_not_of("0123456789") == std::string::npos;
    auto number = digits ? std::stoi(port) : 0;
    if (number < 1 || number > MOST_PORT)
        return tl::make_unexpected(std::string("wants a port from 1 to 65535"));
    return Address{ip, std::uint16_t(number)};
}

}  // namespace duneturn
