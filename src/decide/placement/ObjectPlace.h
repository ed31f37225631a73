#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace basildeck {

// Where a request runs with respect to the target at which its object is placed. Only there is the
// object likely to be warm.
enum class ObjectPlace : std::uint8_t { NoObject, Placed, Elsewhere };

constexpr std::size_t objectPlaceCount = 3;

// "none", "placed" or "elsewhere".
constexpr std::string_view objectPlaceName(ObjectPlace place)
{
    constexpr std::array<std::string_view, objectPlaceCount> names
            = { "none", "placed", "elsewhere" };
    return names.at(static_cast<std::size_t>(place));
}

} // namespace basildeck
