#include "base/address.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/ip/address.hpp>
#include <tl/expected.hpp>

namespace duneturn {

auto parseAddress(std::string_view text) -> tl::expected<Address, std::string> {
    constexpr auto MAX_DIGITS = std::size_t(5);
    constexpr auto MAX_PORT = 65535;
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return tl::make_unexpected(std::string("wants IP:PORT"));
    auto host = std::string(text.substr(0, colon));
    auto port = std::string(text.substr(colon + 1));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    auto error = boost::system::error_code();
    boost::asio::ip::make_address(host, error);
    if (error) return tl::make_unexpected(std::string("wants an IP by number"));
    auto isNumber = !port.empty() && port.size() <= MAX_DIGITS
        && port.find_first_not_of("0123456789") == std::string::npos;
    auto number = isNumber ? std::stoi(port) : 0;
    if (number < 1 || number > MAX_PORT)
        return tl::make_unexpected(std::string("wants a port from 1 to 65535"));
    return Address{host, std::uint16_t(number)};
}

}  // namespace duneturn
