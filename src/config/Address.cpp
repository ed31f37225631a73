#include "config/Address.h"

#include <arpa/inet.h>

#include <charconv>

namespace basildeck {

Result<Address> Address::parse(std::string_view text)
{
    const auto invalidAddress = [&](std::string_view reason) {
        return failure(ErrorKind::InvalidSetting,
                       "address \"" + std::string(text) + "\" " + std::string(reason));
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return invalidAddress("has no port");
    Address address;
    address.ip = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
        return invalidAddress("does not start with an IPv4 address");
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size() || address.port == 0)
        return invalidAddress("has no port between 1 and 65535");
    return address;
}

} // namespace basildeck
