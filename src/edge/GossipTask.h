#pragma once

#include "core/EventLoop.h"
#include "decide/PeerTable.h"
#include "edge/EdgeSettings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

// Sends this VM's beats to the others by UDP and takes theirs in.
class GossipTask
{
public:
    struct Callbacks
    {
        std::function<void(Heartbeat &)> fillDemands; // at each regular beat
        std::function<void(Heartbeat &)> fill;        // all other fields that change
        std::function<void(const Heartbeat &)> heard;
        std::function<QuotaLoan(const QuotaLoanRequest &)> lend;
        std::function<void(const QuotaLoan &)> borrow;
    };

    // Null if the address is taken.
    static std::unique_ptr<GossipTask> make(EventLoop &loop, const EdgeSettings &settings,
                                            PeerTable &peers, Callbacks callbacks);
    ~GossipTask();

    // Sends a beat between two regular ones. It repeats the demands of the last one.
    void beatNow();
    // Asks some VMs for tokens.
    void ask(QuotaLoanRequest ask, const std::vector<std::string> &gossipAddresses);

private:
    GossipTask(EventLoop &loop, const EdgeSettings &settings, PeerTable &peers, Callbacks callbacks,
               int descriptor);
    void receiveAll();
    void beat();
    void sendBeat();
    template <typename Message>
    void send(const Message &message, const std::vector<std::string> &addresses);
    void receive(const std::string &bytes);

    EventLoop &m_loop;
    PeerTable &m_peers;
    Callbacks m_callbacks;
    int m_descriptor;
    Heartbeat m_own;
    std::unique_ptr<DescriptorWatch> m_watch;
    Timer m_timer;
    std::size_t m_nextIntroduction = 0;
};

} // namespace basildeck
