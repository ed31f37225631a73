#include "edge/GossipTask.h"

#include "core/Log.h"
#include "core/SocketAddress.h"
#include "edge/PeerMessages.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <variant>

namespace basildeck {

namespace {

constexpr const char *logComponent = "gossip";
// The number of addresses of other VMs in each heartbeat, by which a VM that cannot reach the store
// discovers the fleet.
constexpr std::size_t introductionsPerHeartbeat = 2;

} // namespace

std::unique_ptr<GossipTask> GossipTask::make(EventLoop &loop, const EdgeSettings &settings,
                                             PeerTable &peers, Callbacks callbacks)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    const sockaddr_in address = toSocketAddress(settings.gossipAddress());
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::unique_ptr<GossipTask>(
            new GossipTask(loop, settings, peers, std::move(callbacks), descriptor));
}

GossipTask::GossipTask(EventLoop &loop, const EdgeSettings &settings, PeerTable &peers,
                       Callbacks callbacks, int descriptor)
    : m_loop(loop)
    , m_peers(peers)
    , m_callbacks(std::move(callbacks))
    , m_descriptor(descriptor)
    , m_watcher(std::make_unique<DescriptorWatcher>(loop, descriptor,
                                                    [this](bool, bool) { receiveAll(); }))
    , m_timer(loop, [this] { sendPeriodicHeartbeat(); })
{
    m_ownHeartbeat.vm = settings.vmName;
    m_ownHeartbeat.region = settings.region;
    m_ownHeartbeat.zone = settings.zone;
    m_ownHeartbeat.callerAddress = settings.callerAddress.toString();
    m_ownHeartbeat.gossipAddress = settings.gossipAddress().toString();
    m_ownHeartbeat.relayAddress = settings.relayAddress().toString();
    m_ownHeartbeat.forwardingAddress = settings.forwardingAddress().toString();
    // The wall clock orders the processes of a VM. If it was set back between two processes,
    // heartbeats of the later one are ignored until the earlier one is forgotten.
    m_ownHeartbeat.incarnation = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
    m_watcher->setInterest(true, false);
    m_timer.startOnce(Duration::zero());
}

GossipTask::~GossipTask()
{
    m_watcher.reset();
    ::close(m_descriptor);
}

void GossipTask::sendHeartbeatNow()
{
    m_callbacks.fillState(m_ownHeartbeat);
    sendHeartbeat();
}

void GossipTask::requestTokens(QuotaLoanRequest loanRequest,
                               const std::vector<std::string> &gossipAddresses)
{
    loanRequest.gossipAddress = m_ownHeartbeat.gossipAddress;
    send(serializeMessage(loanRequest), gossipAddresses);
}

void GossipTask::sendAccessMessage(const AccessMessage &message, const std::string &gossipAddress)
{
    send(serializeMessage(message), { gossipAddress });
}

void GossipTask::sendPeriodicHeartbeat()
{
    m_callbacks.fillDemands(m_ownHeartbeat);
    m_callbacks.fillState(m_ownHeartbeat);
    const std::vector<std::string> addresses = m_peers.gossipAddresses();
    m_ownHeartbeat.introducedAddresses.clear();
    for (std::size_t i = 0; i < std::min(introductionsPerHeartbeat, addresses.size()); ++i)
        m_ownHeartbeat.introducedAddresses.push_back(
                addresses[m_nextIntroduction++ % addresses.size()]);
    sendHeartbeat();
    m_timer.startOnce(m_peers.heartbeatInterval());
}

void GossipTask::sendHeartbeat()
{
    ++m_ownHeartbeat.sequence;
    std::vector<std::string> addresses = m_peers.gossipAddresses();
    const auto earlier = std::stable_partition(
            addresses.begin(), addresses.end(),
            [this](const std::string &address) { return !m_earlierBuilds.contains(address); });
    send(serializeMessage(m_ownHeartbeat), { addresses.begin(), earlier });
    if (earlier != addresses.end())
        send(serializeMessage(m_ownHeartbeat, HeartbeatLayout::WithoutForwarding),
             { earlier, addresses.end() });
}

void GossipTask::send(const std::string &bytes, const std::vector<std::string> &addresses)
{
    for (const std::string &text : addresses) {
        const auto address = Address::parse(text);
        if (!address)
            continue;
        const sockaddr_in to = toSocketAddress(address.value());
        // Send errors are ignored: datagrams may be lost anyway.
        ::sendto(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    }
}

void GossipTask::receiveAll()
{
    static thread_local std::array<char, maxDatagramBytes> buffer;
    for (;;) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        try {
            handleDatagram({ buffer.data(), static_cast<std::size_t>(count) });
        } catch (const std::exception &error) {
            BASILDECK_WARNING(logComponent)
                    << "invalid datagram bytes=" << count << " " << error.what();
        }
    }
}

void GossipTask::handleDatagram(std::string_view bytes)
{
    std::visit([this](const auto &message) { handle(message); }, parseMessage(bytes));
}

void GossipTask::handle(const ReceivedHeartbeat &received)
{
    const Heartbeat &heartbeat = received.heartbeat;
    for (const std::string &address : heartbeat.introducedAddresses)
        m_peers.addIntroducedAddress(address);
    if (!m_peers.recordHeartbeat(heartbeat, m_loop.now()))
        return;
    if (received.layout == HeartbeatLayout::Current)
        m_earlierBuilds.erase(heartbeat.gossipAddress);
    else if (m_earlierBuilds.insert(heartbeat.gossipAddress).second)
        BASILDECK_INFO(logComponent)
                << "VM of an earlier build, sending it heartbeats that it reads"
                << " vm=" << heartbeat.vm;
    m_callbacks.onHeartbeat(heartbeat);
}

void GossipTask::handle(const QuotaLoanRequest &loanRequest)
{
    const QuotaLoan loan = m_callbacks.onTokenRequest(loanRequest);
    if (!loan.tokens.empty())
        send(serializeMessage(loan), { loanRequest.gossipAddress });
}

void GossipTask::handle(const QuotaLoan &loan)
{
    m_callbacks.onTokenLoan(loan);
}

} // namespace basildeck
