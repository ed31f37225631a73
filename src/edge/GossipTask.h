#pragma once

#include "core/EventLoop.h"
#include "decide/PeerTable.h"
#include "edge/EdgeSettings.h"

#include <functional>
#include <map>
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
        std::function<void(PeerBeat &)> fillDemands; // at each regular beat
        std::function<void(PeerBeat &)> fillNews;    // all other fields that change
        std::function<void(const PeerBeat &)> heard;
    };

    // Null if the address is taken.
    static std::unique_ptr<GossipTask> make(EventLoop &loop, const EdgeSettings &settings,
                                            PeerTable &peers, Callbacks callbacks);
    ~GossipTask();

    // Sends a beat between two regular ones. It repeats the demands of the last one.
    void beatNow();
    // Sends a beat with tokens, by organisation, to one VM.
    void lend(const std::string &gossipAddress, std::map<std::string, double> loans);

private:
    GossipTask(EventLoop &loop, const EdgeSettings &settings, PeerTable &peers, Callbacks callbacks,
               int descriptor);
    void receiveAll();
    void beat();
    void send(const std::vector<std::string> &addresses);

    EventLoop &m_loop;
    PeerTable &m_peers;
    Callbacks m_callbacks;
    int m_descriptor;
    PeerBeat m_own;
    std::unique_ptr<DescriptorWatch> m_watch;
    Timer m_timer;
    std::size_t m_nextIntroduction = 0;
};

} // namespace basildeck
