#pragma once

#include <string>
#include <vector>

namespace basildeck {

// A VM that may own slots, and its region.
struct SlotOwner
{
    std::string vm;
    std::string region;
};

// Returns how many of a target's slots a VM owns.
//
// Rendezvous hashing assigns each slot to one VM of the target's region, or to one of all VMs if no
// VM is in that region. The result depends on the arguments only, so VMs with the same list of
// owners never use the same slot.
int ownedSlots(const std::string &vm, const std::string &target, const std::string &region,
               int slots, const std::vector<SlotOwner> &owners);

} // namespace basildeck
