#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"
#include "core/StoreVersion.h"
#include "decide/CrashQuarantine.h"
#include "decide/ForwardingPeers.h"
#include "decide/RegisteredVm.h"
#include "decide/TargetContact.h"
#include "decide/TargetLimit.h"
#include "decide/TargetReport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// State that each VM sends to all others several times a second.
struct Heartbeat
{
    std::string vm;
    std::uint64_t incarnation = 0; // increases with each process of a VM
    std::uint64_t sequence = 0;    // increases with each heartbeat of a process
    std::string region;
    std::string zone;
    std::string callerAddress;
    std::string gossipAddress;
    std::string relayAddress;
    std::string forwardingAddress; // for requests of VMs that are partitioned from the targets
    std::uint32_t storeReachedForMs = 0; // uninterrupted contact with the store
    bool ready = false;
    bool leaving = false;
    TargetContact targetContact = TargetContact::Unknown;
    std::map<std::string, StoreVersion> versions; // of its replicas, by kind of object
    std::map<std::string, double> demands;        // requests per second, by organisation
    std::vector<CrashReport> crashes;             // recent ones
    std::vector<TargetReport> targetReports;      // since the last heartbeat
    std::vector<std::string> introducedAddresses; // gossip addresses of a few other VMs
    std::vector<TargetLimitReport> targetLimits;  // as this VM observed them lately
    std::uint8_t permitProtocol = 0;              // version of the permit messages, 0 for none
};

// Requests tokens of quotas from another VM.
struct QuotaLoanRequest
{
    std::string borrower;                 // name of the VM
    std::string gossipAddress;            // of the borrower
    std::uint64_t requestId = 0;          // chosen by the borrower
    std::map<std::string, double> tokens; // by organisation
    // Organisations of which a request waits at a borrower that is a holder itself. The lender
    // keeps no reserve from it. Sent last, and only if there are any.
    std::set<std::string> urgent;
};

// Response to a QuotaLoanRequest.
struct QuotaLoan
{
    std::string lender;                   // name of the VM
    std::uint64_t requestId = 0;          // of the request
    std::map<std::string, double> tokens; // by organisation
    // Organisations of which neither the lender nor the holders that it asked have tokens. Sent
    // last, and only if there are any.
    std::set<std::string> exhausted;
};

// The other VMs of the fleet: those that are registered and those that send heartbeats.
class PeerTable
{
public:
    // Heartbeat interval in a small fleet.
    static constexpr Duration minHeartbeatInterval = milliseconds(250);
    // Limits the heartbeats that a VM sends to all others together: the interval grows with the
    // fleet.
    static constexpr double maxHeartbeatsPerSecond = 60;
    // A VM of a small fleet is unreachable after this time without a heartbeat.
    static constexpr Duration minReachabilityTimeout = milliseconds(1500);
    // Consecutive heartbeats that may be lost in a larger fleet.
    static constexpr int maxMissedHeartbeats = 3;
    // A registered VM without heartbeats for this time is considered gone. This exceeds any network
    // partition that the platform's bounds cover, because a partitioned VM keeps its share of
    // quotas.
    static constexpr Duration deregistrationTimeout = seconds(120);
    // An unregistered VM is forgotten after this time without a heartbeat.
    static constexpr Duration peerRetention = seconds(20);

    explicit PeerTable(std::string self)
        : m_self(std::move(self))
    {}

    // Replaces the registered VMs, by name.
    void setRegistered(std::map<std::string, RegisteredVm> vms, Time now);
    // The registered VMs by name, including this one.
    const std::map<std::string, RegisteredVm> &registeredVms() const { return m_registered; }
    // The region of each registered VM by its name, including this one.
    std::map<std::string, std::string> registeredRegions() const;
    // Returns a registered VM that is gone, if this VM has to remove its registration. Of the VMs
    // that reach each other, the first by name does this. VMs that left by themselves and are
    // registered again only because the store returned from a copy are gone once they are silent.
    std::optional<std::string> vmToDeregister(Time now,
                                              const std::set<std::string> &left = {}) const;
    // Returns false if the heartbeat is older than the last one.
    bool recordHeartbeat(const Heartbeat &heartbeat, Time now);
    // Adds a gossip address that another VM announced.
    void addIntroducedAddress(const std::string &gossipAddress);
    void tick(Time now);

    // Interval of the regular heartbeats to all other VMs.
    Duration heartbeatInterval() const;
    // Time without a heartbeat after which a VM is unreachable.
    Duration reachabilityTimeout() const;
    // Last heartbeats of the VMs that are reachable.
    std::vector<const Heartbeat *> reachable(Time now) const;
    // Address of another VM for gossip; empty if the VM is not known.
    std::string gossipAddressOf(const std::string &vm) const;
    // Address of another VM for requests; empty if the VM is not known.
    std::string relayAddressOf(const std::string &vm) const;
    // Addresses to send heartbeats to.
    std::vector<std::string> gossipAddresses() const;
    // Number of VMs that may be serving, including this one, whether or not they are reachable.
    std::size_t knownVmCount() const;
    // Number of other VMs of a region, whether or not they are reachable.
    std::size_t peerCountInRegion(const std::string &region) const;
    // Longest uninterrupted contact with the store among the reachable VMs.
    Duration longestStoreContact(Time now) const;
    // The reachable VM with the newest replica of a kind of object, other than the excluded ones.
    // Null if none is newer than the given version.
    const Heartbeat *peerWithNewestReplica(const std::string &kind, StoreVersion version, Time now,
                                           const std::set<std::string> &excluded = {}) const;

private:
    struct Peer
    {
        Heartbeat heartbeat;
        Time receivedAt;
    };

    std::string m_self;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, RegisteredVm> m_registered; // including this VM
    std::map<std::string, Time> m_registeredSince;
    std::map<std::string, bool> m_introducedAddresses; // by address
};

// The reachable VMs that serve and say that they reach targets, so that they can forward requests
// for others.
std::vector<ForwardingPeer> forwardingPeers(const std::vector<const Heartbeat *> &reachable);

// The reachable VMs of a region that may coordinate the access to targets, by name.
std::vector<std::string> accessCoordinators(const std::vector<const Heartbeat *> &reachable,
                                            const std::string &region);

// A VM in the directory of entry VMs.
struct DirectoryEntry
{
    std::string callerAddress;
    std::string region;
    std::string zone;
    TargetContact targetContact = TargetContact::Unknown;
    VmCapacity capacity;
};

// The VMs that lookups may name: this one, unless it is shutting down, and the reachable ones that
// are not. Those that reach no target are left out as long as another one does. May be empty.
std::vector<DirectoryEntry> directoryEntries(const std::optional<DirectoryEntry> &self,
                                             const std::vector<const Heartbeat *> &reachable,
                                             const std::map<std::string, RegisteredVm> &registered
                                             = {});

// Caller addresses of the VMs that callers of a region are to use: those of their region if it has
// any, else all. Small VMs may be left out (see LargeVmSelection).
std::vector<std::string> directoryAddresses(const std::vector<DirectoryEntry> &serving,
                                            const std::string &callerRegion, std::size_t maxCount);

} // namespace basildeck
