#pragma once

#include <string>
#include <vector>

namespace basildeck {

// A VM that may own slots, and where it is.
struct SlotOwner
{
    std::string vm;
    std::string region;
};

// Number of the slots of a target that a VM owns.
//
// Each slot belongs to one VM of the target's region by rendezvous hashing, or to one of all VMs if
// the region has none. The result depends on the arguments only, so that VMs with the same table
// of owners never use a slot twice.
int ownedSlots(const std::string &vm, const std::string &target, const std::string &region,
               int slots, const std::vector<SlotOwner> &owners);

} // namespace basildeck
