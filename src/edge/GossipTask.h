#pragma once

#include "core/EventLoop.h"
#include "decide/PeerTable.h"
#include "edge/EdgeSettings.h"
#include "edge/PeerMessages.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// Exchanges heartbeats, quota token loans and permits for targets with the other VMs by UDP.
class GossipTask
{
public:
    struct Callbacks
    {
        std::function<void(Heartbeat &)> fillDemands; // before each periodic heartbeat
        std::function<void(Heartbeat &)> fillState;   // all other variable fields
        std::function<void(const Heartbeat &)> onHeartbeat;
        std::function<QuotaLoan(const QuotaLoanRequest &)> onTokenRequest;
        std::function<void(const QuotaLoan &)> onTokenLoan;
        std::function<void(const AccessMessage &)> onAccessMessage = [](const AccessMessage &) {};
    };

    // Returns null if the address cannot be bound.
    static std::unique_ptr<GossipTask> make(EventLoop &loop, const EdgeSettings &settings,
                                            PeerTable &peers, Callbacks callbacks);
    ~GossipTask();

    // Sends a heartbeat out of schedule, with the demands of the last periodic one.
    void sendHeartbeatNow();
    // Requests quota tokens from other VMs.
    void requestTokens(QuotaLoanRequest loanRequest,
                       const std::vector<std::string> &gossipAddresses);
    void sendAccessMessage(const AccessMessage &message, const std::string &gossipAddress);

private:
    GossipTask(EventLoop &loop, const EdgeSettings &settings, PeerTable &peers, Callbacks callbacks,
               int descriptor);
    void receiveAll();
    void sendPeriodicHeartbeat();
    void sendHeartbeat();
    void send(const std::string &bytes, const std::vector<std::string> &addresses);
    void handleDatagram(std::string_view bytes);
    void handle(const ReceivedHeartbeat &received);
    void handle(const QuotaLoanRequest &loanRequest);
    void handle(const QuotaLoan &loan);
    void handle(const PermitRequest &request) { m_callbacks.onAccessMessage(request); }
    void handle(const PermitReply &reply) { m_callbacks.onAccessMessage(reply); }
    void handle(const PermitRelease &release) { m_callbacks.onAccessMessage(release); }

    EventLoop &m_loop;
    PeerTable &m_peers;
    Callbacks m_callbacks;
    int m_descriptor;
    Heartbeat m_ownHeartbeat;
    std::unique_ptr<DescriptorWatcher> m_watcher;
    Timer m_timer;
    std::size_t m_nextIntroduction = 0;
    // Gossip addresses of VMs that send, and read, an earlier layout of heartbeats.
    std::set<std::string> m_earlierBuilds;
};

} // namespace basildeck
