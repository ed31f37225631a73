#include "decide/PeerTable.h"

#include <algorithm>
#include <set>

namespace basildeck {

void PeerTable::setRegistered(std::map<std::string, std::string> gossipAddresses, Time now)
{
    gossipAddresses.erase(m_self);
    m_registered = std::move(gossipAddresses);
    std::erase_if(m_registeredSince,
                  [&](const auto &entry) { return !m_registered.contains(entry.first); });
    for (const auto &[vm, address] : m_registered)
        m_registeredSince.try_emplace(vm, now);
}

std::optional<std::string> PeerTable::vmToDeregister(Time now) const
{
    for (const Heartbeat *beat : reachable(now)) {
        if (beat->vm < m_self)
            return std::nullopt;
    }
    for (const auto &[vm, since] : m_registeredSince) {
        const auto peer = m_heard.find(vm);
        const Time lastSign = peer == m_heard.end() ? since : std::max(since, peer->second.heardAt);
        if (now - lastSign > deregistrationTimeout)
            return vm;
    }
    return std::nullopt;
}

bool PeerTable::recordHeartbeat(const Heartbeat &beat, Time now)
{
    if (beat.vm == m_self || beat.vm.empty())
        return false;
    const auto known = m_heard.find(beat.vm);
    if (known != m_heard.end()) {
        const Heartbeat &last = known->second.beat;
        const bool isOld
                = beat.incarnation < last.incarnation
                  || (beat.incarnation == last.incarnation && beat.sequence <= last.sequence);
        // A clock that was set back gives a new process a lower number than the one before.
        if (isOld && now - known->second.heardAt <= reachabilityTimeout())
            return false;
    }
    m_heard[beat.vm] = { beat, now };
    return true;
}

void PeerTable::addIntroducedAddress(const std::string &gossipAddress)
{
    m_introduced.try_emplace(gossipAddress, true);
}

void PeerTable::tick(Time now)
{
    std::erase_if(m_heard, [&](const auto &entry) {
        return now - entry.second.heardAt > peerRetention && !m_registered.contains(entry.first);
    });
}

Duration PeerTable::heartbeatInterval() const
{
    const auto others = static_cast<double>(knownVmCount() - 1);
    const auto paced = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(others / maxHeartbeatsPerSecond));
    return std::max(minHeartbeatInterval, paced);
}

Duration PeerTable::reachabilityTimeout() const
{
    return std::max(minReachabilityTimeout, heartbeatInterval() * maxMissedHeartbeats);
}

std::vector<const Heartbeat *> PeerTable::reachable(Time now) const
{
    std::vector<const Heartbeat *> peers;
    for (const auto &[vm, peer] : m_heard) {
        if (now - peer.heardAt <= reachabilityTimeout())
            peers.push_back(&peer.beat);
    }
    return peers;
}

std::map<std::string, std::string> PeerTable::nearestPeers(const std::string &region,
                                                           std::size_t most, Time now)
{
    std::vector<const Heartbeat *> peers = reachable(now);
    if (!peers.empty())
        std::rotate(peers.begin(),
                    peers.begin() + static_cast<std::ptrdiff_t>(m_rotation++ % peers.size()),
                    peers.end());
    std::stable_partition(peers.begin(), peers.end(),
                          [&](const Heartbeat *peer) { return peer->region == region; });
    std::map<std::string, std::string> chosen;
    for (const Heartbeat *peer : peers) {
        if (chosen.size() < most)
            chosen[peer->vm] = peer->gossipAddress;
    }
    return chosen;
}

std::vector<std::string> PeerTable::gossipAddresses() const
{
    std::set<std::string> addresses;
    for (const auto &[vm, address] : m_registered)
        addresses.insert(address);
    for (const auto &[vm, peer] : m_heard)
        addresses.insert(peer.beat.gossipAddress);
    // Introductions matter only to a VM that cannot read the list itself.
    if (m_registered.empty()) {
        for (const auto &[address, named] : m_introduced)
            addresses.insert(address);
    }
    return { addresses.begin(), addresses.end() };
}

std::size_t PeerTable::knownVmCount() const
{
    std::set<std::string> vms{ m_self };
    for (const auto &[vm, address] : m_registered)
        vms.insert(vm);
    for (const auto &[vm, peer] : m_heard)
        vms.insert(vm);
    return vms.size();
}

std::size_t PeerTable::peerCountInRegion(const std::string &region) const
{
    return static_cast<std::size_t>(
            std::count_if(m_heard.begin(), m_heard.end(),
                          [&](const auto &entry) { return entry.second.beat.region == region; }));
}

Duration PeerTable::longestStoreContact(Time now) const
{
    Duration longest{ 0 };
    for (const Heartbeat *beat : reachable(now))
        longest = std::max<Duration>(longest, milliseconds(beat->storeReachedForMs));
    return longest;
}

const Heartbeat *PeerTable::peerWithNewestCopy(const std::string &kind, std::uint64_t revision,
                                               Time now) const
{
    const Heartbeat *newest = nullptr;
    for (const Heartbeat *beat : reachable(now)) {
        const auto found = beat->revisions.find(kind);
        if (found == beat->revisions.end() || found->second <= revision)
            continue;
        newest = beat;
        revision = found->second;
    }
    return newest;
}

std::vector<std::string> directoryAddresses(const std::vector<DirectoryEntry> &serving,
                                            const std::string &callerRegion, std::size_t most)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    for (const DirectoryEntry &entry : serving) {
        all.push_back(entry.callerAddress);
        if (entry.region == callerRegion)
            near.push_back(entry.callerAddress);
    }
    std::vector<std::string> &chosen = near.empty() ? all : near;
    if (chosen.size() > most)
        chosen.resize(most);
    return chosen;
}

} // namespace basildeck
