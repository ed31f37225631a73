#include "decide/SlotAssignment.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

int ownedSlots(const std::string &vm, const std::string &target, const std::string &region,
               int slots, const std::vector<SlotOwner> &owners)
{
    std::vector<std::string> candidates;
    for (const SlotOwner &owner : owners) {
        if (owner.region == region)
            candidates.push_back(owner.vm);
    }
    if (candidates.empty()) {
        for (const SlotOwner &owner : owners)
            candidates.push_back(owner.vm);
    }
    if (candidates.empty())
        return 0;
    std::sort(candidates.begin(), candidates.end(),
              [&](const std::string &a, const std::string &b) {
                  return stableHash(a, target) > stableHash(b, target);
              });
    // Every candidate owns the same number of slots; those ranked first for this target own one
    // more if the slots do not divide evenly.
    const auto position = std::find(candidates.begin(), candidates.end(), vm);
    if (position == candidates.end())
        return 0;
    const int count = static_cast<int>(candidates.size());
    const int rank = static_cast<int>(position - candidates.begin());
    return slots / count + (rank < slots % count ? 1 : 0);
}

} // namespace basildeck
