#pragma once

#include <cstdint>
#include <vector>

namespace basildeck {

// What an entry VM can carry, as its settings say. 0 if unknown.
struct VmCapacity
{
    std::uint64_t linkKbps = 0;
    std::uint64_t processorPermille = 0; // of one core

    bool isKnown() const { return linkKbps > 0 && processorPermille > 0; }
};

// Load: callers choose evenly among the VMs that a lookup names, so a VM with a link of 11 Mbit/s
// gets as many requests as one with 200 Mbit/s. A few long responses fill its link, and the other
// requests there wait for it.
//
// Selects the VMs of a region that lookups name: all of them, or only the large ones if the others
// would be overloaded by an equal part and contribute little. The choice depends only on the VMs
// that serve, so all lookups of a region name the same ones, and callers keep their connections.
class LargeVmSelection
{
public:
    // A VM is small if its link has less than this fraction of the largest one's.
    static constexpr double minLinkFraction = 0.25;
    // The large VMs are enough if they have these fractions of the region's links and processors.
    static constexpr double minLinkShare = 0.75;
    static constexpr double minProcessorShare = 1.0 / 3;
    // Fewer would not bear the loss of one.
    static constexpr std::size_t minVms = 2;

    // Takes the capacities of the serving VMs of a region. Returns whether each of them is named.
    static std::vector<bool> select(const std::vector<VmCapacity> &vms);
};

} // namespace basildeck
