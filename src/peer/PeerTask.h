#pragma once

#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/Messages.h"
#include "decide/Membership.h"
#include "decide/StorePartitionDetector.h"
#include "peer/ConfigHistory.h"
#include "peer/Packet.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace basildeck {

class PeerSockets;

// The task that talks to the other entry VMs. It owns the membership, the newest configuration and
// the evidence about the store, and carries messages of the other tasks.
class PeerTask
{
public:
    // Figures for status pages. Any thread may read them.
    struct Figures
    {
        std::atomic<std::uint64_t> bytesSent{ 0 };
        std::atomic<std::uint64_t> bytesReceived{ 0 };
        std::atomic<std::uint64_t> packetsSent{ 0 };
        std::atomic<std::uint64_t> packetsRefused{ 0 };
        std::atomic<std::uint64_t> configVersion{ 0 };
        std::atomic<std::uint64_t> configSyncs{ 0 };
    };

    // Returns null if the peer address is taken.
    static std::unique_ptr<PeerTask> make(const Settings &settings, Mailbox<FrontMessage> &front,
                                          Mailbox<StoreMessage> &store);
    ~PeerTask();

    Mailbox<PeerMessage> &mailbox() { return m_mailbox; }
    const Figures &figures() const { return m_figures; }
    // Serves until stop() is called.
    void run();
    void stop();

private:
    PeerTask(const Settings &settings, Mailbox<FrontMessage> &front, Mailbox<StoreMessage> &store);

    void tick(Time now);
    void handle(PeerMessage message, Time now);
    void onDatagram(std::string_view bytes);
    void onBody(const Packet &packet, Time now);
    void onAck(const std::string &from, const Ack &ack, Time now);
    void readHeader(const PacketHeader &header, Time now);
    std::string onSyncRequest(std::string_view bytes);
    void onSyncAnswer(std::uint64_t exchange, std::string_view bytes);
    void send(const std::string &vm, PacketBody body);
    void sendTo(const Address &address, const std::string &vm, PacketBody body);
    PacketHeader header(Time now) const;
    void takeConfig(std::uint64_t version, std::shared_ptr<const std::string> text);
    void takeHolders(const HolderTable &table);
    void endExceptions();
    void startSync(const Address &from, bool wantsMembers);
    void join(Time now);
    void publish(Time now);
    void publishRoles(Time now);
    void pushNews();

    Settings m_settings;
    Mailbox<FrontMessage> &m_front;
    Mailbox<StoreMessage> &m_store;
    Mailbox<PeerMessage> m_mailbox;
    std::unique_ptr<PeerSockets> m_sockets;
    std::atomic<bool> m_stopped{ false };
    Figures m_figures;

    Membership m_membership;
    StorePartitionDetector m_evidence;
    ConfigHistory m_config;
    HolderTable m_holders;
    HolderView m_holderView;
    std::uint64_t m_holderAcknowledged = 0;
    // A ping that this VM sends on behalf of another one.
    struct Forwarded
    {
        std::string asker;
        std::uint64_t sequence; // of the asker
        Time sent;
    };
    std::map<std::uint64_t, Forwarded> m_forwarded; // by own number
    std::uint64_t m_nextForward;
    std::optional<std::uint64_t> m_openSync;
    std::uint64_t m_publishedRevision = 0;
    Time m_lastJoin;
    Time m_lastRoles;
    Time m_lastPublish;
    Time m_started;
    std::optional<std::int64_t> m_nextExceptionEnd; // Unix time
    CrashQuarantine m_crashes;
    std::map<std::string, std::uint64_t> m_acknowledgedBy;
};

} // namespace basildeck
