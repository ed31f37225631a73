#include "edge/PeerForwarding.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";

std::string metricLine(const std::string &name, std::uint64_t value)
{
    return "basildeck_" + name + " " + std::to_string(value) + "\n";
}

std::string metricLine(const std::string &name, std::string_view reason, std::uint64_t value)
{
    return metricLine(name + "{reason=\"" + std::string(reason) + "\"}", value);
}

} // namespace

PeerForwarding::PeerForwarding(EventLoop &loop, const std::string &vm, const std::string &region)
    : m_loop(loop)
    , m_peers(vm, region)
{}

PeerForwarding::~PeerForwarding() = default;

bool PeerForwarding::setPartitioned(bool isPartitioned)
{
    if (std::exchange(m_isPartitioned, isPartitioned) == isPartitioned)
        return false;
    if (!isPartitioned)
        m_directShare.begin(m_loop.now());
    BASILDECK_INFO(logComponent) << (isPartitioned ? "forwarding requests through peers"
                                                   : "no longer forwarding requests through peers")
                                 << " has_peers=" << !m_peers.isEmpty();
    return true;
}

bool PeerForwarding::setPeers(std::vector<ForwardingPeer> peers)
{
    const bool hadPeers = !m_peers.isEmpty();
    std::erase_if(m_connections, [&](const auto &entry) {
        return std::none_of(peers.begin(), peers.end(), [&](const ForwardingPeer &peer) {
            return peer.vm == entry.first && peer.address == entry.second.address;
        });
    });
    m_peers.setPeers(std::move(peers));
    return !hadPeers && !m_peers.isEmpty();
}

bool PeerForwarding::isActive() const
{
    return !m_peers.isEmpty() && (m_isPartitioned || !m_directShare.isComplete(m_loop.now()));
}

bool PeerForwarding::takeDirect()
{
    return !m_isPartitioned && m_directShare.take(m_loop.now());
}

const ForwardingPeer *PeerForwarding::choose(const ForwardedRequest &request) const
{
    if (request.triedPeers.size() >= maxPeersPerRequest)
        return nullptr;
    return m_peers.choose(request.allowedRegions, request.triedPeers, m_loop.now());
}

ConnectionPool::Lease PeerForwarding::start(const ForwardingPeer &peer)
{
    ++m_forwarded;
    m_peers.started(peer.vm);
    Connections &connections = m_connections[peer.vm];
    if (!connections.pool) {
        connections.address = peer.address;
        connections.pool = std::make_unique<ConnectionPool>(m_loop, peer.address);
    }
    return connections.pool->acquire(m_loop.now());
}

void PeerForwarding::end(const std::string &vm, std::unique_ptr<HttpClientConnection> connection)
{
    m_peers.ended(vm);
    if (!connection)
        return;
    const auto found = m_connections.find(vm);
    if (found == m_connections.end()) {
        connection->close();
        m_loop.deleteLater(std::move(connection));
        return;
    }
    found->second.pool->release(std::move(connection), m_loop.now());
}

void PeerForwarding::recordUnreachable(const std::string &vm)
{
    ++m_unreachable;
    m_peers.avoid(vm, m_loop.now() + unreachableTime);
}

void PeerForwarding::recordLost(const std::string &vm)
{
    ++m_lost;
    m_peers.avoid(vm, m_loop.now() + declineTime);
}

void PeerForwarding::recordDecline(const std::string &vm, ForwardingDecline decline)
{
    ++m_declined[decline];
    switch (decline) {
    case ForwardingDecline::Partitioned:
    case ForwardingDecline::Leaving:
        m_peers.avoid(vm, m_loop.now() + unreachableTime);
        break;
    case ForwardingDecline::Busy:
        m_peers.avoid(vm, m_loop.now() + declineTime);
        break;
    case ForwardingDecline::NotConfigured:
    case ForwardingDecline::RegionNotAllowed:
    case ForwardingDecline::Invalid:
        break; // concerns the request, not the peer
    }
}

void PeerForwarding::tick()
{
    for (auto &[vm, connections] : m_connections)
        connections.pool->closeExpired(m_loop.now());
}

std::string PeerForwarding::metricsText() const
{
    std::string text = metricLine("forwarded_to_peers_total", m_forwarded)
                       + metricLine("peers_unreachable_total", m_unreachable)
                       + metricLine("lost_at_peers_total", m_lost);
    for (const auto &[decline, count] : m_declined)
        text += metricLine("declined_by_peers_total", forwardingDeclineName(decline), count);
    return text;
}

} // namespace basildeck
