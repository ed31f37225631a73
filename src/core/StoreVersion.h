#pragma once

#include <compare>
#include <cstdint>

namespace basildeck {

// The version of an object of the platform's store, ordered over restores of the store.
//
// A store that comes back from a copy gives version numbers out again, and its era rises. The era
// of a version is the one in which the object was written, so a version keeps its place in the
// order over a restore that did not lose it, and each version of a new era is newer than all
// earlier ones.
struct StoreVersion
{
    std::uint64_t era = 0;    // 0: the object does not state it
    std::uint64_t number = 0; // in the store; 0: there is no object

    bool exists() const { return number != 0; }
    auto operator<=>(const StoreVersion &other) const = default;
};

} // namespace basildeck
