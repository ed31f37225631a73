#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// A target as placement sees it.
struct PlacementTarget
{
    std::string id;
    std::string region;
    int slots = 0;
};

// Where the objects of one service are handled.
//
// A target that handled an object lately is several times faster, so each object has one home in
// the callers' region and one elsewhere, found by rendezvous hashing (Thaler and Ravishankar 1998).
// Every VM of a region finds the same homes from the same targets, and a target that comes or goes
// moves only its own objects. In a region whose targets are too few for its callers, only as many
// objects as fit have their first home there.
class Placement
{
public:
    // Replaces the targets that may be used.
    void setTargets(std::vector<PlacementTarget> targets);

    // Share of the objects of a region's callers whose first home is in that region.
    double localShare(std::string_view region) const;

    struct Candidates
    {
        // Targets in the order in which they are to be tried, each group best first.
        std::vector<std::string_view> preferred;
        std::vector<std::string_view> alternate;
    };
    // Candidates of an object. An empty list of allowed regions allows all. At most the given
    // number of targets are returned in each group.
    Candidates candidates(std::uint64_t object, std::string_view callerRegion,
                          const std::vector<std::string> &allowedRegions, std::size_t most) const;

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
