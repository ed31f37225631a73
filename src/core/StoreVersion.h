#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace basildeck {

// A position in the history of the platform's store, ordered over restores of the store.
//
// A store that comes back from an older copy gives out revisions again that it had given out
// before, and its era rises. The version of an object is of the era in which the object was
// written, so it keeps its place in the order over a restore that did not lose it, and each version
// of a new era is newer than all earlier ones.
struct StoreVersion
{
    std::uint64_t era = 0;      // 0 if the store, or the object, does not state it
    std::uint64_t revision = 0; // in the store; 0: there is no object, or nothing was listed yet

    bool exists() const { return revision != 0; }
    auto operator<=>(const StoreVersion &other) const = default;
};

inline std::ostream &operator<<(std::ostream &out, const StoreVersion &version)
{
    return out << version.era << '.' << version.revision;
}

} // namespace basildeck
