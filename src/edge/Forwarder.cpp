#include "edge/Forwarder.h"

#include "core/Hash.h"
#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
// Fraction of the fleet's retry budget that the VMs use. The rest is a margin for retries that fall
// into a later accounting window than their requests.
constexpr double retryShare = 0.7;
constexpr Duration noTargetRetryAfter = milliseconds(500);

} // namespace

Forwarder::Forwarder(EventLoop &loop, const EdgeSettings &settings, const WireNames &names,
                     TargetTable &targets)
    : m_loop(loop)
    , m_settings(settings)
    , m_names(names)
    , m_targets(targets)
    , m_memory(MemoryBudget::limitFor(settings.memoryBytes))
    , m_quotas(settings.vmName, settings.region)
    , m_tokenTimer(loop,
                   [this] {
                       resolveTokenWaits();
                       if (m_onTokensNeeded)
                           m_onTokensNeeded();
                   })
    // The clock does not go back between two processes of a VM.
    , m_accessClient(settings.vmName,
                     static_cast<std::uint64_t>(loop.now().time_since_epoch().count()))
    , m_accessTimer(loop, [this] { pollAccess(); })
    , m_peerForwarding(loop, settings.vmName, settings.region)
{
    m_hedges.setPercent(settings.hedgePercent);
    m_targets.setOnUnavailable([this](TargetState &target) { redispatchQueued(target); });
}

Forwarder::~Forwarder() = default;

void Forwarder::setFleetVmCount(std::size_t count)
{
    m_fleetVmCount = std::max<std::size_t>(1, count);
    for (auto &[service, budget] : m_retryBudgets)
        budget.setMaxBalance(retryBurst());
}

double Forwarder::retryBurst() const
{
    return std::max(1.0, m_settings.bounds.retrySlack * retryShare
                                 / static_cast<double>(m_fleetVmCount));
}

void Forwarder::setOnCrash(std::function<void(const CrashReport &)> onCrash)
{
    m_onCrash = std::move(onCrash);
}

void Forwarder::setOnTargetTrouble(std::function<void(const TargetReport &)> onTargetTrouble)
{
    m_onTargetTrouble = std::move(onTargetTrouble);
}

void Forwarder::setOnTokensNeeded(std::function<void()> onTokensNeeded)
{
    m_onTokensNeeded = std::move(onTokensNeeded);
}

void Forwarder::recordCrash(const CrashReport &report)
{
    if (m_crashQuarantine.addReport(report, m_loop.now()))
        BASILDECK_INFO(logComponent)
                << "request suspected of crashing targets fingerprint=" << report.fingerprint
                << " target=" << report.target;
}

void Forwarder::setRouting(std::shared_ptr<RoutingTable> routing)
{
    m_routing = std::move(routing);
    const Time now = m_loop.now();
    std::map<std::string, QuotaLimit> limits;
    for (const Organisation &organisation : m_routing->config().organisations) {
        const QuotaLimit limit{ organisation.rate, organisation.burst };
        const EdgeBounds &bounds = m_settings.bounds;
        limits[organisation.name]
                = limit.withOvershoot(bounds.quotaOvershoot, bounds.quotaSlack, bounds.quotaWindow);
    }
    m_quotas.setLimits(limits, now);
    for (const Service &service : m_routing->config().services) {
        const auto [budget, isNew] = m_retryBudgets.try_emplace(service.name);
        budget->second.setPercent(
                static_cast<int>(100 * retryShare * m_settings.bounds.retryRatio));
        budget->second.setMaxBalance(retryBurst());
        // A new budget starts half full, so that a process that restarts repeatedly has to earn the
        // other half by requests.
        if (isNew)
            budget->second.deposit(retryBurst() / 2);
    }
}

std::string Forwarder::organisationName(const Request &request) const
{
    return request.organisation == nullptr ? std::string() : request.organisation->name;
}

std::string Forwarder::peerFields(const Request &request)
{
    std::string text;
    if (!request.peer.empty())
        text += " via=" + request.peer;
    if (!request.takenFor.empty())
        text += " for=" + request.takenFor;
    return text;
}

std::string Forwarder::shutdownTimeline(const Request &request) const
{
    if (!m_shutdown)
        return {};
    const auto field = [this](const char *name, Time at) {
        const auto after = std::chrono::duration_cast<milliseconds>(at - m_shutdown->signalledAt);
        return std::string(" ") + name + "=" + std::to_string(after.count());
    };
    std::string text = field("sigterm_connected_ms", request.incoming.connectedAt)
                       + field("sigterm_received_ms", request.incoming.receivedAt)
                       + field("sigterm_read_ms", request.submittedAt);
    if (request.attemptCount > 0)
        text += field("sigterm_sent_ms", request.sentAt);
    return text + field("sigterm_ended_ms", m_loop.now());
}

Forwarder::RequestId Forwarder::submit(IncomingRequest incoming)
{
    const RequestId id = m_nextId++;
    auto newRequest = std::make_unique<Request>();
    Request &request = *newRequest;
    request.id = id;
    request.submittedAt = m_loop.now();
    request.incoming = std::move(incoming);
    if (const std::string *requestIdField = request.incoming.head.fields.find(m_names.requestId))
        request.callerRequestId = *requestIdField;
    request.routing = m_routing;
    m_requests.emplace(id, std::move(newRequest));
    if (m_shutdown && request.submittedAt >= m_shutdown->acceptUntil) {
        refuse(request, ErrorKind::Leaving);
        return id;
    }
    if (!m_routing) {
        refuse(request, ErrorKind::NoConfiguration, noTargetRetryAfter);
        return id;
    }
    if (!findRoute(request) || !authenticate(request))
        return id;
    prepare(request);
    if (checkLimits(request))
        dispatch(request);
    return id;
}

Time Forwarder::endOfService(Time deadline) const
{
    return m_shutdown ? std::min(deadline, m_shutdown->endRequestsAt) : deadline;
}

void Forwarder::dispatch(Request &request)
{
    if (dispatchToPeer(request))
        return;
    const Time now = m_loop.now();
    std::vector<TargetState *> candidates = eligibleCandidates(request, now);
    if (refuseDeclined(request, candidates))
        return;
    if (candidates.empty()) {
        refuse(request, ErrorKind::NoTarget, retryAfter(request, noTargetRetryAfter));
        return;
    }
    while (!candidates.empty()) {
        const std::vector<CandidateLoad> loads = expectedLoads(request, candidates);
        const TargetDecision decision = chooseTarget(request, loads);
        if (!decision.candidate) {
            const bool endsTooSoon = endOfService(request.softDeadline) < request.softDeadline;
            refuse(request, endsTooSoon ? ErrorKind::Leaving : ErrorKind::QueueFull,
                   endsTooSoon ? Duration::zero() : decision.retryAfter,
                   describeCandidates(request, candidates, loads));
            return;
        }
        TargetState &target = *candidates[*decision.candidate];
        if (m_targets.acquireColdPermit(target, now)) {
            target.notice.limit.takePermit(now);
            if (requestPermit(request, target, decision.maxWait))
                return;
            if (target.concurrencyLimiter.hasCapacity())
                sendToTarget(request, target);
            else
                enqueue(request, target, decision.maxWait);
            return;
        }
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*decision.candidate));
    }
    refuse(request, ErrorKind::QueueFull, retryAfter(request, noTargetRetryAfter));
}

void Forwarder::enqueue(Request &request, TargetState &target, Duration maxWait)
{
    request.targetId = target.registration.id;
    request.isQueued = true;
    target.concurrencyLimiter.push({ request.id, queuePriority(request) });
    request.queueTimer
            = std::make_unique<Timer>(m_loop, [this, &request] { handleQueueTimeout(request); });
    request.queueTimer->startOnce(std::max(Duration::zero(), maxWait));
}

// The queue was slower than expected: tries another candidate, or refuses the request.
void Forwarder::handleQueueTimeout(Request &request)
{
    TargetState *target = m_targets.find(request.targetId);
    if (!request.isQueued || target == nullptr)
        return;
    target->concurrencyLimiter.cancel(request.id);
    request.isQueued = false;
    dispatch(request);
}

void Forwarder::sendQueued(TargetState &target)
{
    const Time now = m_loop.now();
    while (m_targets.isEligible(target, now)) {
        const auto next = target.concurrencyLimiter.pop();
        if (!next)
            return;
        const auto found = m_requests.find(next->id);
        if (found == m_requests.end())
            continue;
        Request &request = *found->second;
        request.isQueued = false;
        const Time end = now + expectedRun(request, target);
        if (end > endOfService(end) || isTooLate(request, end))
            dispatch(request); // refuses it, unless another target is faster
        else
            sendToTarget(request, target);
    }
}

void Forwarder::redispatchQueued(TargetState &target)
{
    for (const ConcurrencyLimiter::WaitingRequest &waiting :
         target.concurrencyLimiter.takeAllWaiting()) {
        const auto found = m_requests.find(waiting.id);
        if (found == m_requests.end())
            continue;
        found->second->isQueued = false;
        dispatch(*found->second);
    }
    redispatchWaitingForPermit(target);
}

void Forwarder::sendToTarget(Request &request, TargetState &target)
{
    const Time now = m_loop.now();
    request.peer.clear();
    request.targetId = target.registration.id;
    request.triedTargets.push_back(request.targetId);
    request.isInFlight = true;
    request.sentAt = now;
    request.response = {};
    ++request.attemptCount;
    target.concurrencyLimiter.started();
    m_targets.partitionDetector().recordSent(target.place(), now);
    m_crashQuarantine.runStarted(request.fingerprint);
    armHedge(request, target);
    beginExchange(request, target.connections.acquire(now),
                  serializeTargetHead(request, m_names, now));
}

void Forwarder::beginExchange(Request &request, ConnectionPool::Lease lease, std::string head)
{
    request.connection = std::move(lease.connection);
    request.isConnectionReused = !lease.isNew;
    if (!request.connection) {
        m_loop.defer([this, id = request.id] {
            const auto found = m_requests.find(id);
            // It may have been sent elsewhere meanwhile.
            if (found != m_requests.end() && found->second->isInFlight
                && !found->second->connection)
                handleExchangeFailure(*found->second, ExchangeFailure::NotConnected);
        });
        return;
    }
    if (lease.isNew) {
        request.connectTimer = std::make_unique<Timer>(m_loop, [this, &request] {
            if (request.isInFlight && request.connection && !request.connection->isConnected())
                handleExchangeFailure(request, ExchangeFailure::NotConnected);
        });
        request.connectTimer->startOnce(connectTimeout);
    }
    request.connection->begin(
            { std::move(head), request.incoming.head.request.method == "HEAD",
              [this, &request](const MessageHead &head) {
                  return handleResponseHead(request, head);
              },
              [this, &request](std::string_view bytes) { handleResponseBody(request, bytes); },
              [this, &request] { handleResponseComplete(request); },
              [this, &request](ExchangeFailure failure) {
                  handleExchangeFailure(request, failure);
              },
              [this, &request] { recordContact(request, true); }, request.incoming.body.share(),
              [this, &request] { releaseSentBody(request); } });
}

void Forwarder::releaseSentBody(Request &request)
{
    // The attempts of a peer are known only when it has responded.
    if (request.peer.empty() && request.attemptCount >= request.maxAttempts)
        request.incoming.body.release();
}

Duration Forwarder::retryAfter(const Request &request, Duration usual) const
{
    const auto left = m_targets.holdOffLeft(request.service, request.allowedRegions, m_loop.now());
    return left && *left > Duration::zero() ? *left : usual;
}

void Forwarder::refuse(Request &request, ErrorKind kind, Duration retryAfter,
                       const std::string &detail)
{
    if (endSecondAttempt(request))
        return;
    const Time now = m_loop.now();
    // An earlier attempt may have been executed, so the refusal must not claim the opposite.
    if (request.mayHaveRun && errorResponse(kind).run == RunState::NotRun)
        kind = ErrorKind::UpstreamLost;
    const std::string routeName = request.route == nullptr ? std::string() : request.route->name;
    const int status = m_names.refusalStatus(kind);
    const std::string configAge = noteConfigAge(kind);
    BASILDECK_INFO(logComponent)
            << "refused request=" << request.callerRequestId
            << " reason=" << errorResponse(kind).name << " status=" << status
            << " route=" << routeName << " organisation=" << organisationName(request)
            << " target=" << request.targetId << " sends=" << request.attemptCount << " age_ms="
            << std::chrono::duration_cast<milliseconds>(now - request.incoming.receivedAt).count()
            << " retry_after_ms=" << std::chrono::duration_cast<milliseconds>(retryAfter).count()
            << " config_revision=" << (request.routing ? request.routing->revision() : 0)
            << configAge << (detail.empty() ? "" : " ") << detail << peerFields(request)
            << shutdownTimeline(request);
    LocalReply reply
            = makeRefusal(kind, status, m_names.requestId, request.callerRequestId, retryAfter);
    if (request.takenFor.empty()) {
        m_metrics.countRefusal(kind, routeName, organisationName(request));
    } else {
        m_peerIntake.refuse(kind);
        reply.head += serializeForwardingOutcome(
                { request.attemptCount, request.triedTargets, std::nullopt, kind, retryAfter });
    }
    request.incoming.sink.head(reply.head);
    request.incoming.sink.body(reply.body);
    request.incoming.sink.finish(false);
    finish(request);
}

void Forwarder::refuseUnreadable(const ResponseSink &sink, ErrorKind kind)
{
    BASILDECK_INFO(logComponent) << "refused an unreadable request reason="
                                 << errorResponse(kind).name;
    m_metrics.countRefusal(kind, {}, {});
    const bool lacksMemory = kind == ErrorKind::QueueFull;
    LocalReply reply = makeRefusal(kind, m_names.refusalStatus(kind), m_names.requestId, {},
                                   lacksMemory ? m_memory.retryAfter() : Duration::zero());
    sink.head(reply.head);
    sink.body(reply.body);
    sink.finish(true);
}

void Forwarder::finish(Request &request)
{
    if (request.isWaitingForToken)
        m_quotas.cancel(request.id);
    releasePermit(request);
    cancelHedge(request, HedgeEnd::FirstWon);
    request.deadlineTimer.reset();
    request.queueTimer.reset();
    request.connectTimer.reset();
    const auto found = m_requests.find(request.id);
    if (found == m_requests.end())
        return;
    if (!request.takenFor.empty())
        m_peerIntake.end();
    m_loop.deleteLater(std::move(found->second));
    m_requests.erase(found);
}

} // namespace basildeck
