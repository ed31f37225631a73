#include "decide/PeerTable.h"

#include <algorithm>
#include <set>

namespace basildeck {

void PeerTable::setRegistered(std::map<std::string, RegisteredVm> vms, Time now)
{
    m_registered = std::move(vms);
    std::erase_if(m_registeredSince,
                  [&](const auto &entry) { return !m_registered.contains(entry.first); });
    for (const auto &[vm, registered] : m_registered) {
        if (vm != m_self)
            m_registeredSince.try_emplace(vm, now);
    }
}

std::map<std::string, std::string> PeerTable::registeredRegions() const
{
    std::map<std::string, std::string> regions;
    for (const auto &[vm, registered] : m_registered)
        regions[vm] = registered.region;
    return regions;
}

std::optional<std::string> PeerTable::vmToDeregister(Time now,
                                                     const std::set<std::string> &left) const
{
    std::set<std::string> silent = left;
    for (const Heartbeat *heartbeat : reachable(now)) {
        if (heartbeat->vm < m_self)
            return std::nullopt;
        silent.erase(heartbeat->vm);
    }
    silent.erase(m_self);
    if (!silent.empty())
        return *silent.begin();
    for (const auto &[vm, since] : m_registeredSince) {
        const auto peer = m_peers.find(vm);
        const Time lastSeen
                = peer == m_peers.end() ? since : std::max(since, peer->second.receivedAt);
        if (now - lastSeen > deregistrationTimeout)
            return vm;
    }
    return std::nullopt;
}

bool PeerTable::recordHeartbeat(const Heartbeat &heartbeat, Time now)
{
    if (heartbeat.vm == m_self || heartbeat.vm.empty())
        return false;
    const auto known = m_peers.find(heartbeat.vm);
    if (known != m_peers.end()) {
        const Heartbeat &last = known->second.heartbeat;
        const bool isOld = heartbeat.incarnation < last.incarnation
                           || (heartbeat.incarnation == last.incarnation
                               && heartbeat.sequence <= last.sequence);
        // If the clock was set back, a new process has a lower incarnation than the one before.
        if (isOld && now - known->second.receivedAt <= reachabilityTimeout())
            return false;
    }
    m_peers[heartbeat.vm] = { heartbeat, now };
    return true;
}

void PeerTable::addIntroducedAddress(const std::string &gossipAddress)
{
    m_introducedAddresses.try_emplace(gossipAddress, true);
}

void PeerTable::tick(Time now)
{
    std::erase_if(m_peers, [&](const auto &entry) {
        return now - entry.second.receivedAt > peerRetention && !m_registered.contains(entry.first);
    });
}

Duration PeerTable::heartbeatInterval() const
{
    const auto others = static_cast<double>(knownVmCount() - 1);
    const auto limited = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(others / maxHeartbeatsPerSecond));
    return std::max(minHeartbeatInterval, limited);
}

Duration PeerTable::reachabilityTimeout() const
{
    return std::max(minReachabilityTimeout, heartbeatInterval() * maxMissedHeartbeats);
}

std::vector<const Heartbeat *> PeerTable::reachable(Time now) const
{
    const Duration timeout = reachabilityTimeout();
    std::vector<const Heartbeat *> peers;
    for (const auto &[vm, peer] : m_peers) {
        if (now - peer.receivedAt <= timeout)
            peers.push_back(&peer.heartbeat);
    }
    return peers;
}

std::string PeerTable::gossipAddressOf(const std::string &vm) const
{
    const auto peer = m_peers.find(vm);
    if (peer != m_peers.end())
        return peer->second.heartbeat.gossipAddress;
    const auto registered = m_registered.find(vm);
    return registered == m_registered.end() ? std::string() : registered->second.gossipAddress;
}

std::string PeerTable::relayAddressOf(const std::string &vm) const
{
    const auto peer = m_peers.find(vm);
    if (peer != m_peers.end())
        return peer->second.heartbeat.relayAddress;
    const auto registered = m_registered.find(vm);
    return registered == m_registered.end() ? std::string() : registered->second.relayAddress;
}

std::vector<std::string> PeerTable::gossipAddresses() const
{
    std::set<std::string> addresses;
    for (const auto &[vm, registered] : m_registered) {
        if (vm != m_self)
            addresses.insert(registered.gossipAddress);
    }
    for (const auto &[vm, peer] : m_peers)
        addresses.insert(peer.heartbeat.gossipAddress);
    // Introduced addresses are needed only while the list of registered VMs is not available.
    if (m_registered.empty()) {
        for (const auto &[address, named] : m_introducedAddresses)
            addresses.insert(address);
    }
    return { addresses.begin(), addresses.end() };
}

std::size_t PeerTable::knownVmCount() const
{
    const auto unregistered = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        return !m_registered.contains(entry.first);
    });
    const std::size_t self = m_registered.contains(m_self) ? 0 : 1;
    return m_registered.size() + static_cast<std::size_t>(unregistered) + self;
}

std::size_t PeerTable::peerCountInRegion(const std::string &region) const
{
    return static_cast<std::size_t>(
            std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
                return entry.second.heartbeat.region == region;
            }));
}

Duration PeerTable::longestStoreContact(Time now) const
{
    Duration longest{ 0 };
    for (const Heartbeat *heartbeat : reachable(now))
        longest = std::max<Duration>(longest, milliseconds(heartbeat->storeReachedForMs));
    return longest;
}

const Heartbeat *PeerTable::peerWithNewestReplica(const std::string &kind, StoreVersion version,
                                                  Time now,
                                                  const std::set<std::string> &excluded) const
{
    const Heartbeat *newest = nullptr;
    for (const Heartbeat *heartbeat : reachable(now)) {
        if (excluded.contains(heartbeat->vm))
            continue;
        const auto found = heartbeat->versions.find(kind);
        if (found == heartbeat->versions.end() || found->second <= version)
            continue;
        newest = heartbeat;
        version = found->second;
    }
    return newest;
}

std::vector<ForwardingPeer> forwardingPeers(const std::vector<const Heartbeat *> &reachable)
{
    std::vector<ForwardingPeer> peers;
    for (const Heartbeat *peer : reachable) {
        if (!peer->ready || peer->leaving || peer->targetContact != TargetContact::Reached)
            continue;
        if (auto address = Address::parse(peer->forwardingAddress))
            peers.push_back({ peer->vm, peer->region, std::move(address.value()) });
    }
    return peers;
}

std::vector<std::string> accessCoordinators(const std::vector<const Heartbeat *> &reachable,
                                            const std::string &region)
{
    std::vector<std::string> vms;
    for (const Heartbeat *peer : reachable) {
        if (peer->region == region && peer->ready && !peer->leaving && peer->permitProtocol > 0
            && peer->targetContact != TargetContact::Lost)
            vms.push_back(peer->vm);
    }
    return vms;
}

std::vector<DirectoryEntry> directoryEntries(const std::optional<DirectoryEntry> &self,
                                             const std::vector<const Heartbeat *> &reachable,
                                             const std::map<std::string, RegisteredVm> &registered)
{
    std::vector<DirectoryEntry> entries;
    if (self)
        entries.push_back(*self);
    for (const Heartbeat *peer : reachable) {
        if (peer->leaving)
            continue;
        const auto vm = registered.find(peer->vm);
        entries.push_back({ peer->callerAddress, peer->region, peer->zone, peer->targetContact,
                            vm == registered.end() ? VmCapacity() : vm->second.capacity });
    }
    const bool anyReached
            = std::any_of(entries.begin(), entries.end(), [](const DirectoryEntry &entry) {
                  return entry.targetContact == TargetContact::Reached;
              });
    if (anyReached)
        std::erase_if(entries, [](const DirectoryEntry &entry) {
            return entry.targetContact == TargetContact::Lost;
        });
    return entries;
}

std::vector<std::string> directoryAddresses(const std::vector<DirectoryEntry> &serving,
                                            const std::string &callerRegion, std::size_t maxCount)
{
    std::vector<DirectoryEntry> entries = serving;
    const auto isElsewhere
            = [&](const DirectoryEntry &entry) { return entry.region != callerRegion; };
    if (!std::all_of(entries.begin(), entries.end(), isElsewhere))
        std::erase_if(entries, isElsewhere);
    std::vector<VmCapacity> capacities;
    capacities.reserve(entries.size());
    for (const DirectoryEntry &entry : entries)
        capacities.push_back(entry.capacity);
    const std::vector<bool> isNamed = LargeVmSelection::select(capacities);
    std::vector<std::string> chosen;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (isNamed[i])
            chosen.push_back(entries[i].callerAddress);
    }
    if (chosen.size() > maxCount)
        chosen.resize(maxCount);
    return chosen;
}

} // namespace basildeck
