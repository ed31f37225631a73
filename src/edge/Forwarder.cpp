#include "edge/Forwarder.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "decide/TargetChoice.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *part = "forward";
// Part of the fleet's retries that the VMs use together. The rest covers requests and retries that
// fall on different sides of a window.
constexpr double retryShare = 0.7;
// When to come back if no target of a service may be used.
constexpr Duration noTargetRetryAfter = milliseconds(500);
constexpr Duration quarantineRetryAfter = seconds(2);
// How often requests that wait for a token of a quota are looked at, besides when a loan comes.
constexpr Duration tokenPeriod = milliseconds(20);
constexpr Duration shortestQuotaRetryAfter = milliseconds(200);

// What was known of each home: requests in flight of those allowed, expected wait and run.
std::string describeHomes(const std::vector<TargetState *> &homes,
                          const std::vector<CandidateLoad> &loads)
{
    std::string text = "homes=";
    for (std::size_t i = 0; i < homes.size(); ++i) {
        const ConcurrencyLimiter &gate = homes[i]->gate;
        const auto count = [](Duration d) {
            return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
        };
        text += (i > 0 ? "," : "") + homes[i]->info.id
                + ":in_flight=" + std::to_string(gate.inFlight()) + "/"
                + std::to_string(static_cast<int>(gate.limit()))
                + ":waiting=" + std::to_string(gate.waitingCount())
                + ":wait_ms=" + count(loads[i].wait) + ":run_ms=" + count(loads[i].run);
    }
    return text;
}

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::vector<std::string> bothAllow(const std::vector<std::string> &first,
                                   const std::vector<std::string> &second)
{
    if (first.empty() || second.empty())
        return first.empty() ? second : first;
    std::vector<std::string> both;
    for (const std::string &region : first) {
        if (std::find(second.begin(), second.end(), region) != second.end())
            both.push_back(region);
    }
    return both;
}

} // namespace

Forwarder::Forwarder(EventLoop &loop, const EdgeSettings &settings, const WireNames &names,
                     TargetTable &targets)
    : m_loop(loop)
    , m_settings(settings)
    , m_names(names)
    , m_targets(targets)
    , m_quotas(settings.vmName)
    , m_tokenTimer(loop, [this] { serveTokens(); })
{
    m_targets.setOnClosed([this](TargetState &target) { targetClosed(target); });
}

Forwarder::~Forwarder() = default;

void Forwarder::setVmCount(std::size_t count)
{
    m_vmCount = std::max<std::size_t>(1, count);
    for (auto &[service, budget] : m_retryBudgets)
        budget.setMaxSaved(savedRetries());
}

double Forwarder::savedRetries() const
{
    return std::max(1.0,
                    m_settings.bounds.retrySlack * retryShare / static_cast<double>(m_vmCount));
}

void Forwarder::setOnCrash(std::function<void(const CrashReport &)> onCrash)
{
    m_onCrash = std::move(onCrash);
}

void Forwarder::noteCrash(const CrashReport &report)
{
    if (m_crashes.addReport(report, m_loop.now()))
        BASILDECK_INFO(part) << "request is suspected of crashing targets fingerprint="
                             << report.fingerprint << " target=" << report.target;
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
        budget->second.setMaxSaved(savedRetries());
        // A process that starts again and again is given the other half by its requests only.
        if (isNew)
            budget->second.grant(savedRetries() / 2);
    }
}

std::string Forwarder::organisationName(const Request &request) const
{
    return request.organisation == nullptr ? std::string() : request.organisation->name;
}

Forwarder::RequestId Forwarder::submit(IncomingRequest incoming)
{
    const RequestId id = m_nextId++;
    auto made = std::make_unique<Request>();
    Request &request = *made;
    request.id = id;
    request.incoming = std::move(incoming);
    if (const std::string *named = request.incoming.head.fields.find(m_names.requestId))
        request.callerRequestId = *named;
    request.routing = m_routing;
    m_requests.emplace(id, std::move(made));
    if (!m_routing) {
        refuse(request, ErrorKind::NoConfiguration, noTargetRetryAfter);
        return id;
    }
    if (!findRoute(request) || !checkKey(request))
        return id;
    prepare(request);
    if (checkLimits(request))
        dispatch(request);
    return id;
}

bool Forwarder::findRoute(Request &request)
{
    const MessageHead &head = request.incoming.head;
    const std::string *host = head.fields.find("host");
    if (host == nullptr || head.fields.count("host") > 1 || head.request.target.empty()
        || head.request.target.front() != '/') {
        refuse(request, ErrorKind::BadRequest);
        return false;
    }
    request.route = request.routing->findRoute(hostWithoutPort(*host), pathOf(head.request.target));
    if (request.route == nullptr) {
        refuse(request, ErrorKind::UnknownRoute);
        return false;
    }
    return true;
}

bool Forwarder::checkKey(Request &request)
{
    if (!request.routing->needsKeys() || request.route->open)
        return true;
    const HeaderFields &fields = request.incoming.head.fields;
    const std::string *key = fields.find(m_names.callerKey);
    if (key == nullptr || fields.count(m_names.callerKey) > 1) {
        refuse(request, ErrorKind::KeyMissing);
        return false;
    }
    request.organisation = request.routing->findOrganisation(*key);
    if (request.organisation == nullptr) {
        refuse(request, ErrorKind::KeyUnknown);
        return false;
    }
    return true;
}

void Forwarder::prepare(Request &request)
{
    const HeaderFields &fields = request.incoming.head.fields;
    const Route &route = *request.route;
    const Time received = request.incoming.received;
    milliseconds timeout(route.timeoutMs);
    if (const std::string *wanted = fields.find(m_names.timeoutMs)) {
        std::int64_t count = 0;
        const auto [end, error]
                = std::from_chars(wanted->data(), wanted->data() + wanted->size(), count);
        if (error == std::errc() && count > 0)
            timeout = std::min(timeout, milliseconds(count));
    }
    request.deadline = received + timeout;
    request.objective
            = route.objectiveMs > 0 ? received + milliseconds(route.objectiveMs) : request.deadline;
    request.service = request.routing->chooseService(route);
    request.priority = route.priority;
    request.allowedRegions = route.allowedRegions;
    if (request.organisation != nullptr) {
        request.priority = request.organisation->priority.value_or(route.priority);
        request.allowedRegions
                = bothAllow(route.allowedRegions, request.organisation->allowedRegions);
    }
    const std::string *cookies = fields.find("cookie");
    const std::string_view object = cookies == nullptr
                                            ? std::string_view()
                                            : cookieValue(*cookies, m_names.affinityCookie);
    request.object = route.affinity && !object.empty()
                             ? stableHash(route.name, object)
                             : stableHash(request.callerRequestId, std::to_string(request.id));
    request.fingerprint = stableHash(request.incoming.head.request.method + " "
                                             + request.incoming.head.request.target + " "
                                             + organisationName(request),
                                     request.incoming.body);
    m_metrics.countRequest(route.name, organisationName(request));
    m_retryBudgets[request.service].noteFresh();
    request.deadlineTimer
            = std::make_unique<Timer>(m_loop, [this, &request] { takeDeadline(request); });
    request.deadlineTimer->startOnce(request.deadline - m_loop.now());
}

bool Forwarder::checkLimits(Request &request)
{
    const Time now = m_loop.now();
    if (!m_crashes.mayRun(request.fingerprint, now)) {
        refuse(request, ErrorKind::Quarantined, quarantineRetryAfter);
        return false;
    }
    if (request.organisation == nullptr)
        return true;
    switch (m_quotas.admit(request.organisation->name, request.id, now)) {
    case QuotaAnswer::Admitted:
        return true;
    case QuotaAnswer::Waits:
        request.waitsForToken = true;
        BASILDECK_INFO(part) << "waits for a token request=" << request.callerRequestId
                             << " organisation=" << request.organisation->name;
        m_tokenTimer.startOnce(tokenPeriod);
        return false;
    case QuotaAnswer::Refused:
        refuseOverRate(request);
        return false;
    }
    return false;
}

void Forwarder::refuseOverRate(Request &request)
{
    const Time now = m_loop.now();
    QuotaShare *quota = m_quotas.find(request.organisation->name);
    if (quota == nullptr) { // the configuration has changed since
        refuse(request, ErrorKind::OverRate, shortestQuotaRetryAfter);
        return;
    }
    refuse(request, ErrorKind::OverRate, std::max(shortestQuotaRetryAfter, quota->nextToken()),
           "quota_part=" + std::to_string(quota->part()) + " demand_per_s="
                   + std::to_string(quota->demand(now)) + " vms=" + std::to_string(m_vmCount));
}

void Forwarder::serveTokens()
{
    for (const auto &[id, answer] : m_quotas.settle(m_loop.now())) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        found->second->waitsForToken = false;
        if (answer == QuotaAnswer::Admitted)
            dispatch(*found->second);
        else
            refuseOverRate(*found->second);
    }
    if (m_quotas.isAnyWaiting())
        m_tokenTimer.startOnce(tokenPeriod);
}

std::vector<TargetState *> Forwarder::usableHomes(const Request &request, Time now)
{
    const Placement::Candidates homes = m_targets.placement(request.service)
                                                .candidates(request.object, m_settings.region,
                                                            request.allowedRegions, homesToTry);
    std::vector<TargetState *> usable;
    for (const auto *group : { &homes.preferred, &homes.alternate }) {
        for (const std::string_view id : *group) {
            TargetState *target = m_targets.find(id);
            const bool tried = std::find(request.tried.begin(), request.tried.end(), id)
                               != request.tried.end();
            if (target == nullptr || tried || !m_targets.mayUse(*target, now))
                continue;
            usable.push_back(target);
            break;
        }
    }
    return usable;
}

void Forwarder::dispatch(Request &request)
{
    const Time now = m_loop.now();
    std::vector<TargetState *> homes = usableHomes(request, now);
    if (homes.empty()) {
        refuse(request, ErrorKind::NoTarget, noTargetRetryAfter);
        return;
    }
    while (!homes.empty()) {
        std::vector<CandidateLoad> loads;
        loads.reserve(homes.size());
        for (const TargetState *home : homes)
            loads.push_back({ home->gate.expectedWait(request.priority),
                              home->gate.expectedRun(request.route->name) });
        const TargetDecision decision
                = chooseCandidate(loads, request.objective - now, request.deadline - now);
        if (!decision.candidate) {
            refuse(request, ErrorKind::QueueFull, decision.retryAfter, describeHomes(homes, loads));
            return;
        }
        TargetState &target = *homes[*decision.candidate];
        if (m_targets.takeColdPart(target, now)) {
            if (target.gate.hasCapacity())
                start(request, target);
            else
                enqueue(request, target);
            return;
        }
        homes.erase(homes.begin() + static_cast<std::ptrdiff_t>(*decision.candidate));
    }
    refuse(request, ErrorKind::QueueFull, noTargetRetryAfter);
}

void Forwarder::enqueue(Request &request, TargetState &target)
{
    request.target = target.info.id;
    request.isWaiting = true;
    target.gate.push({ request.id, request.priority });
    const Duration run = target.gate.expectedRun(request.route->name);
    request.waitTimer
            = std::make_unique<Timer>(m_loop, [this, &request] { takeLongWait(request); });
    request.waitTimer->startOnce(
            std::max(Duration::zero(), request.objective - run - m_loop.now()));
}

// The queue was slower than expected: another home may be free by now, else the request is refused.
void Forwarder::takeLongWait(Request &request)
{
    TargetState *target = m_targets.find(request.target);
    if (!request.isWaiting || target == nullptr)
        return;
    target->gate.cancel(request.id);
    request.isWaiting = false;
    dispatch(request);
}

void Forwarder::serveQueue(TargetState &target)
{
    const Time now = m_loop.now();
    while (m_targets.mayUse(target, now)) {
        const auto next = target.gate.pop();
        if (!next)
            return;
        const auto found = m_requests.find(next->id);
        if (found == m_requests.end())
            continue;
        found->second->isWaiting = false;
        start(*found->second, target);
    }
}

void Forwarder::targetClosed(TargetState &target)
{
    for (const ConcurrencyLimiter::WaitingRequest &waiting : target.gate.takeAllWaiting()) {
        const auto found = m_requests.find(waiting.id);
        if (found == m_requests.end())
            continue;
        found->second->isWaiting = false;
        dispatch(*found->second);
    }
}

void Forwarder::start(Request &request, TargetState &target)
{
    const Time now = m_loop.now();
    request.target = target.info.id;
    request.tried.push_back(request.target);
    request.isRunning = true;
    request.sentAt = now;
    request.answer = {};
    ++request.sends;
    target.gate.started();
    m_crashes.runStarted(request.fingerprint);
    ConnectionPool::Lease lease = target.connections.take(now);
    request.connection = std::move(lease.connection);
    if (!request.connection) {
        m_loop.defer([this, id = request.id] {
            const auto found = m_requests.find(id);
            if (found != m_requests.end())
                takeFailure(*found->second, ExchangeFailure::NotConnected);
        });
        return;
    }
    if (lease.isNew) {
        request.connectTimer = std::make_unique<Timer>(m_loop, [this, &request] {
            if (request.isRunning && request.connection && !request.connection->isConnected())
                takeFailure(request, ExchangeFailure::NotConnected);
        });
        request.connectTimer->startOnce(connectTimeout);
    }
    request.connection->begin(
            { targetRequest(request, m_names, now), request.incoming.head.request.method == "HEAD",
              [this, &request](const MessageHead &head) { return takeAnswerHead(request, head); },
              [this, &request](std::string_view bytes) { takeAnswerBody(request, bytes); },
              [this, &request] { takeWholeAnswer(request); },
              [this, &request](ExchangeFailure how) { takeFailure(request, how); } });
}

void Forwarder::refuse(Request &request, ErrorKind kind, Duration retryAfter,
                       const std::string &detail)
{
    const Time now = m_loop.now();
    // An earlier send may have run: an answer that denies it would be false.
    if (request.mayHaveRun && errorAnswer(kind).run == RunState::NotRun)
        kind = ErrorKind::UpstreamLost;
    const std::string routeName = request.route == nullptr ? std::string() : request.route->name;
    const int status = m_names.refusalStatus(kind);
    BASILDECK_INFO(part)
            << "refused request=" << request.callerRequestId << " reason=" << errorAnswer(kind).name
            << " status=" << status << " route=" << routeName
            << " organisation=" << organisationName(request) << " target=" << request.target
            << " sends=" << request.sends << " age_ms="
            << std::chrono::duration_cast<milliseconds>(now - request.incoming.received).count()
            << " retry_after_ms=" << std::chrono::duration_cast<milliseconds>(retryAfter).count()
            << " config_revision=" << (request.routing ? request.routing->revision() : 0)
            << (detail.empty() ? "" : " ") << detail;
    m_metrics.countRefusal(kind, routeName, organisationName(request));
    OwnAnswer answer
            = refusalAnswer(kind, status, m_names.requestId, request.callerRequestId, retryAfter);
    request.incoming.sink.head(answer.head);
    request.incoming.sink.body(answer.body);
    request.incoming.sink.finish(false);
    finish(request);
}

void Forwarder::refuseUnread(const AnswerSink &sink, ErrorKind kind)
{
    BASILDECK_INFO(part) << "refused an unreadable request reason=" << errorAnswer(kind).name;
    m_metrics.countRefusal(kind, {}, {});
    OwnAnswer answer = refusalAnswer(kind, m_names.refusalStatus(kind), m_names.requestId, {},
                                     Duration::zero());
    sink.head(answer.head);
    sink.body(answer.body);
    sink.finish(true);
}

void Forwarder::finish(Request &request)
{
    if (request.waitsForToken)
        m_quotas.forget(request.id);
    request.deadlineTimer.reset();
    request.waitTimer.reset();
    request.connectTimer.reset();
    const auto found = m_requests.find(request.id);
    if (found == m_requests.end())
        return;
    m_loop.destroyLater(std::move(found->second));
    m_requests.erase(found);
}

} // namespace basildeck
