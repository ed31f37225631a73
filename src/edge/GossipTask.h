#pragma once

#include "core/EventLoop.h"
#include "decide/PeerTable.h"
#include "edge/EdgeSettings.h"

#include <functional>
#include <memory>
#include <string>

namespace basildeck {

// Sends this VM's beats to the others by UDP and takes theirs in.
class GossipTask
{
public:
    struct Callbacks
    {
        std::function<void(PeerBeat &)> fill; // sets the fields that change
        std::function<void(const PeerBeat &)> heard;
    };

    // Null if the address is taken.
    static std::unique_ptr<GossipTask> make(EventLoop &loop, const EdgeSettings &settings,
                                            PeerTable &peers, Callbacks callbacks);
    ~GossipTask();

    // Sends a beat at once.
    void beatNow();

private:
    GossipTask(EventLoop &loop, const EdgeSettings &settings, PeerTable &peers, Callbacks callbacks,
               int descriptor);
    void receiveAll();
    void beat();

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
