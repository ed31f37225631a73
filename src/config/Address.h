#pragma once

#include "basildeck/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace basildeck {

// An IPv4 address and a port, in the form "127.0.0.1:8080". Host names are not supported.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    static Result<Address> parse(std::string_view text);
    std::string toString() const { return ip + ":" + std::to_string(port); }
    bool operator==(const Address &other) const = default;
};

} // namespace basildeck
