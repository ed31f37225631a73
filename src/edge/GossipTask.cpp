#include "edge/GossipTask.h"

#include "core/Log.h"
#include "core/SocketAddress.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace basildeck {

namespace {

constexpr const char *part = "gossip";
constexpr std::size_t maxDatagram = 32 * 1024;
// Addresses of other VMs that a beat names, so that a VM without the store finds them all.
constexpr std::size_t introductionsPerBeat = 2;

// First byte of a datagram.
enum class GossipKind : std::uint8_t {
    Beat,
    Ask,
    Loan,
};

GossipKind kindOf(const Heartbeat &)
{
    return GossipKind::Beat;
}

GossipKind kindOf(const QuotaLoanRequest &)
{
    return GossipKind::Ask;
}

GossipKind kindOf(const QuotaLoan &)
{
    return GossipKind::Loan;
}

} // namespace

template <typename Archive>
void serialize(Archive &archive, CrashReport &report)
{
    archive(report.fingerprint, report.target, report.ranForMs);
}

template <typename Archive>
void serialize(Archive &archive, Heartbeat &beat)
{
    archive(beat.vm, beat.incarnation, beat.sequence, beat.region, beat.zone, beat.callerAddress,
            beat.gossipAddress, beat.relayAddress, beat.storeReachedForMs, beat.ready, beat.leaving,
            beat.revisions, beat.demands, beat.crashes, beat.introducedAddresses);
}

template <typename Archive>
void serialize(Archive &archive, QuotaLoanRequest &ask)
{
    archive(ask.borrower, ask.gossipAddress, ask.requestId, ask.tokens);
}

template <typename Archive>
void serialize(Archive &archive, QuotaLoan &loan)
{
    archive(loan.lender, loan.requestId, loan.tokens);
}

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
    , m_watch(std::make_unique<DescriptorWatch>(loop, descriptor,
                                                [this](bool, bool) { receiveAll(); }))
    , m_timer(loop, [this] { beat(); })
{
    m_own.vm = settings.vmName;
    m_own.region = settings.region;
    m_own.zone = settings.zone;
    m_own.callerAddress = settings.callerAddress.toString();
    m_own.gossipAddress = settings.gossipAddress().toString();
    m_own.relayAddress = settings.relayAddress().toString();
    // The time of day orders processes of one VM. A clock that was set back between two of them
    // only delays the news of the later one until the earlier one is forgotten.
    m_own.incarnation = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
    m_watch->want(true, false);
    m_timer.startOnce(Duration::zero());
}

GossipTask::~GossipTask()
{
    m_watch.reset();
    ::close(m_descriptor);
}

void GossipTask::beatNow()
{
    m_callbacks.fill(m_own);
    sendBeat();
}

void GossipTask::ask(QuotaLoanRequest ask, const std::vector<std::string> &gossipAddresses)
{
    ask.gossipAddress = m_own.gossipAddress;
    send(ask, gossipAddresses);
}

void GossipTask::beat()
{
    m_callbacks.fillDemands(m_own);
    m_callbacks.fill(m_own);
    const std::vector<std::string> addresses = m_peers.gossipAddresses();
    m_own.introducedAddresses.clear();
    for (std::size_t i = 0; i < std::min(introductionsPerBeat, addresses.size()); ++i)
        m_own.introducedAddresses.push_back(addresses[m_nextIntroduction++ % addresses.size()]);
    sendBeat();
    m_timer.startOnce(m_peers.heartbeatInterval());
}

void GossipTask::sendBeat()
{
    ++m_own.sequence;
    send(m_own, m_peers.gossipAddresses());
}

template <typename Message>
void GossipTask::send(const Message &message, const std::vector<std::string> &addresses)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(kindOf(message), message);
    }
    const std::string bytes = out.str();
    for (const std::string &text : addresses) {
        const auto address = Address::parse(text);
        if (!address)
            continue;
        const sockaddr_in to = toSocketAddress(address.value());
        // A datagram that cannot be sent is one that was lost.
        ::sendto(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr *>(&to), sizeof(to));
    }
}

void GossipTask::receiveAll()
{
    static thread_local std::array<char, maxDatagram> buffer;
    for (;;) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0)
            return;
        try {
            receive(std::string(buffer.data(), static_cast<std::size_t>(count)));
        } catch (const cereal::Exception &error) {
            BASILDECK_WARNING(part) << "unreadable datagram bytes=" << count << " " << error.what();
        }
    }
}

void GossipTask::receive(const std::string &bytes)
{
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    GossipKind kind{};
    archive(kind);
    switch (kind) {
    case GossipKind::Beat: {
        Heartbeat beat;
        archive(beat);
        for (const std::string &address : beat.introducedAddresses)
            m_peers.addIntroducedAddress(address);
        if (m_peers.recordHeartbeat(beat, m_loop.now()))
            m_callbacks.heard(beat);
        return;
    }
    case GossipKind::Ask: {
        QuotaLoanRequest ask;
        archive(ask);
        const QuotaLoan loan = m_callbacks.lend(ask);
        if (!loan.tokens.empty())
            send(loan, { ask.gossipAddress });
        return;
    }
    case GossipKind::Loan: {
        QuotaLoan loan;
        archive(loan);
        m_callbacks.borrow(loan);
        return;
    }
    }
    throw cereal::Exception("kind " + std::to_string(static_cast<int>(kind)));
}

} // namespace basildeck
