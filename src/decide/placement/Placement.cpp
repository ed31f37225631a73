#include "decide/placement/Placement.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

namespace {

// Finalizer of SplitMix64 (Steele, Lea and Flood 2014).
std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

double toUnitInterval(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11) * 0x1.0p-53;
}

constexpr std::uint64_t localShareSalt = 0x6c6f63616cULL;

struct ScoredTarget
{
    std::uint64_t score;
    std::string_view id;
};

std::vector<std::string_view> highestScored(std::vector<ScoredTarget> scored, std::size_t maxCount)
{
    const std::size_t count = std::min(maxCount, scored.size());
    std::partial_sort(
            scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(),
            [](const ScoredTarget &a, const ScoredTarget &b) { return a.score > b.score; });
    std::vector<std::string_view> ids;
    for (std::size_t i = 0; i < count; ++i)
        ids.push_back(scored[i].id);
    return ids;
}

bool contains(const std::vector<std::string> &list, std::string_view item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

void Placement::setTargets(std::vector<PlacementTarget> targets)
{
    m_targets.clear();
    m_slotsByRegion.clear();
    m_slots = 0;
    for (PlacementTarget &target : targets) {
        m_slotsByRegion[target.region] += target.slots;
        m_slots += target.slots;
        const std::uint64_t hash = stableHash(target.id);
        m_targets.push_back({ std::move(target), hash });
    }
}

double Placement::localShare(std::string_view region) const
{
    const auto found = m_slotsByRegion.find(region);
    if (found == m_slotsByRegion.end() || m_slots == 0)
        return 0;
    const auto regions = static_cast<double>(m_slotsByRegion.size());
    return std::min(1.0, found->second * regions / m_slots);
}

Placement::Candidates Placement::candidates(std::uint64_t object, std::string_view callerRegion,
                                            const std::vector<std::string> &allowedRegions,
                                            std::size_t maxCount) const
{
    std::vector<ScoredTarget> local;
    std::vector<ScoredTarget> remote;
    for (const Entry &entry : m_targets) {
        if (!allowedRegions.empty() && !contains(allowedRegions, entry.target.region))
            continue;
        auto &group = entry.target.region == callerRegion ? local : remote;
        group.push_back({ mixBits(object ^ entry.hash), entry.target.id });
    }
    Candidates result{ highestScored(std::move(local), maxCount),
                       highestScored(std::move(remote), maxCount) };
    const bool localFirst
            = toUnitInterval(mixBits(object ^ localShareSalt)) < localShare(callerRegion);
    if (result.preferred.empty() || (!localFirst && !result.alternate.empty()))
        std::swap(result.preferred, result.alternate);
    return result;
}

} // namespace basildeck
