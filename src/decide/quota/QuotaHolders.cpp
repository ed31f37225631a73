#include "decide/quota/QuotaHolders.h"

#include "core/Hash.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace basildeck {

QuotaHolders::QuotaHolders(const std::map<std::string, std::string> &vmRegions)
    : m_regions(vmRegions.begin(), vmRegions.end())
{
    for (const auto &[vm, region] : vmRegions)
        m_vmsByRegion[region].push_back(vm);
}

const std::vector<std::string> &QuotaHolders::of(const std::string &organisation) const
{
    const auto known = m_holdersByOrganisation.find(organisation);
    if (known != m_holdersByOrganisation.end())
        return known->second;
    return m_holdersByOrganisation.emplace(organisation, select(organisation)).first->second;
}

std::vector<std::string> QuotaHolders::select(const std::string &organisation) const
{
    std::vector<std::string> holders;
    if (m_regions.size() <= maxVmsHoldingAll) {
        for (const auto &[vm, region] : m_regions)
            holders.push_back(vm);
        return holders;
    }
    const std::size_t regions = m_vmsByRegion.size();
    const std::size_t perRegion = std::max(holdersPerRegion, (minHolders + regions - 1) / regions);
    for (const auto &[region, vms] : m_vmsByRegion) {
        std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
        for (const std::string &vm : vms)
            ranked.emplace_back(stableHash(organisation, vm), vm);
        const auto count
                = static_cast<std::ptrdiff_t>(std::min<std::size_t>(perRegion, ranked.size()));
        std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(), std::greater<>());
        for (auto holder = ranked.begin(); holder != ranked.begin() + count; ++holder)
            holders.emplace_back(holder->second);
    }
    return holders;
}

bool QuotaHolders::isHolder(std::string_view vm, const std::string &organisation) const
{
    const std::vector<std::string> &holders = of(organisation);
    return std::find(holders.begin(), holders.end(), vm) != holders.end();
}

std::string_view QuotaHolders::regionOf(std::string_view vm) const
{
    const auto found = m_regions.find(vm);
    return found == m_regions.end() ? std::string_view() : std::string_view(found->second);
}

} // namespace basildeck
