#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"
#include "decide/CrashQuarantine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// What each VM tells the others about itself, several times a second.
struct Heartbeat
{
    std::string vm;
    std::uint64_t incarnation = 0; // higher in each later process of a VM
    std::uint64_t sequence = 0;    // higher in each later beat of a process
    std::string region;
    std::string zone;
    std::string callerAddress;
    std::string gossipAddress;
    std::string relayAddress;
    std::uint32_t storeReachedForMs = 0; // how long the store has answered it without a break
    bool ready = false;
    bool leaving = false;
    std::map<std::string, std::uint64_t> revisions; // store revision of each kind of objects it has
    std::map<std::string, double> demands;          // requests per second, by organisation
    std::vector<CrashReport> crashes;               // seen lately
    std::vector<std::string> introducedAddresses; // gossip addresses of other VMs, a few at a time
};

// A VM asks another one for tokens of quotas.
struct QuotaLoanRequest
{
    std::string borrower;                 // name of the VM
    std::string gossipAddress;            // of the borrower
    std::uint64_t requestId = 0;          // of the borrower's asks
    std::map<std::string, double> tokens; // by organisation
};

// The answer to an ask.
struct QuotaLoan
{
    std::string lender;                   // name of the VM
    std::uint64_t requestId = 0;          // of the ask
    std::map<std::string, double> tokens; // by organisation
};

// The other VMs: those that are registered, and those that are heard from.
class PeerTable
{
public:
    // Time between two beats in a small fleet.
    static constexpr Duration minHeartbeatInterval = milliseconds(250);
    // Beats that a VM sends a second at most: a larger fleet beats more slowly.
    static constexpr double maxHeartbeatsPerSecond = 60;
    // A VM of a small fleet that is silent for this long counts as not reachable.
    static constexpr Duration minReachabilityTimeout = milliseconds(1500);
    // Beats that may be lost in a row in a larger fleet.
    static constexpr int maxMissedHeartbeats = 3;
    // A registered VM that is not heard from for this long is taken for gone. Longer than any cut
    // that the platform's bounds speak of, since a VM that is only cut off keeps a part of quotas.
    static constexpr Duration deregistrationTimeout = seconds(120);
    // A VM that is neither registered nor heard from for this long is forgotten.
    static constexpr Duration peerRetention = seconds(20);

    explicit PeerTable(std::string self)
        : m_self(std::move(self))
    {}

    // Replaces the list of registered VMs: gossip address by name.
    void setRegistered(std::map<std::string, std::string> gossipAddresses, Time now);
    // A registered VM that is gone, if it falls to this VM to remove its registration: of the VMs
    // that hear from each other, to the first by name.
    std::optional<std::string> vmToDeregister(Time now) const;
    // Takes in a beat. False if it is older than what is known.
    bool recordHeartbeat(const Heartbeat &beat, Time now);
    // Another VM named an address.
    void addIntroducedAddress(const std::string &gossipAddress);
    void tick(Time now);

    // Time between two regular beats to all the others.
    Duration heartbeatInterval() const;
    // How long a VM may be silent.
    Duration reachabilityTimeout() const;
    // VMs heard from lately.
    std::vector<const Heartbeat *> reachable(Time now) const;
    // Gossip addresses by name of some VMs that are heard from, those of a region first. Which of
    // the others are taken changes from call to call.
    std::map<std::string, std::string> nearestPeers(const std::string &region, std::size_t most,
                                                    Time now);
    // Addresses to send beats to.
    std::vector<std::string> gossipAddresses() const;
    // VMs that may be serving, this one included, whether or not they are heard from.
    std::size_t knownVmCount() const;
    // Other VMs of a region, whether or not they are heard from.
    std::size_t peerCountInRegion(const std::string &region) const;
    // The longest time for which the store has answered one of the reachable VMs without a break.
    Duration longestStoreContact(Time now) const;
    // The reachable VM with the newest copy of a kind, if it is newer than a revision.
    const Heartbeat *peerWithNewestCopy(const std::string &kind, std::uint64_t revision,
                                        Time now) const;

private:
    struct Peer
    {
        Heartbeat beat;
        Time heardAt;
    };

    std::string m_self;
    std::map<std::string, Peer> m_heard;
    std::map<std::string, std::string> m_registered;
    std::map<std::string, Time> m_registeredSince;
    std::map<std::string, bool> m_introduced; // by address
    std::size_t m_rotation = 0;
};

// What the directory needs to know of a VM.
struct DirectoryEntry
{
    std::string callerAddress;
    std::string region;
    std::string zone;
};

// The VMs that callers in a region are to use: those of their region if it has any, else those of
// the regions that may serve them, else all.
std::vector<std::string> directoryAddresses(const std::vector<DirectoryEntry> &serving,
                                            const std::string &callerRegion, std::size_t most);

} // namespace basildeck
