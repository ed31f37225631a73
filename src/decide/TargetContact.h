#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace basildeck {

// Whether a VM reaches targets, as it tells the other VMs.
enum class TargetContact : std::uint8_t {
    Unknown, // it has had no contact lately, as it is idle or not sure
    Reached, // it had contact with a target a short time ago
    Lost,    // it reaches no target
};

// Returns "unknown", "reached" or "lost".
constexpr std::string_view targetContactName(TargetContact contact)
{
    constexpr std::array<std::string_view, 3> names = { "unknown", "reached", "lost" };
    const auto index = static_cast<std::size_t>(contact);
    return index < names.size() ? names[index] : "unknown";
}

} // namespace basildeck
