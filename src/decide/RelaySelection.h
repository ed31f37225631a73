#pragma once

#include "basildeck/Time.h"
#include "decide/RegisteredVm.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace basildeck {

// Selects the VMs that watch the store and relay its changes to the others.
//
// Calls to the store are billed and limited for the whole fleet, so in a large fleet only a few VMs
// of each region watch it. The VMs of a region are ranked by size, and equal ones by hashing; the
// first ones are its relays. A large VM has a link that brings all objects to its followers soon
// after a restart of the fleet, and that the traffic of callers does not fill. While no relay can
// be followed, the next VM by rank watches the store as well, then the one after it, at increasing
// intervals: a store that rejects every VM receives few calls.
class RelaySelection
{
public:
    // In fleets up to this size every VM watches the store.
    static constexpr std::size_t maxVmsWatchingAll = 12;
    static constexpr std::size_t relaysPerRegion = 2;
    // How long no relay can be followed until one more VM of the region watches the store. Doubles
    // with each one, up to the maximum.
    static constexpr Duration minPromotionDelay = milliseconds(400);
    static constexpr Duration maxPromotionDelay = seconds(3);

    RelaySelection(std::string self, std::string region);

    // Replaces the registered VMs, by name.
    void setVms(const std::map<std::string, RegisteredVm> &vms);
    // Whether this VM watches the store itself.
    bool isWatching() const { return m_rank < relaysPerRegion + m_promoted || m_rank == unranked; }
    // The relays that this VM may follow, the preferred one first: those of its region, then one of
    // each other region.
    std::vector<std::string> relays() const;

    // None of the relays could be followed.
    void recordFailure(Time now);
    // A relay was followed. Promotions end with the first one that was not promoted itself.
    void recordSuccess(const std::string &relay);

private:
    // The rank of a VM that is not registered yet, or in a small fleet.
    static constexpr std::size_t unranked = static_cast<std::size_t>(-1);

    std::string m_self;
    std::string m_region;
    std::map<std::string, std::vector<std::string>> m_ranking; // of the VMs by region
    std::size_t m_rank = unranked;                             // of this VM in its region
    std::size_t m_promoted = 0; // VMs of the region that watch the store in addition to its relays
    Time m_failingSince{};
    bool m_isFailing = false;
    Duration m_promotionDelay = minPromotionDelay;
};

} // namespace basildeck
