#pragma once

#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/TaskMessages.h"
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

// The task that communicates with the other entry VMs. It owns the membership, the latest
// configuration and the evidence about the store, and transports messages of the other tasks
// between VMs.
class PeerTask
{
public:
    // Counters for metrics. Any thread may read them.
    struct Statistics
    {
        std::atomic<std::uint64_t> bytesSent{ 0 };
        std::atomic<std::uint64_t> bytesReceived{ 0 };
        std::atomic<std::uint64_t> packetsSent{ 0 };
        std::atomic<std::uint64_t> packetsRefused{ 0 };
        std::atomic<std::uint64_t> configEra{ 0 };
        std::atomic<std::uint64_t> configVersion{ 0 };
        std::atomic<std::uint64_t> configSyncs{ 0 };
    };

    // Returns null if the peer address is in use.
    static std::unique_ptr<PeerTask> make(const Settings &settings, Mailbox<FrontMessage> &front,
                                          Mailbox<StoreMessage> &store);
    ~PeerTask();

    // Sets the mailbox that receives the configuration in force. Call it before run().
    void connect(Mailbox<AdminMessage> &admin) { m_admin = &admin; }

    Mailbox<PeerMessage> &mailbox() { return m_mailbox; }
    const Statistics &statistics() const { return m_statistics; }
    // Processes events until stop() is called, which any thread may do.
    void run();
    void stop();

private:
    PeerTask(const Settings &settings, Mailbox<FrontMessage> &front, Mailbox<StoreMessage> &store);

    void tick(Time now);
    void handleMessage(PeerMessage message, Time now);
    void onDatagram(std::string_view bytes);
    void handleBody(const Packet &packet, Time now);
    void onAck(const std::string &from, const Ack &ack, Time now);
    void handleHeader(const PacketHeader &header, Time now);
    std::string onSyncRequest(std::string_view bytes);
    void onSyncResponse(std::uint64_t exchange, std::string_view bytes);
    void send(const std::string &vm, PacketBody body);
    void sendTo(const Address &address, const std::string &vm, PacketBody body);
    PacketHeader header(Time now) const;
    void applyConfig(const StoreVersion &version, std::shared_ptr<const std::string> text);
    void applyHolderTable(const HolderTable &table);
    void expireExceptions();
    void startSync(const Address &from, bool includeMembers);
    void contactSeeds(Time now);
    void publishUpdates(Time now);
    void publishRoles(Time now);
    void announceUpdate();

    Settings m_settings;
    Mailbox<FrontMessage> &m_front;
    Mailbox<StoreMessage> &m_store;
    Mailbox<AdminMessage> *m_admin = nullptr;
    Mailbox<PeerMessage> m_mailbox;
    std::unique_ptr<PeerSockets> m_sockets;
    std::atomic<bool> m_stopped{ false };
    Statistics m_statistics;

    Membership m_membership;
    StorePartitionDetector m_evidence;
    ConfigHistory m_config;
    HolderTable m_holderTable;
    HolderView m_holderView;
    StoreVersion m_acknowledgedHolderVersion;
    // A ping that this VM has sent on behalf of another one.
    struct ForwardedPing
    {
        std::string requester;
        std::uint64_t sequence; // of the requester's PingRequest
        Time sent;
    };
    std::map<std::uint64_t, ForwardedPing> m_forwardedPings; // by the sequence of the ping sent
    std::uint64_t m_nextForwardedSequence;
    std::optional<std::uint64_t> m_pendingSync; // PeerSockets::ExchangeId
    std::uint64_t m_publishedRevision = 0;
    Time m_lastSeedContact;
    Time m_lastRolesPublish;
    Time m_lastPublish;
    Time m_started;
    std::optional<std::int64_t> m_nextExceptionExpiry; // Unix time
    CrashQuarantine m_crashes;
    std::map<std::string, StoreVersion> m_acknowledgedVersions; // by VM
};

} // namespace basildeck
