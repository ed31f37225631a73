#include "edge/EdgeProcess.h"

#include "core/Gzip.h"
#include "core/Log.h"

#include <http_parser.h>
#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "edge";
constexpr std::size_t maxLookupAddresses = 64;
constexpr std::size_t maxControlBodyBytes = 64 * 1024;
// Blocks from this size are returned to the system when they are freed. Without a setting, the C
// library raises the size with the blocks that are freed, and keeps that much free memory.
constexpr int minMappedBlockBytes = 256 * 1024;
// How long a crash report is repeated in heartbeats, to tolerate lost datagrams.
constexpr Duration crashRepeatTime = seconds(2);
// Upper limit of the time of uninterrupted store access that heartbeats report.
constexpr Duration maxReportedStoreReachableTime = seconds(60);
// Connections of other VMs are kept at least this long, so that they close idle ones first.
constexpr milliseconds minPeerIdleTimeout = seconds(10);
constexpr Duration reloadPeriod = seconds(5);
// Delay of the heartbeat that announces a change of the store or a target in trouble, so that it
// announces the following ones as well.
constexpr Duration announceDelay = milliseconds(200);
// Troubles of targets are reported only if a target was heard from within this time.
constexpr Duration reportSilence = milliseconds(200);
constexpr std::string_view metricsPath = "/metrics";

// Other VMs name no other coding.
bool acceptsGzip(const MessageHead &head)
{
    const std::string *accepted = head.fields.find("Accept-Encoding");
    return accepted != nullptr && *accepted == gzipCoding;
}

} // namespace

EdgeProcess::EdgeProcess(const EdgeSettings &settings, const PlatformFormat &format)
    : m_settings(settings)
    , m_format(format)
    , m_targets(m_loop, m_settings)
    , m_forwarder(m_loop, m_settings, m_format.names, m_targets)
    , m_peers(settings.vmName)
    , m_controlMemory(maxControlBodyBytes)
    , m_partition(m_loop, m_settings, m_targets, m_forwarder, m_peers, [this] { announceSoon(); })
    , m_timer(m_loop, [this] { tick(); })
    , m_shutdownTimer(m_loop, [this] { continueShutdown(); })
    , m_announceTimer(m_loop, [this] {
        m_isAnnouncementDue = false;
        m_gossip->sendHeartbeatNow();
        if (!m_targetReports.empty())
            announceSoon(); // they are held back
    })
{}

EdgeProcess::~EdgeProcess() = default;

Result<std::unique_ptr<EdgeProcess>> EdgeProcess::make(const EdgeSettings &settings,
                                                       const PlatformFormat &format,
                                                       std::uint16_t metricsPort)
{
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, minMappedBlockBytes);
    std::unique_ptr<EdgeProcess> process(new EdgeProcess(settings, format));
    EdgeProcess &self = *process;
    self.m_view = std::make_unique<FleetView>(
            FleetView::Dependencies{ self.m_loop, self.m_settings, self.m_format.protocol,
                                     self.m_format.objects, self.m_targets, self.m_forwarder,
                                     self.m_peers },
            FleetView::Callbacks{
                    [&self](const FleetConfig &config) { self.setLimits(config.limits); },
                    [&self] { self.announceSoon(); } });
    const RequestHandler callerHandler{
        [&self](IncomingRequest request) { return self.submit(std::move(request)); },
        [&self](const ResponseSink &sink, ErrorKind kind) {
            self.m_forwarder.refuseUnreadable(sink, kind);
        },
        [&self](std::uint64_t id) { self.m_forwarder.callerDisconnected(id); },
        [&self](std::uint64_t id) { self.m_forwarder.callerOutputDrained(id); },
        [&self](std::uint64_t id) { self.m_forwarder.responseIsNext(id); },
    };
    self.m_callerServer = BOOST_OUTCOME_TRYX(EdgeServer::make(
            self.m_loop, settings.callerAddress, callerHandler, self.m_forwarder.memory()));
    self.m_peerServer = BOOST_OUTCOME_TRYX(self.makePeerServer());
    for (const Address &listenAddress :
         { settings.readyAddress, settings.lookupAddress, settings.relayAddress() }) {
        BOOST_OUTCOME_TRY(server, self.makeControlServer(listenAddress));
        self.m_controlServers.push_back(std::move(server));
    }
    auto metrics = self.makeControlServer({ settings.ip, metricsPort });
    if (metrics)
        self.m_controlServers.push_back(std::move(metrics.value()));
    else
        BASILDECK_WARNING(logComponent) << "metrics are not available: " << metrics.error().detail;
    QuotaManager &quotas = self.m_forwarder.quotas();
    self.m_gossip = GossipTask::make(
            self.m_loop, self.m_settings, self.m_peers,
            { [&self, &quotas](Heartbeat &heartbeat) {
                 quotas.fillDemands(heartbeat, self.m_loop.now());
             },
              [&self](Heartbeat &heartbeat) { self.fillHeartbeat(heartbeat); },
              [&self](const Heartbeat &heartbeat) { self.handleHeartbeat(heartbeat); },
              [&self, &quotas](const QuotaLoanRequest &loanRequest) {
                  QuotaLoan loan = quotas.lend(loanRequest, self.m_loop.now());
                  self.requestQuotaTokens(); // the loan may have left few tokens here
                  return loan;
              },
              [&self, &quotas](const QuotaLoan &loan) {
                  quotas.borrow(loan, self.m_loop.now());
                  self.m_forwarder.resolveTokenWaits();
                  self.requestQuotaTokens();
              },
              [&self](const AccessMessage &message) {
                  self.m_forwarder.handleAccessMessage(message);
              } });
    if (!self.m_gossip)
        return failure(ErrorKind::InvalidSetting,
                       "address \"" + settings.gossipAddress().toString() + "\" cannot be used");
    self.m_forwarder.setOnTokensNeeded([&self] { self.requestQuotaTokens(); });
    self.m_forwarder.setOnTargetTrouble([&self](const TargetReport &report) {
        self.m_targetReports.push_back(report);
        self.announceSoon();
    });
    self.m_forwarder.setOnAccessMessage(
            [&self](const std::string &vm, const AccessMessage &message) {
                self.m_gossip->sendAccessMessage(message, self.m_peers.gossipAddressOf(vm));
            });
    self.m_targets.setOnLimitChanged([&self] { self.announceSoon(); });
    self.m_forwarder.setOnCrash([&self](const CrashReport &report) { self.recordCrash(report); });
    return process;
}

Result<std::unique_ptr<EdgeServer>> EdgeProcess::makePeerServer()
{
    return EdgeServer::make(m_loop, m_settings.forwardingAddress(),
                            { [this](IncomingRequest request) {
                                 return m_forwarder.submitForPeer(std::move(request));
                             },
                              [this](const ResponseSink &sink, ErrorKind kind) {
                                  m_forwarder.declineUnreadable(sink, kind);
                              },
                              [this](std::uint64_t id) { m_forwarder.callerDisconnected(id); },
                              [this](std::uint64_t id) { m_forwarder.callerOutputDrained(id); },
                              [this](std::uint64_t id) { m_forwarder.responseIsNext(id); } },
                            m_forwarder.memory());
}

void EdgeProcess::setLimits(const CallerLimits &limits)
{
    m_callerServer->setLimits(limits);
    CallerLimits peerLimits = limits;
    peerLimits.maxHeaderBytes += maxForwardingFieldBytes;
    peerLimits.idleTimeout = std::max(peerLimits.idleTimeout, minPeerIdleTimeout);
    m_peerServer->setLimits(peerLimits);
}

Result<std::unique_ptr<EdgeServer>> EdgeProcess::makeControlServer(const Address &listenAddress)
{
    return EdgeServer::make(
            m_loop, listenAddress,
            { [this](const IncomingRequest &request) { return handleControlRequest(request); },
              [this](const ResponseSink &sink, ErrorKind kind) {
                  m_forwarder.refuseUnreadable(sink, kind);
              },
              [this](std::uint64_t id) { m_view->relay().cancel(id); }, [](std::uint64_t) {} },
            m_controlMemory);
}

void EdgeProcess::announceSoon()
{
    if (!std::exchange(m_isAnnouncementDue, true))
        m_announceTimer.startOnce(announceDelay);
}

std::uint64_t EdgeProcess::submit(IncomingRequest request)
{
    const std::uint64_t id = m_forwarder.submit(std::move(request));
    requestQuotaTokens();
    return id;
}

void EdgeProcess::requestQuotaTokens()
{
    QuotaManager &quotas = m_forwarder.quotas();
    const Time now = m_loop.now();
    if (!quotas.isRequestDue(now))
        return;
    for (auto &[lender, loanRequest] : quotas.makeRequests(now))
        m_gossip->requestTokens(std::move(loanRequest), { m_peers.gossipAddressOf(lender) });
}

void EdgeProcess::sendControlResponse(const ResponseSink &sink, int status, const std::string &type,
                                      const std::string &body)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " "
                       + http_status_str(static_cast<http_status>(status)) + "\r\n";
    head += "Content-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    sink.head(head);
    sink.body(body);
    sink.finish(false);
}

std::uint64_t EdgeProcess::handleControlRequest(const IncomingRequest &request)
{
    const std::string &target = request.head.request.target;
    const ResponseSink &sink = request.sink;
    if (target == m_format.lookups.readyPath) {
        sendControlResponse(sink, isReady() ? 200 : 503, "text/plain",
                            isReady() ? "ready\n" : "not ready\n");
    } else if (const auto query = m_format.lookups.parseLookup(target)) {
        sendLookupResponse(sink, *query);
    } else if (target.starts_with(ReplicaRelay::path)) {
        return m_view->relay().handle(std::string_view(target).substr(ReplicaRelay::path.size()),
                                      sink, acceptsGzip(request.head));
    } else if (target.starts_with(ReplicaRelay::catchUpPath)) {
        m_view->relay().handleCatchUp(
                std::string_view(target).substr(ReplicaRelay::catchUpPath.size()), sink,
                acceptsGzip(request.head));
    } else if (target == metricsPath) {
        sendControlResponse(sink, 200, "text/plain; version=0.0.4", metricsText());
    } else {
        sendControlResponse(sink, 404, "text/plain", "no such page\n");
    }
    return 0;
}

void EdgeProcess::sendLookupResponse(const ResponseSink &sink, const LookupQuery &query)
{
    ++m_lookupCount;
    std::optional<DirectoryEntry> self;
    if (!m_shutdown)
        self = { m_settings.callerAddress.toString(), m_settings.region, m_settings.zone,
                 m_partition.contact(), m_settings.capacity };
    const auto entries
            = directoryEntries(self, m_peers.reachable(m_loop.now()), m_peers.registeredVms());
    if (entries.empty()) {
        BASILDECK_WARNING(logComponent) << "lookup refused, no serving VM is known";
        sendControlResponse(sink, 503, "text/plain", "no serving VM is known\n");
        return;
    }
    const Duration ttl = std::min(lookupTtl, m_settings.bounds.maxLookupTtl);
    sendControlResponse(
            sink, 200, "application/json",
            m_format.lookups.formatLookupResponse(
                    directoryAddresses(entries, query.region, maxLookupAddresses), ttl));
}

void EdgeProcess::fillHeartbeat(Heartbeat &heartbeat)
{
    const Time now = m_loop.now();
    heartbeat.ready = isReady();
    const Duration reachableTime
            = std::min<Duration>(m_targets.storeReachableFor(now), maxReportedStoreReachableTime);
    heartbeat.storeReachedForMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(reachableTime).count());
    heartbeat.leaving = m_shutdown.has_value();
    heartbeat.targetContact = m_partition.contact();
    heartbeat.permitProtocol = currentPermitProtocol;
    heartbeat.versions = m_view->versions();
    fillTargetReports(heartbeat);
    heartbeat.targetLimits = m_targets.limitReports(now);
    heartbeat.crashes.clear();
    std::erase_if(m_recentCrashes,
                  [&](const auto &entry) { return now - entry.second > crashRepeatTime; });
    for (const auto &[report, at] : m_recentCrashes)
        heartbeat.crashes.push_back(report);
}

void EdgeProcess::fillTargetReports(Heartbeat &heartbeat)
{
    heartbeat.targetReports.clear();
    const TargetPartitionDetector &detector = m_targets.partitionDetector();
    if (detector.isUnreachable())
        m_targetReports.clear();
    // In doubt, the reports wait for a later heartbeat.
    const bool isInDoubt = detector.isSuspected() || detector.silence(m_loop.now()) > reportSilence;
    if (!isInDoubt)
        heartbeat.targetReports = std::exchange(m_targetReports, {});
}

void EdgeProcess::handleHeartbeat(const Heartbeat &heartbeat)
{
    if (heartbeat.targetContact == TargetContact::Lost)
        return;
    for (const CrashReport &report : heartbeat.crashes)
        m_forwarder.recordCrash(report);
    for (const TargetReport &report : heartbeat.targetReports)
        m_forwarder.ejectReported(report);
    for (const TargetLimitReport &report : heartbeat.targetLimits)
        m_targets.learnLimit(report, m_loop.now());
}

void EdgeProcess::recordCrash(const CrashReport &report)
{
    m_recentCrashes.emplace_back(report, m_loop.now());
    m_gossip->sendHeartbeatNow();
}

void EdgeProcess::tick()
{
    const Time now = m_loop.now();
    m_targets.tick(now);
    m_forwarder.memory().tick(now);
    m_forwarder.findSlowTargets();
    m_peers.tick(now);
    m_partition.tick();
    m_forwarder.setFleetVmCount(m_peers.knownVmCount());
    m_targets.setStoreReachableFromPeers(m_peers.longestStoreContact(now));
    m_targets.setRegionVmCount(m_peers.peerCountInRegion(m_settings.region) + 1);
    m_targets.setFleet(m_peers.registeredRegions(), now);
    updateAccessVms();
    m_forwarder.quotas().setFleet(
            { m_peers.registeredRegions(), m_peers.knownVmCount(), m_peers.reachable(now) }, now);
    requestQuotaTokens();
    if (now - m_lastReload > reloadPeriod)
        reloadSettings();
    if (m_shutdown)
        continueShutdown();
}

void EdgeProcess::updateAccessVms()
{
    const auto heartbeats = m_peers.reachable(m_loop.now());
    std::vector<std::string> coordinators = accessCoordinators(heartbeats, m_settings.region);
    if (isReady() && m_partition.contact() != TargetContact::Lost)
        coordinators.push_back(m_settings.vmName);
    std::sort(coordinators.begin(), coordinators.end());
    std::set<std::string> reachable{ m_settings.vmName };
    for (const Heartbeat *heartbeat : heartbeats)
        reachable.insert(heartbeat->vm);
    m_forwarder.setAccessVms(std::move(coordinators), std::move(reachable));
}

void EdgeProcess::setSettingsLoader(std::function<std::optional<EdgeSettings>()> loadSettings)
{
    m_loadSettings = std::move(loadSettings);
}

void EdgeProcess::reloadSettings()
{
    m_lastReload = m_loop.now();
    if (!m_loadSettings)
        return;
    // Addresses are in use and cannot change; bounds and the regions of zones can.
    if (const auto settings = m_loadSettings()) {
        m_settings.bounds = settings->bounds;
        m_settings.zoneRegions = settings->zoneRegions;
        BASILDECK_INFO(logComponent) << "settings reloaded";
    }
}

void EdgeProcess::beginShutdown()
{
    if (m_shutdown) {
        BASILDECK_INFO(logComponent) << "signal ignored, already leaving";
        return;
    }
    BASILDECK_INFO(logComponent) << "leaving open_requests=" << m_forwarder.openRequests();
    m_shutdown = ShutdownSchedule::make(m_loop.now(), m_settings.bounds.shutdownGrace);
    m_forwarder.beginShutdown(*m_shutdown);
    m_peerServer->closeAfterResponses();
    m_gossip->sendHeartbeatNow();
    m_view->deregister([this] { m_isDeregistered = true; });
    continueShutdown();
}

void EdgeProcess::continueShutdown()
{
    const Time now = m_loop.now();
    if (const Time nextPhase = m_shutdown->nextPhaseAfter(now); nextPhase > now)
        m_shutdownTimer.startOnce(nextPhase - now);
    if (now >= m_shutdown->closeAfterResponsesAt)
        m_callerServer->closeAfterResponses();
    if (now >= m_shutdown->acceptUntil && !m_hasStoppedAccepting) {
        m_hasStoppedAccepting = true;
        BASILDECK_INFO(logComponent)
                << "no longer accepting requests open_requests=" << m_forwarder.openRequests()
                << " connections=" << m_callerServer->connectionCount();
        m_callerServer->stopAccepting();
        m_peerServer->stopAccepting();
    }
    const bool isDone = m_hasStoppedAccepting && m_callerServer->connectionCount() == 0
                        && m_peerServer->connectionCount() == 0 && m_isDeregistered;
    if (!isDone && now < m_shutdown->endRequestsAt)
        return;
    if (!isDone && !m_hasEndedRequests) {
        // This also releases complete responses that are queued behind an incomplete one.
        m_hasEndedRequests = true;
        BASILDECK_INFO(logComponent)
                << "ending open requests open_requests=" << m_forwarder.openRequests();
        m_forwarder.endRequests();
        return;
    }
    if (!isDone && now < m_shutdown->exitAt)
        return;
    m_forwarder.truncateResponses();
    BASILDECK_INFO(logComponent) << "left open_requests=" << m_forwarder.openRequests()
                                 << " connections=" << m_callerServer->connectionCount()
                                 << " unsent_bytes=" << m_callerServer->unsentBytes();
    m_loop.stop();
}

void EdgeProcess::run()
{
    m_terminateWatcher
            = std::make_unique<SignalWatcher>(m_loop, SIGTERM, [this] { beginShutdown(); });
    m_interruptWatcher
            = std::make_unique<SignalWatcher>(m_loop, SIGINT, [this] { beginShutdown(); });
    m_hangUpWatcher = std::make_unique<SignalWatcher>(m_loop, SIGHUP, [this] { reloadSettings(); });
    BASILDECK_INFO(logComponent) << "started vm=" << m_settings.vmName
                                 << " region=" << m_settings.region << " zone=" << m_settings.zone
                                 << " version=" << BASILDECK_VERSION;
    // Until the registered VMs are known, this VM must not take itself for the only one.
    m_targets.setFleet({}, m_loop.now());
    m_view->start();
    m_timer.startRepeating(tickPeriod);
    m_loop.run();
}

} // namespace basildeck
