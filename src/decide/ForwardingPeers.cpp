#include "decide/ForwardingPeers.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace basildeck {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

ForwardingPeers::ForwardingPeers(std::string self, std::string region)
    : m_self(std::move(self))
    , m_region(std::move(region))
{}

void ForwardingPeers::setPeers(std::vector<ForwardingPeer> peers)
{
    m_peers = std::move(peers);
    std::erase_if(m_peers, [this](const ForwardingPeer &peer) { return peer.vm == m_self; });
    const auto rank = [this](const ForwardingPeer &peer) {
        return std::tuple(peer.region != m_region, stableHash(m_self, peer.vm));
    };
    std::sort(m_peers.begin(), m_peers.end(),
              [&](const ForwardingPeer &a, const ForwardingPeer &b) { return rank(a) < rank(b); });
    std::erase_if(m_avoidedUntil, [this](const auto &entry) {
        return std::none_of(m_peers.begin(), m_peers.end(),
                            [&](const ForwardingPeer &peer) { return peer.vm == entry.first; });
    });
}

const ForwardingPeer *ForwardingPeers::choose(const std::vector<std::string> &allowedRegions,
                                              const std::vector<std::string> &tried, Time now) const
{
    const ForwardingPeer *best = nullptr;
    for (const ForwardingPeer &peer : m_peers) {
        const auto avoided = m_avoidedUntil.find(peer.vm);
        if ((avoided != m_avoidedUntil.end() && now < avoided->second) || contains(tried, peer.vm)
            || (!allowedRegions.empty() && !contains(allowedRegions, peer.region))
            || outstanding(peer.vm) >= maxOutstandingPerPeer)
            continue;
        // The peers of the own region are in front.
        if (best != nullptr && best->region == m_region && peer.region != m_region)
            break;
        if (best == nullptr || outstanding(peer.vm) < outstanding(best->vm))
            best = &peer;
    }
    return best;
}

void ForwardingPeers::ended(const std::string &vm)
{
    const auto found = m_outstanding.find(vm);
    if (found != m_outstanding.end() && --found->second == 0)
        m_outstanding.erase(found);
}

int ForwardingPeers::outstanding(const std::string &vm) const
{
    const auto found = m_outstanding.find(vm);
    return found == m_outstanding.end() ? 0 : found->second;
}

} // namespace basildeck
