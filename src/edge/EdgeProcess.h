#pragma once

#include "edge/EdgeServer.h"
#include "edge/FleetView.h"
#include "edge/GossipTask.h"
#include "edge/PartitionTask.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basildeck {

// A caller's lookup of the VMs to use.
struct LookupQuery
{
    std::string host;
    std::string region;
    std::string zone;
};

// The platform's formats for readiness checks and for callers' lookups.
struct LookupFormat
{
    std::string readyPath;
    // Returns nothing if the path and query are not a lookup.
    std::function<std::optional<LookupQuery>(const std::string &target)> parseLookup;
    // Formats the JSON body of a response that may be cached for a given time.
    std::function<std::string(const std::vector<std::string> &addresses, Duration ttl)>
            formatLookupResponse;
};

// The formats that depend on the platform.
struct PlatformFormat
{
    WireNames names;
    ObjectProtocol protocol;
    FleetObjectFormat objects;
    LookupFormat lookups;
};

// The process on an entry VM of a platform with a store. Runs on one event loop.
class EdgeProcess
{
public:
    // Other VMs and the caller of a lookup learn within this time that a VM shuts down.
    static constexpr Duration maxShutdownNoticeTime = milliseconds(200);
    // The time for which callers may cache a lookup response, unless the settings shorten it. It
    // ends before a VM that shuts down stops accepting.
    static constexpr Duration lookupTtl = ShutdownSchedule::maxAcceptTime - maxShutdownNoticeTime;
    static constexpr Duration tickPeriod = milliseconds(250);

    // Listens on all addresses. The error names the address that cannot be used.
    static Result<std::unique_ptr<EdgeProcess>>
    make(const EdgeSettings &settings, const PlatformFormat &format, std::uint16_t metricsPort);
    ~EdgeProcess();

    // Serves until SIGTERM or SIGINT, then shuts down gracefully.
    void run();
    // Sets the function that reloads the settings. It is called on SIGHUP and periodically, because
    // settings may change without a signal.
    void setSettingsLoader(std::function<std::optional<EdgeSettings>()> loadSettings);

private:
    EdgeProcess(const EdgeSettings &settings, const PlatformFormat &format);
    Result<std::unique_ptr<EdgeServer>> makePeerServer();
    void setLimits(const CallerLimits &limits);
    Result<std::unique_ptr<EdgeServer>> makeControlServer(const Address &listenAddress);
    std::uint64_t submit(IncomingRequest request);
    // Sends the requests for quota tokens that are due.
    void requestQuotaTokens();
    std::uint64_t handleControlRequest(const IncomingRequest &request);
    void sendControlResponse(const ResponseSink &sink, int status, const std::string &type,
                             const std::string &body);
    // Refuses the lookup if no VM that serves is known, so that the caller tries another.
    void sendLookupResponse(const ResponseSink &sink, const LookupQuery &query);
    std::string metricsText() const;

    void tick();
    // Tells the forwarder which VMs coordinate the access to targets.
    void updateAccessVms();
    void fillHeartbeat(Heartbeat &heartbeat);
    // Reports targets in trouble, unless this VM may have lost contact with all of them.
    void fillTargetReports(Heartbeat &heartbeat);
    void handleHeartbeat(const Heartbeat &heartbeat);
    void recordCrash(const CrashReport &report);
    // Sends a heartbeat out of schedule, soon.
    void announceSoon();
    void reloadSettings();
    void beginShutdown();
    void continueShutdown();
    bool isReady() const { return !m_shutdown && m_view->isConfigured(); }

    EdgeSettings m_settings;
    PlatformFormat m_format;
    EventLoop m_loop;
    TargetTable m_targets;
    Forwarder m_forwarder;
    PeerTable m_peers;
    MemoryBudget m_controlMemory; // for the bodies of requests to the control servers
    PartitionTask m_partition;
    std::unique_ptr<FleetView> m_view;
    std::unique_ptr<GossipTask> m_gossip;
    std::unique_ptr<EdgeServer> m_callerServer;
    std::unique_ptr<EdgeServer> m_peerServer; // for requests that other VMs forward
    std::vector<std::unique_ptr<EdgeServer>> m_controlServers;
    Timer m_timer;
    Timer m_shutdownTimer; // for the next phase of the shutdown
    Timer m_announceTimer;
    std::unique_ptr<SignalWatcher> m_terminateWatcher;
    std::unique_ptr<SignalWatcher> m_interruptWatcher;
    std::unique_ptr<SignalWatcher> m_hangUpWatcher;
    std::function<std::optional<EdgeSettings>()> m_loadSettings;
    std::vector<std::pair<CrashReport, Time>> m_recentCrashes;
    std::vector<TargetReport> m_targetReports; // not sent yet
    std::optional<ShutdownSchedule> m_shutdown;
    bool m_isAnnouncementDue = false;
    bool m_hasStoppedAccepting = false;
    bool m_hasEndedRequests = false;
    bool m_isDeregistered = false;
    Time m_lastReload{};
    std::uint64_t m_lookupCount = 0;
};

} // namespace basildeck
