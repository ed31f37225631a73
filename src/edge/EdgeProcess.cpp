#include "edge/EdgeProcess.h"

#include "core/Log.h"

#include <http_parser.h>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *part = "edge";
constexpr std::size_t maxLookupAddresses = 64;
constexpr std::size_t maxPageBodyBytes = 64 * 1024;
// Bodies that are being read may use this part of the memory.
constexpr std::size_t bodyMemoryPart = 4;
// How long crashes are repeated in beats, so that a lost datagram does not matter.
constexpr Duration crashRepeatTime = seconds(2);
// Longest uninterrupted access to the store that a beat tells of.
constexpr Duration storeMemory = seconds(60);
constexpr Duration reloadPeriod = seconds(5);
// A leaving VM accepts connections until callers have stopped to choose it, and keeps this much of
// the grace to end.
constexpr Duration leaveReserve = milliseconds(900);
constexpr std::string_view copiesPath = "/copies/";
constexpr std::string_view metricsPath = "/metrics";

} // namespace

EdgeProcess::EdgeProcess(const EdgeSettings &settings, const PlatformFormat &format)
    : m_settings(settings)
    , m_format(format)
    , m_targets(m_loop, m_settings)
    , m_forwarder(m_loop, m_settings, m_format.names, m_targets)
    , m_peers(settings.vmName)
    , m_timer(m_loop, [this] { tick(); })
{}

EdgeProcess::~EdgeProcess() = default;

Result<std::unique_ptr<EdgeProcess>> EdgeProcess::make(const EdgeSettings &settings,
                                                       const PlatformFormat &format,
                                                       std::uint16_t metricsPort)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<EdgeProcess> process(new EdgeProcess(settings, format));
    EdgeProcess &self = *process;
    self.m_view = std::make_unique<FleetView>(
            FleetView::Parts{ self.m_loop, self.m_settings, self.m_format.protocol,
                              self.m_format.objects, self.m_targets, self.m_forwarder,
                              self.m_peers },
            [&self](const FleetConfig &config) { self.m_callerServer->setLimits(config.limits); });
    const RequestHandler callers{
        [&self](IncomingRequest request) { return self.submit(std::move(request)); },
        [&self](const AnswerSink &sink, ErrorKind kind) {
            self.m_forwarder.refuseUnread(sink, kind);
        },
        [&self](std::uint64_t id) { self.m_forwarder.callerLeft(id); },
        [&self](std::uint64_t id) { self.m_forwarder.callerDrained(id); },
    };
    self.m_callerServer = BOOST_OUTCOME_TRYX(EdgeServer::make(
            self.m_loop, settings.callerAddress, callers, settings.memoryBytes / bodyMemoryPart));
    for (const Address &at :
         { settings.readyAddress, settings.lookupAddress, settings.relayAddress() }) {
        BOOST_OUTCOME_TRY(server, self.makePageServer(at));
        self.m_pageServers.push_back(std::move(server));
    }
    auto metrics = self.makePageServer({ settings.ip, metricsPort });
    if (metrics)
        self.m_pageServers.push_back(std::move(metrics.value()));
    else
        BASILDECK_WARNING(part) << "no metrics: " << metrics.error().detail;
    QuotaLedger &quotas = self.m_forwarder.quotas();
    self.m_gossip = GossipTask::make(
            self.m_loop, self.m_settings, self.m_peers,
            { [&self, &quotas](Heartbeat &beat) { quotas.fillDemands(beat, self.m_loop.now()); },
              [&self](Heartbeat &beat) { self.fillBeat(beat); },
              [&self](const Heartbeat &beat) { self.takeBeat(beat); },
              [&self, &quotas](const QuotaLoanRequest &ask) {
                  return quotas.lend(ask, self.m_loop.now());
              },
              [&self, &quotas](const QuotaLoan &loan) {
                  quotas.borrow(loan, self.m_loop.now());
                  self.m_forwarder.serveTokens();
              } });
    if (!self.m_gossip)
        return failure(ErrorKind::InvalidSetting,
                       "address \"" + settings.gossipAddress().toString() + "\" cannot be used");
    self.m_forwarder.setOnCrash([&self](const CrashReport &report) { self.noteCrash(report); });
    return process;
}

Result<std::unique_ptr<EdgeServer>> EdgeProcess::makePageServer(const Address &at)
{
    return EdgeServer::make(
            m_loop, at,
            { [this](const IncomingRequest &request) { return answerPage(request); },
              [this](const AnswerSink &sink, ErrorKind kind) {
                  m_forwarder.refuseUnread(sink, kind);
              },
              [](std::uint64_t) {}, [](std::uint64_t) {} },
            maxPageBodyBytes);
}

std::uint64_t EdgeProcess::submit(IncomingRequest request)
{
    const std::uint64_t id = m_forwarder.submit(std::move(request));
    if (m_forwarder.quotas().isAskDue(m_loop.now()))
        askForTokens();
    return id;
}

void EdgeProcess::askForTokens()
{
    const Time now = m_loop.now();
    std::set<std::string> names;
    std::vector<std::string> addresses;
    for (const auto &[vm, address] :
         m_peers.nearestPeers(m_settings.region, QuotaLedger::maxLenders, now)) {
        names.insert(vm);
        addresses.push_back(address);
    }
    if (auto ask = m_forwarder.quotas().ask(names, now))
        m_gossip->ask(std::move(*ask), addresses);
}

void EdgeProcess::sendPage(const AnswerSink &sink, int status, const std::string &type,
                           const std::string &body)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " "
                       + http_status_str(static_cast<http_status>(status)) + "\r\n";
    head += "Content-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    sink.head(head);
    sink.body(body);
    sink.finish(false);
}

std::uint64_t EdgeProcess::answerPage(const IncomingRequest &request)
{
    const std::string &target = request.head.request.target;
    const AnswerSink &sink = request.sink;
    if (target == m_format.lookups.readyPath) {
        sendPage(sink, isReady() ? 200 : 503, "text/plain", isReady() ? "ready\n" : "not ready\n");
    } else if (const auto query = m_format.lookups.parseLookup(target)) {
        ++m_lookups;
        sendPage(sink, 200, "application/json", lookup(*query));
    } else if (target.starts_with(copiesPath)) {
        const std::string copy = m_view->copyText(target.substr(copiesPath.size()));
        sendPage(sink, copy.empty() ? 404 : 200, "application/json", copy);
    } else if (target == metricsPath) {
        sendPage(sink, 200, "text/plain; version=0.0.4", metricsText());
    } else {
        sendPage(sink, 404, "text/plain", "no such page\n");
    }
    return 0;
}

std::string EdgeProcess::lookup(const LookupQuery &query)
{
    std::vector<DirectoryEntry> serving;
    if (!m_leavingSince)
        serving.push_back(
                { m_settings.callerAddress.toString(), m_settings.region, m_settings.zone });
    for (const Heartbeat *peer : m_peers.reachable(m_loop.now())) {
        if (!peer->leaving)
            serving.push_back({ peer->callerAddress, peer->region, peer->zone });
    }
    if (serving.empty())
        serving.push_back(
                { m_settings.callerAddress.toString(), m_settings.region, m_settings.zone });
    const Duration life = std::min(lookupLife, m_settings.bounds.longestLookupLife);
    return m_format.lookups.lookupAnswer(
            directoryAddresses(serving, query.region, maxLookupAddresses), life);
}

std::string EdgeProcess::metricsText() const
{
    std::string text = m_forwarder.metrics().prometheusText();
    const auto add = [&](const std::string &name, std::uint64_t value) {
        text += name + " " + std::to_string(value) + "\n";
    };
    add("basildeck_build_info{version=\"" BASILDECK_VERSION "\"}", 1);
    add("basildeck_directory_lookups_total", m_lookups);
    add("basildeck_store_calls_total", m_view->storeCalls());
    add("basildeck_open_requests", m_forwarder.openRequests());
    add("basildeck_caller_connections", m_callerServer->connections());
    const QuotaLedger &quotas = m_forwarder.quotas();
    add("basildeck_quota_tokens_lent_total", static_cast<std::uint64_t>(quotas.lent()));
    add("basildeck_quota_tokens_borrowed_total", static_cast<std::uint64_t>(quotas.borrowed()));
    add("basildeck_targets", m_targets.size());
    add("basildeck_registered_vms", m_peers.knownVmCount());
    add("basildeck_reachable_vms", m_peers.reachable(m_loop.now()).size() + 1);
    for (const auto &[kind, revision] : m_view->revisions())
        add("basildeck_store_revision{kind=\"" + kind + "\"}", revision);
    return text;
}

void EdgeProcess::fillBeat(Heartbeat &beat)
{
    const Time now = m_loop.now();
    beat.ready = isReady();
    const Duration reached = std::min<Duration>(m_targets.storeReachedFor(now), storeMemory);
    beat.storeReachedForMs
            = static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(reached).count());
    beat.leaving = m_leavingSince.has_value();
    beat.revisions = m_view->revisions();
    beat.crashes.clear();
    std::erase_if(m_recentCrashes,
                  [&](const auto &entry) { return now - entry.second > crashRepeatTime; });
    for (const auto &[report, at] : m_recentCrashes)
        beat.crashes.push_back(report);
}

void EdgeProcess::takeBeat(const Heartbeat &beat)
{
    for (const CrashReport &report : beat.crashes)
        m_forwarder.noteCrash(report);
}

void EdgeProcess::noteCrash(const CrashReport &report)
{
    m_recentCrashes.emplace_back(report, m_loop.now());
    m_gossip->beatNow();
}

void EdgeProcess::tick()
{
    const Time now = m_loop.now();
    m_targets.tick(now);
    m_peers.tick(now);
    m_forwarder.setVmCount(m_peers.knownVmCount());
    m_targets.setStoreReachedElsewhere(m_peers.longestStoreContact(now));
    m_targets.setVmsInRegion(m_peers.peerCountInRegion(m_settings.region) + 1);
    m_forwarder.quotas().setPeers(m_peers.knownVmCount(), m_peers.reachable(now), now);
    if (now - m_lastReload > reloadPeriod)
        reload();
    if (m_leavingSince)
        continueLeaving();
}

void EdgeProcess::setReload(std::function<std::optional<EdgeSettings>()> reload)
{
    m_reload = std::move(reload);
}

void EdgeProcess::reload()
{
    m_lastReload = m_loop.now();
    if (!m_reload)
        return;
    // Addresses stay: they are in use. Bounds and places may change.
    if (const auto settings = m_reload()) {
        m_settings.bounds = settings->bounds;
        m_settings.zoneRegions = settings->zoneRegions;
        BASILDECK_INFO(part) << "settings loaded again";
    }
}

void EdgeProcess::leave()
{
    if (m_leavingSince)
        return;
    BASILDECK_INFO(part) << "leaving open_requests=" << m_forwarder.openRequests();
    m_leavingSince = m_loop.now();
    m_gossip->beatNow();
    m_view->leave([this] { m_unregistered = true; });
}

void EdgeProcess::continueLeaving()
{
    const Time now = m_loop.now();
    const Duration left = m_settings.bounds.leaveGrace - (now - *m_leavingSince);
    const Duration acceptsFor = std::min(lookupLife, m_settings.bounds.leaveGrace / 2);
    if (now - *m_leavingSince >= acceptsFor / 2)
        m_callerServer->endConnections();
    if (now - *m_leavingSince >= acceptsFor && !m_stoppedAccepting) {
        m_stoppedAccepting = true;
        m_callerServer->stopAccepting();
    }
    const bool isDone = m_stoppedAccepting && m_callerServer->connections() == 0 && m_unregistered;
    if (!isDone && left > leaveReserve)
        return;
    if (!isDone && !m_abandoned) {
        // Answers that are ready may be held back behind one that is not.
        m_abandoned = true;
        m_forwarder.abandonAll();
        return;
    }
    BASILDECK_INFO(part) << "left open_requests=" << m_forwarder.openRequests()
                         << " connections=" << m_callerServer->connections();
    m_loop.stop();
}

void EdgeProcess::run()
{
    m_onTerm = std::make_unique<SignalWatch>(m_loop, SIGTERM, [this] { leave(); });
    m_onInterrupt = std::make_unique<SignalWatch>(m_loop, SIGINT, [this] { leave(); });
    m_onHangUp = std::make_unique<SignalWatch>(m_loop, SIGHUP, [this] { reload(); });
    BASILDECK_INFO(part) << "started vm=" << m_settings.vmName << " region=" << m_settings.region
                         << " zone=" << m_settings.zone << " version=" << BASILDECK_VERSION;
    m_view->start();
    m_timer.startRepeating(tickPeriod);
    m_loop.run();
}

} // namespace basildeck
