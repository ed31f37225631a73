#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace basildeck {

// A position in the history of the store. After it has returned from an older copy of its objects,
// the store gives out revisions again that it had given out before; each return starts a new era.
struct StoreVersion
{
    std::uint64_t era = 0; // 0 if the store has none
    std::uint64_t revision = 0;

    auto operator<=>(const StoreVersion &) const = default;
};

inline std::ostream &operator<<(std::ostream &out, const StoreVersion &version)
{
    return out << version.era << '.' << version.revision;
}

} // namespace basildeck
