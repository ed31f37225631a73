#pragma once

#include "decide/DirectShare.h"
#include "decide/ForwardingPeers.h"
#include "edge/ConnectionPool.h"
#include "edge/ForwardedRequest.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

// The peers through which this VM forwards requests while it is partitioned from the targets, and
// the connections to them.
class PeerForwarding
{
public:
    // Maximum number of peers that are asked to take a request.
    static constexpr std::size_t maxPeersPerRequest = 3;
    // How long a peer gets no request after it could not be reached, and after it declined one.
    static constexpr Duration unreachableTime = seconds(1);
    static constexpr Duration declineTime = milliseconds(50);

    PeerForwarding(EventLoop &loop, const std::string &vm, const std::string &region);
    ~PeerForwarding();

    // Returns whether this changes anything.
    bool setPartitioned(bool isPartitioned);
    // Returns whether these are the first peers.
    bool setPeers(std::vector<ForwardingPeer> peers);
    bool isPartitioned() const { return m_isPartitioned; }
    // Whether requests are forwarded: during a partition, if there are peers, and in part for some
    // time after it.
    bool isActive() const;
    // Returns whether the next request is sent to a target directly, after a partition.
    bool takeDirect();
    // Returns the peer for a request, or null if none may take it.
    const ForwardingPeer *choose(const ForwardedRequest &request) const;

    // Starts a request to a peer.
    ConnectionPool::Lease start(const ForwardingPeer &peer);
    // A request ended. Takes the connection back if it is not null.
    void end(const std::string &vm, std::unique_ptr<HttpClientConnection> connection);
    void recordUnreachable(const std::string &vm);
    void recordDecline(const std::string &vm, ForwardingDecline decline);
    void recordLost(const std::string &vm);
    // Closes expired idle connections.
    void tick();
    std::string metricsText() const;

private:
    struct Connections
    {
        Address address;
        std::unique_ptr<ConnectionPool> pool;
    };

    EventLoop &m_loop;
    ForwardingPeers m_peers;
    std::map<std::string, Connections> m_connections; // by VM
    DirectShare m_directShare;
    bool m_isPartitioned = false;
    std::uint64_t m_forwarded = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_unreachable = 0;
    std::map<ForwardingDecline, std::uint64_t> m_declined;
};

} // namespace basildeck
