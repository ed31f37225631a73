#include "http/RequestPipeline.h"

#include "core/Hash.h"
#include "decide/SlotMap.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr Duration reportInterval = milliseconds(100);
constexpr const char *openOrganisation = "(open)";

const Target *findTarget(const Service &service, const std::string &name)
{
    const auto found = std::find_if(service.targets.begin(), service.targets.end(),
                                    [&](const Target &target) { return target.name == name; });
    return found == service.targets.end() ? nullptr : &*found;
}

bool isDrained(const FleetConfig &config, const std::string &region)
{
    return std::any_of(config.regions.begin(), config.regions.end(),
                       [&](const Region &entry) { return entry.name == region && entry.drained; });
}

// Requests on open routes without a key share one queue.
std::string queueName(const Exchange &exchange)
{
    return exchange.organisation.empty() ? openOrganisation : exchange.organisation;
}

HttpResponse refusalAnswer(ErrorKind kind, RunState run, const std::string &detail)
{
    const ErrorAnswer &row = errorAnswer(kind);
    HttpResponse answer;
    answer.status = row.status;
    answer.headers.push_back({ "basildeck-refusal", std::string(row.name) });
    answer.headers.push_back({ "basildeck-run", std::string(runStateName(run)) });
    if (row.retryAfterSeconds > 0)
        answer.headers.push_back({ "retry-after", std::to_string(row.retryAfterSeconds) });
    if (row.status == 401)
        answer.headers.push_back({ "www-authenticate", "Bearer" });
    answer.body
            = json({ { "refusal", row.name }, { "run", runStateName(run) }, { "detail", detail } })
                      .dump(-1, ' ', false, json::error_handler_t::replace);
    return answer;
}

} // namespace

RequestPipeline::RequestPipeline(const Settings &settings, Mailbox<PeerMessage> &peer,
                                 Metrics &metrics, Time processStart, std::uint64_t processNumber)
    : m_settings(settings)
    , m_peer(peer)
    , m_metrics(metrics)
    , m_processStart(processStart)
    , m_processNumber(processNumber)
    , m_validator(settings.maxBodyBytes)
    , m_limits(settings.vmName, processNumber, processStart)
    , m_claims(settings.vmName, processNumber, peer)
{}

RequestPipeline::~RequestPipeline() = default;

void RequestPipeline::connect(ProxyServer &callers, UpstreamClient &upstreams)
{
    m_callers = &callers;
    m_upstreams = &upstreams;
}

Exchange *RequestPipeline::find(ProxyServer::RequestId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

Exchange *RequestPipeline::findByAttempt(UpstreamClient::AttemptId id)
{
    const auto found = m_attempts.find(id);
    return found == m_attempts.end() ? nullptr : find(found->second);
}

void RequestPipeline::erase(ProxyServer::RequestId id)
{
    m_exchanges.erase(id);
}

// ---- Refusals and ends

void RequestPipeline::refuse(Exchange &exchange, ErrorKind kind, const std::string &detail)
{
    const std::string route = exchange.route == nullptr ? "" : exchange.route->name;
    m_metrics.countRefusal(kind, route, exchange.organisation);
    const RunState run = exchange.mayHaveRun ? RunState::Unknown : errorAnswer(kind).run;
    m_claims.finish(exchange, Clock::now());
    const ProxyServer::RequestId id = exchange.id;
    m_callers->respond(id, refusalAnswer(kind, run, detail));
    erase(id);
}

void RequestPipeline::cut(Exchange &exchange)
{
    m_metrics.countCut(exchange.route->name, exchange.organisation);
    exchange.outcome = {};
    m_claims.finish(exchange, Clock::now());
    m_callers->abortResponse(exchange.id);
    erase(exchange.id);
}

// Stops whatever the exchange waits for, without an answer.
void RequestPipeline::abandon(Exchange &exchange, Time now)
{
    switch (exchange.stage) {
    case Stage::Rate:
        if (RateGate *gate = m_limits.gate(exchange.organisation))
            gate->forget(exchange.id);
        break;
    case Stage::Queue:
        m_services.at(exchange.service->name).queue.forget(exchange.id);
        break;
    case Stage::Running:
    case Stage::Answering:
        endAttempt(exchange, RunOutcome::Cancelled, now);
        break;
    case Stage::Body:
    case Stage::Claim:
        break;
    }
}

void RequestPipeline::onDisconnect(ProxyServer::RequestId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    abandon(*exchange, Clock::now());
    exchange->outcome = {};
    m_claims.finish(*exchange, Clock::now());
    const std::string service = exchange->service->name;
    erase(id);
    pump(service, Clock::now());
}

void RequestPipeline::onDeadline(Exchange &exchange, Time now)
{
    const Stage stage = exchange.stage;
    const std::string service = exchange.service->name;
    abandon(exchange, now);
    switch (stage) {
    case Stage::Rate:
        refuse(exchange, ErrorKind::OverRate, "no token of the organisation came in time");
        return;
    case Stage::Body:
    case Stage::Queue:
        refuse(exchange, ErrorKind::DeadlineExceeded,
               "the deadline passed before a target was free");
        return;
    case Stage::Claim:
        refuse(exchange, ErrorKind::ClaimUnavailable,
               "the idempotency key was not decided in time");
        return;
    case Stage::Running:
        refuse(exchange, ErrorKind::UpstreamTimeout, "the upstream did not answer in time");
        break;
    case Stage::Answering:
        cut(exchange);
        break;
    }
    pump(service, now);
}

// ---- Head

void RequestPipeline::onRequest(ProxyServer::RequestId id, Result<RequestHead> head)
{
    const Time now = Clock::now();
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.id = id;
    exchange.receivedAt = now;
    exchange.config = m_config.config;
    m_exchanges.emplace(id, std::move(owned));
    if (!head) {
        refuse(exchange, head.error().kind, head.error().detail);
        return;
    }
    exchange.head = std::move(head.value());
    if (const auto validated = m_validator.validate(exchange, now); !validated) {
        refuse(exchange, validated.error().kind, validated.error().detail);
        return;
    }
    m_metrics.countRequest(exchange.route->name, exchange.organisation);
    startRate(exchange, now);
}

// ---- Rate

void RequestPipeline::startRate(Exchange &exchange, Time now)
{
    RateGate *gate = m_limits.gate(exchange.organisation);
    if (gate == nullptr) {
        onAdmitted(exchange, now);
        return;
    }
    switch (gate->admit(exchange.id, now, exchange.deadline)) {
    case RateGate::Verdict::Admitted:
        onAdmitted(exchange, now);
        return;
    case RateGate::Verdict::Refused:
        refuse(exchange, ErrorKind::OverRate,
               "organisation \"" + exchange.organisation + "\" is over its rate");
        return;
    case RateGate::Verdict::Waiting:
        sendAsks({}, now);
        return;
    }
}

void RequestPipeline::onAdmitted(Exchange &exchange, Time now)
{
    exchange.stage = Stage::Body;
    if (exchange.head.expectsContinue)
        m_callers->sendContinue(exchange.id);
    continueWithBody(exchange, now);
}

// ---- Body

void RequestPipeline::onRequestBody(ProxyServer::RequestId id, std::string_view bytes)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    exchange->body.append(bytes);
    exchange->bodyBytesReceived += bytes.size();
    if (exchange->body.size() - exchange->bodyBytesSent > ProxyServer::highWaterBytes)
        m_callers->setRequestBodyPaused(id, true);
    if (exchange->stage == Stage::Body)
        continueWithBody(*exchange, Clock::now());
    else if (exchange->attempt)
        m_upstreams->notifyBodyAvailable(*exchange->attempt);
}

void RequestPipeline::onRequestBodyEnd(ProxyServer::RequestId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    exchange->bodyComplete = true;
    if (exchange->stage == Stage::Body)
        continueWithBody(*exchange, Clock::now());
    else if (exchange->attempt)
        m_upstreams->notifyBodyAvailable(*exchange->attempt);
}

void RequestPipeline::continueWithBody(Exchange &exchange, Time now)
{
    const bool enough = exchange.bodyComplete || !exchange.head.hasBody()
                        || exchange.body.size() > replayBytes;
    if (!enough)
        return;
    const RequestHead &head = exchange.head;
    std::string identity = exchange.organisation + '\n' + exchange.route->name + '\n' + head.method
                           + '\n' + head.requestTarget() + '\n'
                           + std::to_string(head.contentLength.value_or(0)) + '\n';
    identity.append(exchange.body, 0, replayBytes);
    exchange.fingerprint = stableHash(identity);
    const bool claims = !exchange.idempotent && !head.idempotencyKey.empty();
    if (claims)
        startClaim(exchange, now);
    else
        startQueue(exchange, now);
}

UpstreamClient::BodyPart RequestPipeline::takeRequestBody(UpstreamClient::AttemptId id,
                                                          std::size_t maxBytes)
{
    Exchange *exchange = findByAttempt(id);
    if (exchange == nullptr)
        return {};
    if (exchange->bodyBytesSent > replayBytes) {
        exchange->body.erase(0, exchange->bodyBytesSent);
        exchange->bodyBytesSent = 0;
        exchange->bodyDiscarded = true;
    }
    const std::string_view rest = std::string_view(exchange->body).substr(exchange->bodyBytesSent);
    const std::string_view part = rest.substr(0, maxBytes);
    if (LinkPacer *pacer = bodyPacer(*exchange); pacer != nullptr && !part.empty()) {
        const Time now = Clock::now();
        exchange->bodyWaitsForLink = !pacer->permitRead(now);
        if (exchange->bodyWaitsForLink)
            return {};
        pacer->noteRead(part.size(), true, now);
    }
    exchange->bodyBytesSent += part.size();
    const bool last = exchange->bodyComplete && part.size() == rest.size();
    if (rest.size() - part.size() < ProxyServer::lowWaterBytes)
        m_callers->setRequestBodyPaused(exchange->id, false);
    return { part, last };
}

// ---- Claim

void RequestPipeline::startClaim(Exchange &exchange, Time now)
{
    exchange.stage = Stage::Claim;
    exchange.deadline = std::min(exchange.deadline, now + ClaimClient::decisionTimeout);
    m_claims.begin(exchange, now);
}

void RequestPipeline::onClaimDecision(const std::string &owner, const ClaimDecision &decision,
                                      Time now)
{
    Exchange *exchange = find(m_claims.onDecision(owner, decision));
    if (exchange == nullptr || exchange->stage != Stage::Claim)
        return;
    switch (decision.verdict) {
    case ClaimVerdict::Granted:
        exchange->claimGranted = true;
        exchange->deadline = exchange->receivedAt + milliseconds(exchange->route->timeoutMs);
        if (exchange->head.timeoutMs)
            exchange->deadline
                    = std::min(exchange->deadline,
                               exchange->receivedAt + milliseconds(*exchange->head.timeoutMs));
        startQueue(*exchange, now);
        return;
    case ClaimVerdict::Replay:
        exchange->claim.reset();
        replay(*exchange, decision.outcome);
        return;
    case ClaimVerdict::InProgress:
        exchange->claim.reset();
        refuse(*exchange, ErrorKind::ClaimInProgress, "a request with this key is being run");
        return;
    case ClaimVerdict::OutcomeUnknown:
        exchange->claim.reset();
        refuse(*exchange, ErrorKind::ClaimOutcomeUnknown,
               "a request with this key was sent on and its outcome is not known");
        return;
    case ClaimVerdict::Mismatch:
        exchange->claim.reset();
        refuse(*exchange, ErrorKind::ClaimMismatch, "another request has used this key");
        return;
    case ClaimVerdict::Unavailable:
        refuse(*exchange, ErrorKind::ClaimUnavailable, "the store did not record the key in time");
        return;
    case ClaimVerdict::Recorded:
        return;
    }
}

void RequestPipeline::replay(Exchange &exchange, const ClaimOutcome &outcome)
{
    if (!outcome.bodyKept) {
        refuse(exchange, ErrorKind::ClaimOutcomeUnknown,
               "the request was run and answered " + std::to_string(outcome.status)
                       + "; its answer was too large to be kept");
        return;
    }
    HttpResponse answer;
    answer.status = outcome.status;
    answer.contentType = outcome.contentType;
    answer.headers.push_back({ "basildeck-replayed", "true" });
    answer.body = outcome.body;
    const ProxyServer::RequestId id = exchange.id;
    m_metrics.noteLatency(exchange.route->name, Clock::now() - exchange.receivedAt);
    m_callers->respond(id, std::move(answer));
    erase(id);
}

// ---- Queue and run

void RequestPipeline::startQueue(Exchange &exchange, Time now)
{
    if (!m_crashes.mayRun(exchange.fingerprint, now)) {
        refuse(exchange, ErrorKind::Quarantined, "requests like this one crashed upstreams");
        return;
    }
    ServiceState &state = m_services.at(exchange.service->name);
    if (!state.pool.anyOpen()) {
        refuse(exchange, ErrorKind::NoTarget,
               "service \"" + exchange.service->name + "\" has no open target");
        return;
    }
    exchange.stage = Stage::Queue;
    const RateGate *gate = m_limits.gate(exchange.organisation);
    const bool excess = gate != nullptr && gate->inExcess();
    if (!state.queue.push(exchange.id, queueName(exchange), exchange.deadline,
                          excess ? FairQueue::Band::Excess : FairQueue::Band::InRate)) {
        refuse(exchange, ErrorKind::QueueFull,
               "too many requests of organisation \"" + queueName(exchange) + "\" wait");
        return;
    }
    pump(exchange.service->name, now);
}

void RequestPipeline::pump(const std::string &service, Time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    ServiceState &state = found->second;
    for (const FairQueue::RequestId id :
         state.queue.takeExpired(now + state.pool.typicalDuration())) {
        if (Exchange *exchange = find(id))
            refuse(*exchange, ErrorKind::DeadlineExceeded,
                   "the deadline would pass before an answer");
    }
    while (!state.queue.empty() && state.pool.choose({}, now, now)) {
        const auto id = state.queue.pop();
        Exchange *exchange = find(*id);
        assert(exchange != nullptr);
        // A request that is sent again avoids the targets that it has tried, if it can.
        auto slot = state.pool.choose(exchange->triedTargets, exchange->deadline, now);
        if (!slot)
            slot = state.pool.choose({}, exchange->deadline, now);
        if (!slot) {
            // The free slots are borrowed and end before this request may.
            state.queue.pushFront(exchange->id, queueName(*exchange), exchange->deadline);
            return;
        }
        dispatch(*exchange, *slot, now);
    }
}

void RequestPipeline::dispatch(Exchange &exchange, const TargetPool::Choice &slot, Time now)
{
    const std::string &targetName = slot.target;
    if (!m_crashes.mayRun(exchange.fingerprint, now)) {
        refuse(exchange, ErrorKind::Quarantined, "requests like this one crashed upstreams");
        return;
    }
    const Target *target = findTarget(*exchange.service, targetName);
    if (target == nullptr) {
        // The target was added by a later configuration than the one the request came in under.
        exchange.config = m_config.config;
        exchange.route = findRoute(*exchange.config, exchange.head.host,
                                   percentDecode(exchange.head.path));
        exchange.service = exchange.route == nullptr
                                   ? nullptr
                                   : findService(*exchange.config, exchange.route->service);
        target = exchange.service == nullptr ? nullptr : findTarget(*exchange.service, targetName);
    }
    if (target == nullptr) {
        refuse(exchange, ErrorKind::UnknownRoute, "the route has changed");
        return;
    }
    if (exchange.attemptCount++ == 0)
        m_retries.noteFresh();
    m_services.at(exchange.service->name).pool.started(slot);
    m_crashes.started(exchange.fingerprint);
    exchange.stage = Stage::Running;
    exchange.slot = slot;
    exchange.attemptStartedAt = now;
    exchange.bodyBytesSent = 0;

    UpstreamRequest request;
    request.method = exchange.head.method;
    request.target = exchange.head.requestTarget();
    request.host = exchange.head.host;
    request.headers = exchange.head.forwardedHeaders;
    const auto left = std::chrono::duration_cast<milliseconds>(exchange.deadline - now);
    request.headers.push_back({ "basildeck-timeout-ms", std::to_string(left.count()) });
    if (!exchange.organisation.empty())
        request.headers.push_back({ "basildeck-organisation", exchange.organisation });
    request.contentLength = exchange.head.contentLength;
    request.limitsReceiveBuffer = answerPacer(exchange) != nullptr;
    exchange.attempt = m_upstreams->startAttempt(target->address, std::move(request));
    m_attempts[*exchange.attempt] = exchange.id;
}

// Frees the target's slot. A cancelled attempt is ended here; the others have ended by themselves.
void RequestPipeline::endAttempt(Exchange &exchange, RunOutcome outcome, Time now)
{
    if (!exchange.attempt)
        return;
    const UpstreamClient::AttemptId attempt = *exchange.attempt;
    exchange.attempt.reset();
    if (std::exchange(exchange.linkReadPermitted, false))
        answerPacer(exchange)->withdrawRead();
    exchange.pausedForLink = false;
    exchange.bodyWaitsForLink = false;
    m_attempts.erase(attempt);
    m_upstreams->cancel(attempt);
    m_crashes.finished(exchange.fingerprint);
    if (outcome == RunOutcome::Cancelled || outcome == RunOutcome::Lost
        || outcome == RunOutcome::Answered)
        exchange.mayHaveRun = true;
    m_services.at(exchange.service->name)
            .pool.finished(exchange.slot, outcome, now - exchange.attemptStartedAt, now);
}

void RequestPipeline::onResponseHead(UpstreamClient::AttemptId id, const UpstreamResponseHead &head)
{
    Exchange *exchange = findByAttempt(id);
    if (exchange == nullptr)
        return;
    const Time now = Clock::now();
    const std::string service = exchange->service->name;
    if (head.status == 503 && head.notRun) {
        endAttempt(*exchange, RunOutcome::Shed, now);
        retryOrRefuse(*exchange, RetryReason::Shed, ErrorKind::TargetsShed, now);
        pump(service, now);
        return;
    }
    exchange->mayHaveRun = true;
    if (!head.selfDelimited) {
        endAttempt(*exchange, RunOutcome::Answered, now);
        refuse(*exchange, ErrorKind::AnswerInvalid,
               "the end of the upstream's answer is not marked");
        pump(service, now);
        return;
    }
    exchange->stage = Stage::Answering;
    exchange->deadline = progressDeadline(*exchange, now);
    exchange->outcome.status = head.status;
    exchange->outcome.bodyKept = true;
    for (const HttpHeader &header : head.headers) {
        if (header.name == "content-type")
            exchange->outcome.contentType = header.value;
    }
    m_callers->startResponse(exchange->id, head.status, head.headers, head.contentLength);
    paceAnswer(*exchange, now);
}

void RequestPipeline::onResponseData(UpstreamClient::AttemptId id, std::string_view bytes)
{
    Exchange *exchange = findByAttempt(id);
    if (exchange == nullptr)
        return;
    exchange->deadline = progressDeadline(*exchange, Clock::now());
    ClaimOutcome &outcome = exchange->outcome;
    if (outcome.bodyKept && exchange->claim) {
        outcome.bodyKept = outcome.body.size() + bytes.size() <= ClaimBook::maxKeptBodyBytes;
        if (outcome.bodyKept)
            outcome.body.append(bytes);
        else
            outcome.body.clear();
    }
    m_callers->appendResponseBody(exchange->id, bytes);
    if (LinkPacer *pacer = answerPacer(*exchange)) {
        const Time now = Clock::now();
        pacer->noteRead(bytes.size(), std::exchange(exchange->linkReadPermitted, false), now);
        paceAnswer(*exchange, now);
    }
    if (m_callers->bufferedResponseBytes(exchange->id) > ProxyServer::highWaterBytes) {
        exchange->pausedForCaller = true;
        m_upstreams->setReadPaused(id, true);
    }
}

void RequestPipeline::onResponseDrained(ProxyServer::RequestId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    exchange->deadline = progressDeadline(*exchange, Clock::now());
    if (!exchange->pausedForCaller || !exchange->attempt)
        return;
    exchange->pausedForCaller = false;
    if (!exchange->pausedForLink)
        m_upstreams->setReadPaused(*exchange->attempt, false);
}

void RequestPipeline::onAttemptEnd(UpstreamClient::AttemptId id, AttemptResult attemptResult)
{
    Exchange *exchange = findByAttempt(id);
    if (exchange == nullptr)
        return;
    const Time now = Clock::now();
    const std::string service = exchange->service->name;
    switch (attemptResult) {
    case AttemptResult::Complete: {
        endAttempt(*exchange, RunOutcome::Answered, now);
        m_crashes.answered(exchange->fingerprint);
        m_claims.finish(*exchange, Clock::now());
        m_metrics.noteLatency(exchange->route->name, now - exchange->receivedAt);
        const ProxyServer::RequestId request = exchange->id;
        m_callers->finishResponse(request);
        erase(request);
        break;
    }
    case AttemptResult::ConnectFailed:
        endAttempt(*exchange, RunOutcome::ConnectFailed, now);
        retryOrRefuse(*exchange, RetryReason::ConnectFailed, ErrorKind::ConnectFailed, now);
        break;
    case AttemptResult::ConnectionLost:
        endAttempt(*exchange, RunOutcome::Lost, now);
        noteCrash(*exchange, now);
        if (exchange->stage == Stage::Answering)
            cut(*exchange);
        else
            retryOrRefuse(*exchange, RetryReason::LostIdempotent, ErrorKind::UpstreamLost, now);
        break;
    }
    pump(service, now);
}

void RequestPipeline::noteCrash(Exchange &exchange, Time now)
{
    const auto ran = std::chrono::duration_cast<milliseconds>(now - exchange.attemptStartedAt);
    const CrashReport report{ exchange.fingerprint, exchange.slot.target,
                              static_cast<std::uint32_t>(ran.count()) };
    if (m_crashes.note(report, now))
        m_peer.post(FrontPayloadTo{ "", report });
}

bool RequestPipeline::canSendAgain(const Exchange &exchange, RetryReason reason, Time now) const
{
    if (exchange.attemptCount >= maxAttempts || exchange.bodyDiscarded || exchange.deadline <= now)
        return false;
    return reason != RetryReason::LostIdempotent || exchange.idempotent;
}

void RequestPipeline::retryOrRefuse(Exchange &exchange, RetryReason reason, ErrorKind otherwise,
                                    Time now)
{
    exchange.triedTargets.insert(exchange.slot.target);
    if (!canSendAgain(exchange, reason, now) || !m_retries.take()) {
        refuse(exchange, otherwise, "target \"" + exchange.slot.target + "\" did not answer");
        return;
    }
    m_metrics.countRetry(reason, exchange.route->name, exchange.organisation);
    exchange.stage = Stage::Queue;
    exchange.bodyBytesSent = 0;
    m_services.at(exchange.service->name)
            .queue.pushFront(exchange.id, queueName(exchange), exchange.deadline);
}

// An answer may take any time while it moves on, but not longer than a borrowed slot lasts.
Time RequestPipeline::progressDeadline(const Exchange &exchange, Time now) const
{
    const Time deadline = now + progressTimeout;
    if (!exchange.attempt)
        return deadline;
    const auto until = m_services.at(exchange.service->name).pool.usableUntil(exchange.slot);
    return until ? std::min(deadline, *until) : deadline;
}

// ---- Messages

void RequestPipeline::setConfig(const ConfigInForce &config, Time now)
{
    if (config.version < m_config.version)
        return;
    m_config = config;
    m_validator.setConfig(config);
    m_retries.setPercent(config.config->defaults.retryPercent);
    m_limits.setConfig(*config.config, now);
    for (const Service &service : config.config->services)
        m_services.try_emplace(
                service.name,
                ServiceState{ TargetPool(m_settings.region, m_settings.zone, m_processNumber),
                              {} });
    applyTargets(now);

    // Requests that wait lose their place if their key was withdrawn.
    std::vector<ProxyServer::RequestId> withdrawn;
    for (const auto &[id, exchange] : m_exchanges) {
        const bool waits = exchange->stage < Stage::Running && exchange->attemptCount == 0;
        if (waits && !exchange->keyHash.empty() && !m_validator.knowsKey(exchange->keyHash))
            withdrawn.push_back(id);
    }
    for (const ProxyServer::RequestId id : withdrawn) {
        abandon(*find(id), now);
        refuse(*find(id), ErrorKind::KeyUnknown, "the key was withdrawn");
    }
}

void RequestPipeline::setMembers(const MemberList &members)
{
    m_claims.setMembers(members);
}

void RequestPipeline::setHolders(const HolderTable &table, Time now)
{
    m_limits.setTable(table, now);
    applyTargets(now);
}

void RequestPipeline::acknowledgeHolder(const HolderAcknowledged &acknowledged, Time now)
{
    m_limits.acknowledge(acknowledged.vm, acknowledged.version, now);
    applyTargets(now);
}

// Sets the slots that this VM may use: the smaller of its two parts while a change is under way.
void RequestPipeline::applyTargets(Time now)
{
    if (!m_config.config)
        return;
    const HolderTable &table = m_limits.holders().table();
    const auto ownersOf = [&](const std::vector<std::string> &list) {
        std::vector<SlotOwner> owners;
        for (const std::string &vm : list) {
            const auto region = table.regions.find(vm);
            owners.push_back({ vm, region == table.regions.end() ? "" : region->second });
        }
        return owners;
    };
    const auto before = ownersOf(table.before);
    const auto after = ownersOf(table.after);
    const bool complete = m_limits.holders().complete();
    for (const Service &service : m_config.config->services) {
        std::vector<TargetSpec> specs;
        for (const Target &target : service.targets) {
            const auto owned = [&](const std::vector<SlotOwner> &owners) {
                return ownedSlots(m_settings.vmName, target.name, target.region,
                                  service.slotsPerTarget, owners);
            };
            TargetSpec spec{ target.name, target.region, target.zone, owned(after), false };
            if (!complete)
                spec.slots = std::min(spec.slots, owned(before));
            spec.closed = target.leaving || isDrained(*m_config.config, target.region);
            specs.push_back(std::move(spec));
        }
        m_services.at(service.name).pool.setTargets(specs, now);
        pump(service.name, now);
    }
}

// Tells the others that this VM keeps to the table, once it does.
void RequestPipeline::acknowledgeHolders(Time now)
{
    const std::uint64_t version = m_limits.holders().table().version;
    if (version == m_acknowledgedTable)
        return;
    bool fits = m_limits.fits(now);
    for (const auto &[name, service] : m_services)
        fits = fits && service.pool.fitsSlots();
    if (!fits)
        return;
    m_acknowledgedTable = version;
    m_limits.acknowledgeOwn(now);
    applyTargets(now);
}

void RequestPipeline::onPayload(const FrontPayloadFrom &from, Time now)
{
    std::visit(
            Overloaded{
                    [&](const BudgetAskMessage &message) {
                        BudgetShare *share = m_limits.share(message.budget);
                        if (share == nullptr)
                            return;
                        m_peer.post(FrontPayloadTo{
                                from.vm, BudgetGrantMessage{
                                                 message.budget,
                                                 share->answerAsk(from.vm, message.ask, now) } });
                    },
                    [&](const BudgetGrantMessage &message) {
                        if (BudgetShare *share = m_limits.share(message.budget))
                            share->acceptGrant(from.vm, message.grant, now);
                    },
                    [&](const CrashReport &report) { m_crashes.note(report, now); },
                    [&](const SlotAskMessage &message) {
                        const auto state = m_services.find(message.service);
                        if (state == m_services.end())
                            return;
                        m_peer.post(FrontPayloadTo{
                                from.vm,
                                SlotGrantMessage{ message.service,
                                                  state->second.pool.lend(
                                                          from.vm, message.ask,
                                                          !state->second.queue.empty(), now) } });
                    },
                    [&](const SlotGrantMessage &message) {
                        const auto state = m_services.find(message.service);
                        if (state == m_services.end())
                            return;
                        state->second.pool.borrower().accept(from.vm, message.grant, now);
                        pump(message.service, now);
                    },
                    [&](const SlotReturnMessage &message) {
                        const auto state = m_services.find(message.service);
                        if (state == m_services.end())
                            return;
                        state->second.pool.takeBack(from.vm, message.back);
                        pump(message.service, now);
                    },
                    [&](const ClaimDecision &decision) { onClaimDecision(from.vm, decision, now); },
            },
            from.payload);
}

void RequestPipeline::sendAsks(const std::map<const LinkPacer *, int> &waitingReads, Time now)
{
    for (FleetLimits::AskTo &ask : m_limits.planAsks(waitingReads, now))
        m_peer.post(
                FrontPayloadTo{ ask.holder, BudgetAskMessage{ ask.budget, std::move(ask.ask) } });
}

// ---- Links between regions

LinkPacer *RequestPipeline::answerPacer(const Exchange &exchange)
{
    const Target *target = findTarget(*exchange.service, exchange.slot.target);
    return target == nullptr ? nullptr : m_limits.pacer(target->region, m_settings.region);
}

LinkPacer *RequestPipeline::bodyPacer(const Exchange &exchange)
{
    const Target *target = findTarget(*exchange.service, exchange.slot.target);
    return target == nullptr ? nullptr : m_limits.pacer(m_settings.region, target->region);
}

// Permits the next read of an answer, or stops reading until there are tokens.
void RequestPipeline::paceAnswer(Exchange &exchange, Time now)
{
    LinkPacer *pacer = answerPacer(exchange);
    if (pacer == nullptr || !exchange.attempt || exchange.linkReadPermitted)
        return;
    exchange.linkReadPermitted = pacer->permitRead(now);
    const bool paused = !exchange.linkReadPermitted;
    if (paused == exchange.pausedForLink)
        return;
    exchange.pausedForLink = paused;
    if (!exchange.pausedForCaller)
        m_upstreams->setReadPaused(*exchange.attempt, paused);
}

std::map<const LinkPacer *, int> RequestPipeline::continuePaced(Time now)
{
    std::map<const LinkPacer *, int> waitingReads;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->pausedForLink)
            paceAnswer(*exchange, now);
        if (exchange->bodyWaitsForLink && exchange->attempt) {
            exchange->bodyWaitsForLink = false;
            m_upstreams->notifyBodyAvailable(*exchange->attempt);
            ++waitingReads[bodyPacer(*exchange)];
        }
        if (exchange->pausedForLink)
            ++waitingReads[answerPacer(*exchange)];
    }
    return waitingReads;
}

// Borrows slots for requests that find none here, and gives back those without work.
void RequestPipeline::exchangeSlots(const std::string &name, ServiceState &state, Time now)
{
    state.pool.expireLoans(now);
    SlotBorrower &borrower = state.pool.borrower();
    for (SlotBorrower::ReturnTo &back : borrower.takeReturns(now))
        m_peer.post(FrontPayloadTo{ back.lender, SlotReturnMessage{ name, back.back } });
    if (state.queue.empty())
        return;
    const std::vector<std::string> lenders = m_limits.otherHolders();
    if (auto ask = borrower.planAsk(static_cast<int>(state.queue.size()), lenders, now))
        m_peer.post(FrontPayloadTo{ ask->lender, SlotAskMessage{ name, ask->ask } });
}

std::uint32_t RequestPipeline::loadPermille() const
{
    int inFlight = 0;
    int slots = 0;
    for (const auto &[name, service] : m_services) {
        inFlight += service.pool.inFlight() + static_cast<int>(service.queue.size());
        slots += service.pool.slots();
    }
    if (slots == 0)
        return 0;
    return static_cast<std::uint32_t>(std::min(1000, 1000 * inFlight / slots));
}

void RequestPipeline::tick(Time now)
{
    for (const auto &[organisation, gate] : m_limits.gates()) {
        for (const RateGate::Decision &decision : gate->poll(now)) {
            Exchange *exchange = find(decision.id);
            if (exchange == nullptr)
                continue;
            if (decision.verdict == RateGate::Verdict::Admitted)
                onAdmitted(*exchange, now);
            else
                refuse(*exchange, ErrorKind::OverRate,
                       "organisation \"" + organisation + "\" is over its rate");
        }
    }
    sendAsks(continuePaced(now), now);
    m_claims.tick(now);
    std::vector<ProxyServer::RequestId> late;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->deadline <= now)
            late.push_back(id);
        else if (exchange->stage == Stage::Claim)
            m_claims.resend(*exchange, now);
    }
    for (const ProxyServer::RequestId id : late) {
        if (Exchange *exchange = find(id))
            onDeadline(*exchange, now);
    }
    for (auto &[name, service] : m_services) {
        exchangeSlots(name, service, now);
        pump(name, now);
    }
    acknowledgeHolders(now);
    if (now - m_lastReport >= reportInterval) {
        m_lastReport = now;
        m_peer.post(FrontReport{ loadPermille(), m_acknowledgedTable });
    }
}

// ---- Status

bool RequestPipeline::ready(Time now) const
{
    return m_config.config && !m_validator.refusesAllRequests()
           && m_limits.holders().table().version != 0
           && now - m_processStart > BudgetShare::startGuard;
}

json RequestPipeline::status(Time now)
{
    json budgets = json::object();
    for (const auto &[organisation, gate] : m_limits.gates())
        budgets[organisation] = {
            { "rate", gate->share().limit().rate },   { "burst", gate->share().limit().burst },
            { "fraction", gate->share().fraction() }, { "tokens", gate->share().available(now) },
            { "lent", gate->share().lent() },         { "waiting", gate->waiting() }
        };
    json services = json::object();
    for (const auto &[name, service] : m_services) {
        json targets = json::array();
        for (const TargetPool::View &view : service.pool.views(now))
            targets.push_back({ { "name", view.name },
                                { "inFlight", view.inFlight },
                                { "slots", view.slots },
                                { "lent", view.lent },
                                { "closed", view.closed },
                                { "ejected", view.ejected } });
        services[name] = { { "waiting", service.queue.size() }, { "targets", targets } };
    }
    const auto serveLeft
            = std::chrono::duration_cast<milliseconds>(m_validator.serveUntil() - now).count();
    return { { "configVersion", m_config.version },
             { "ready", ready(now) },
             { "holderTable",
               { { "version", m_limits.holders().table().version },
                 { "acknowledged", m_acknowledgedTable },
                 { "complete", m_limits.holders().complete() },
                 { "holders", m_limits.holders().holders() } } },
             { "keysServedForMs", std::max<long>(0, serveLeft) },
             { "openRequests", m_exchanges.size() },
             { "quarantined", m_crashes.quarantined() },
             { "budgets", budgets },
             { "services", services } };
}

json RequestPipeline::explain(const std::string &method, const std::string &host,
                              const std::string &path, const std::string &key)
{
    if (!m_config.config)
        return { { "step", "configuration" }, { "refusal", "no-configuration" } };
    const Route *route = findRoute(*m_config.config, host, path);
    if (route == nullptr)
        return { { "step", "route" }, { "refusal", "unknown-route" } };
    Exchange probe;
    probe.config = m_config.config;
    probe.route = route;
    probe.head.apiKey = key;
    json result = { { "route", route->name },
                    { "service", route->service },
                    { "idempotent", isIdempotent(*route, method) },
                    { "timeoutMs", route->timeoutMs } };
    const Time now = Clock::now();
    if (const auto authenticated = m_validator.authenticate(probe, now); !authenticated) {
        result["step"] = "key";
        result["refusal"] = errorAnswer(authenticated.error().kind).name;
        result["detail"] = authenticated.error().detail;
        return result;
    }
    result["organisation"] = probe.organisation;
    if (RateGate *gate = m_limits.gate(probe.organisation))
        result["tokensHere"] = gate->share().available(now);
    const auto slot = m_services.at(route->service).pool.choose({}, now, now);
    result["nextTarget"] = slot ? json(slot->target) : json();
    return result;
}

} // namespace basildeck
