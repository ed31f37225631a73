#pragma once

#include "edge/EdgeServer.h"
#include "edge/FleetView.h"
#include "edge/GossipTask.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basildeck {

// A question of a caller: which VMs to use.
struct LookupQuery
{
    std::string host;
    std::string region;
    std::string zone;
};

// How the platform asks whether a VM is ready, and callers which VMs to use.
struct LookupFormat
{
    std::string readyPath;
    // Nothing if the path and query are no look-up.
    std::function<std::optional<LookupQuery>(const std::string &target)> parseLookup;
    // The body of an answer, in JSON, and how long it may be kept.
    std::function<std::string(const std::vector<std::string> &addresses, Duration life)>
            lookupAnswer;
};

// Everything that depends on the platform.
struct PlatformFormat
{
    WireNames names;
    ObjectProtocol protocol;
    FleetObjectFormat objects;
    LookupFormat lookups;
};

// The process on an entry VM of a platform with a store: one event loop.
class EdgeProcess
{
public:
    // Longest time for which callers keep an answer to a look-up.
    static constexpr Duration lookupLife = seconds(3);
    static constexpr Duration tickPeriod = milliseconds(250);

    // Opens all addresses. The error says which one is taken.
    static Result<std::unique_ptr<EdgeProcess>>
    make(const EdgeSettings &settings, const PlatformFormat &format, std::uint16_t metricsPort);
    ~EdgeProcess();

    // Serves until SIGTERM or SIGINT, then leaves.
    void run();
    // Called on SIGHUP, and now and then, because settings may change without a signal.
    void setReload(std::function<std::optional<EdgeSettings>()> reload);

private:
    EdgeProcess(const EdgeSettings &settings, const PlatformFormat &format);
    Result<std::unique_ptr<EdgeServer>> makePageServer(const Address &at);
    std::uint64_t submit(IncomingRequest request);
    void askForTokens();
    std::uint64_t answerPage(const IncomingRequest &request);
    void sendPage(const AnswerSink &sink, int status, const std::string &type,
                  const std::string &body);
    std::string lookup(const LookupQuery &query);
    std::string metricsText() const;

    void tick();
    void fillBeat(Heartbeat &beat);
    void takeBeat(const Heartbeat &beat);
    void noteCrash(const CrashReport &report);
    void reload();
    void leave();
    void continueLeaving();
    bool isReady() const { return !m_leavingSince && m_view->isConfigured(); }

    EdgeSettings m_settings;
    PlatformFormat m_format;
    EventLoop m_loop;
    TargetTable m_targets;
    Forwarder m_forwarder;
    PeerTable m_peers;
    std::unique_ptr<FleetView> m_view;
    std::unique_ptr<GossipTask> m_gossip;
    std::unique_ptr<EdgeServer> m_callerServer;
    std::vector<std::unique_ptr<EdgeServer>> m_pageServers;
    Timer m_timer;
    std::unique_ptr<SignalWatch> m_onTerm;
    std::unique_ptr<SignalWatch> m_onInterrupt;
    std::unique_ptr<SignalWatch> m_onHangUp;
    std::function<std::optional<EdgeSettings>()> m_reload;
    std::vector<std::pair<CrashReport, Time>> m_recentCrashes;
    std::optional<Time> m_leavingSince;
    bool m_stoppedAccepting = false;
    bool m_abandoned = false;
    bool m_unregistered = false;
    Time m_lastReload{};
    std::uint64_t m_lookups = 0;
};

} // namespace basildeck
