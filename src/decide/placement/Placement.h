#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// The properties of a target that its placement depends on.
struct PlacementTarget
{
    std::string id;
    std::string region;
    int slots = 0;
};

// Assigns the objects of one service to targets.
//
// A target that recently handled an object is several times faster, so each object has one target
// in the callers' region and one elsewhere, found by rendezvous hashing (Thaler and Ravishankar
// 1998). All VMs of a region compute the same assignment from the same targets, and a target that
// is added or removed moves only its own objects. If a region has too few targets for its callers,
// only as many objects as its slots can serve have their preferred target there.
class Placement
{
public:
    // Replaces the targets that may be used.
    void setTargets(std::vector<PlacementTarget> targets);

    // Share of the objects of a region's callers whose preferred target is in that region.
    double localShare(std::string_view region) const;

    struct Candidates
    {
        // Targets in the order in which they are to be tried, each group best first.
        std::vector<std::string_view> preferred;
        std::vector<std::string_view> alternate;
    };
    // Returns at most maxCount targets for an object in each group. An empty list of allowed
    // regions allows all.
    Candidates candidates(std::uint64_t object, std::string_view callerRegion,
                          const std::vector<std::string> &allowedRegions,
                          std::size_t maxCount) const;

    bool empty() const { return m_targets.empty(); }

private:
    struct Entry
    {
        PlacementTarget target;
        std::uint64_t hash;
    };

    std::vector<Entry> m_targets;
    std::map<std::string, int, std::less<>> m_slotsByRegion;
    int m_slots = 0;
};

} // namespace basildeck
