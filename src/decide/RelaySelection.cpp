#include "decide/RelaySelection.h"

#include "core/Hash.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *rankingSalt = "store-relay";

} // namespace

RelaySelection::RelaySelection(std::string self, std::string region)
    : m_self(std::move(self))
    , m_region(std::move(region))
{}

void RelaySelection::setVms(const std::map<std::string, RegisteredVm> &vms)
{
    m_ranking.clear();
    m_rank = unranked;
    if (vms.size() <= maxVmsWatchingAll)
        return;
    for (const auto &[vm, registered] : vms)
        m_ranking[registered.region].push_back(vm);
    const auto rankOf = [&](const std::string &vm) {
        return std::pair(vms.at(vm).memoryBytes, stableHash(rankingSalt, vm));
    };
    for (auto &[region, ranked] : m_ranking)
        std::sort(ranked.begin(), ranked.end(), [&](const std::string &a, const std::string &b) {
            return rankOf(a) > rankOf(b);
        });
    const std::vector<std::string> &own = m_ranking[m_region];
    const auto self = std::find(own.begin(), own.end(), m_self);
    if (self != own.end())
        m_rank = static_cast<std::size_t>(self - own.begin());
}

std::vector<std::string> RelaySelection::relays() const
{
    std::vector<std::string> relays;
    const auto own = m_ranking.find(m_region);
    if (own != m_ranking.end()) {
        const auto &vms = own->second;
        for (std::size_t i = 0; i < std::min(vms.size(), relaysPerRegion + m_promoted); ++i)
            relays.push_back(vms[i]);
        // Divides the followers among the relays.
        const auto base = static_cast<std::ptrdiff_t>(std::min(relays.size(), relaysPerRegion));
        if (base > 0)
            std::rotate(relays.begin(),
                        relays.begin()
                                + static_cast<std::ptrdiff_t>(stableHash(m_self)
                                                              % static_cast<std::size_t>(base)),
                        relays.begin() + base);
    }
    for (const auto &[region, vms] : m_ranking) {
        if (region != m_region)
            relays.push_back(vms.front());
    }
    std::erase(relays, m_self);
    return relays;
}

void RelaySelection::recordFailure(Time now)
{
    if (!std::exchange(m_isFailing, true)) {
        m_failingSince = now;
        return;
    }
    if (now - m_failingSince < m_promotionDelay)
        return;
    ++m_promoted;
    m_failingSince = now;
    m_promotionDelay = std::min(maxPromotionDelay, m_promotionDelay * 2);
}

void RelaySelection::recordSuccess(const std::string &relay)
{
    m_isFailing = false;
    m_promotionDelay = minPromotionDelay;
    const auto own = m_ranking.find(m_region);
    if (own == m_ranking.end())
        return;
    const auto &vms = own->second;
    const auto position = std::find(vms.begin(), vms.end(), relay);
    if (position == vms.end()
        || position - vms.begin() < static_cast<std::ptrdiff_t>(relaysPerRegion))
        m_promoted = 0;
}

} // namespace basildeck
