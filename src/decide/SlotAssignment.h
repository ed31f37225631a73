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
// The slots are divided equally among the VMs of the target's region, or among all VMs if none is
// in that region. Rendezvous hashing selects the VMs that own one slot more if they do not divide
// evenly. The result depends on the arguments only, so VMs with the same list of
// owners never use the same slot.
int ownedSlots(const std::string &vm, const std::string &target, const std::string &region,
               int slots, const std::vector<SlotOwner> &owners);

} // namespace basildeck
