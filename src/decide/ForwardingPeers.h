#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace basildeck {

// A VM that reaches targets and takes requests from VMs that are partitioned from them.
struct ForwardingPeer
{
    std::string vm;
    std::string region;
    Address address; // where it takes forwarded requests
};

// Chooses the peer to which a VM that is partitioned from the targets forwards a request.
//
// Peers of the VM's own region come first, then the ones with the fewest outstanding requests.
// Equal peers are ordered differently at each VM, so that several partitioned VMs spread over them.
class ForwardingPeers
{
public:
    // Maximum number of requests that one peer has outstanding from this VM.
    static constexpr int maxOutstandingPerPeer = 64;

    ForwardingPeers(std::string self, std::string region);

    // Replaces the peers. Outstanding requests of a peer that stays are kept.
    void setPeers(std::vector<ForwardingPeer> peers);
    bool isEmpty() const { return m_peers.empty(); }

    // Returns the peer for a request, or null if no peer may take it now. Without allowed regions
    // any region is allowed. Peers that have been tried are left out.
    const ForwardingPeer *choose(const std::vector<std::string> &allowedRegions,
                                 const std::vector<std::string> &tried, Time now) const;
    void started(const std::string &vm) { ++m_outstanding[vm]; }
    void ended(const std::string &vm);
    // Leaves out a peer that could not be reached, or that takes no requests, until a given time.
    void avoid(const std::string &vm, Time until) { m_avoidedUntil[vm] = until; }
    int outstanding(const std::string &vm) const;

private:
    std::string m_self;
    std::string m_region;
    std::vector<ForwardingPeer> m_peers; // of the own region first, else in this VM's order
    std::map<std::string, int> m_outstanding;
    std::map<std::string, Time> m_avoidedUntil;
};

} // namespace basildeck
