#include "http/RequestPipeline.h"

#include "core/Hash.h"
#include "core/PercentEncoding.h"
#include "decide/SlotAssignment.h"

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

// Requests to open routes without a known API key share a queue.
std::string queueOrganisation(const Exchange &exchange)
{
    return exchange.organisation.empty() ? openOrganisation : exchange.organisation;
}

HttpResponse refusalResponse(ErrorKind kind, RunState run, const std::string &detail)
{
    const ErrorResponse &row = errorResponse(kind);
    HttpResponse response;
    response.status = row.status;
    response.headers.push_back({ "basildeck-refusal", std::string(row.name) });
    response.headers.push_back({ "basildeck-run", std::string(runStateName(run)) });
    if (row.retryAfterSeconds > 0)
        response.headers.push_back({ "retry-after", std::to_string(row.retryAfterSeconds) });
    if (row.status == 401)
        response.headers.push_back({ "www-authenticate", "Bearer" });
    response.body
            = json({ { "refusal", row.name }, { "run", runStateName(run) }, { "detail", detail } })
                      .dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

} // namespace

RequestPipeline::RequestPipeline(const Settings &settings, Mailbox<PeerMessage> &peer,
                                 Metrics &metrics, Time processStartTime,
                                 std::uint64_t processIncarnation)
    : m_settings(settings)
    , m_peer(peer)
    , m_metrics(metrics)
    , m_processStartTime(processStartTime)
    , m_processIncarnation(processIncarnation)
    , m_validator(settings.maxBodyBytes)
    , m_limits(settings.vmName, processIncarnation, processStartTime)
    , m_claimClient(settings.vmName, processIncarnation, peer)
{}

RequestPipeline::~RequestPipeline() = default;

void RequestPipeline::connect(ProxyServer &server, UpstreamClient &upstreamClient)
{
    m_server = &server;
    m_upstreamClient = &upstreamClient;
}

Exchange *RequestPipeline::find(ProxyServer::RequestId id)
{
    const auto found = m_exchanges.find(id);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

Exchange *RequestPipeline::findByAttempt(UpstreamClient::AttemptId id)
{
    const auto found = m_requestByAttempt.find(id);
    return found == m_requestByAttempt.end() ? nullptr : find(found->second);
}

void RequestPipeline::erase(ProxyServer::RequestId id)
{
    m_exchanges.erase(id);
}

// ---- Refusals and cancellation

void RequestPipeline::refuse(Exchange &exchange, ErrorKind kind, const std::string &detail)
{
    const std::string route = exchange.route == nullptr ? "" : exchange.route->name;
    m_metrics.countRefusal(kind, route, exchange.organisation);
    const RunState run = exchange.mayHaveRun ? RunState::Unknown : errorResponse(kind).run;
    m_claimClient.finish(exchange, Clock::now());
    const ProxyServer::RequestId id = exchange.id;
    m_server->respond(id, refusalResponse(kind, run, detail));
    erase(id);
}

void RequestPipeline::abortResponse(Exchange &exchange)
{
    m_metrics.countTruncatedResponse(exchange.route->name, exchange.organisation);
    exchange.outcome = {};
    m_claimClient.finish(exchange, Clock::now());
    m_server->abortResponse(exchange.id);
    erase(exchange.id);
}

// Cancels what the exchange waits for in its current stage. Does not send a response.
void RequestPipeline::cancelCurrentStage(Exchange &exchange, Time now)
{
    switch (exchange.stage) {
    case Stage::Rate:
        if (RateLimiter *gate = m_limits.rateLimiter(exchange.organisation))
            gate->cancel(exchange.id);
        break;
    case Stage::Queue:
        m_services.at(exchange.service->name).queue.remove(exchange.id);
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
    cancelCurrentStage(*exchange, Clock::now());
    exchange->outcome = {};
    m_claimClient.finish(*exchange, Clock::now());
    const std::string service = exchange->service->name;
    erase(id);
    dispatchQueued(service, Clock::now());
}

void RequestPipeline::onDeadline(Exchange &exchange, Time now)
{
    const Stage stage = exchange.stage;
    const std::string service = exchange.service->name;
    cancelCurrentStage(exchange, now);
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
        abortResponse(exchange);
        break;
    }
    dispatchQueued(service, now);
}

// ---- Request head

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
    applyRateLimit(exchange, now);
}

// ---- Rate limit

void RequestPipeline::applyRateLimit(Exchange &exchange, Time now)
{
    RateLimiter *gate = m_limits.rateLimiter(exchange.organisation);
    if (gate == nullptr) {
        onAdmitted(exchange, now);
        return;
    }
    switch (gate->admit(exchange.id, now, exchange.deadline)) {
    case RateLimiter::Verdict::Admitted:
        onAdmitted(exchange, now);
        return;
    case RateLimiter::Verdict::Refused:
        refuse(exchange, ErrorKind::OverRate,
               "organisation \"" + exchange.organisation + "\" is over its rate");
        return;
    case RateLimiter::Verdict::Waiting:
        requestBudgetTokens({}, now);
        return;
    }
}

void RequestPipeline::onAdmitted(Exchange &exchange, Time now)
{
    exchange.stage = Stage::Body;
    if (exchange.head.expectsContinue)
        m_server->sendContinue(exchange.id);
    continueAfterBody(exchange, now);
}

// ---- Request body

void RequestPipeline::onRequestBody(ProxyServer::RequestId id, std::string_view bytes)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    exchange->body.append(bytes);
    exchange->bodyBytesReceived += bytes.size();
    if (exchange->body.size() - exchange->bodyBytesSent > ProxyServer::highWaterBytes)
        m_server->setRequestBodyPaused(id, true);
    if (exchange->stage == Stage::Body)
        continueAfterBody(*exchange, Clock::now());
    else if (exchange->attempt)
        m_upstreamClient->notifyBodyAvailable(*exchange->attempt);
}

void RequestPipeline::onRequestBodyEnd(ProxyServer::RequestId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    exchange->bodyComplete = true;
    if (exchange->stage == Stage::Body)
        continueAfterBody(*exchange, Clock::now());
    else if (exchange->attempt)
        m_upstreamClient->notifyBodyAvailable(*exchange->attempt);
}

void RequestPipeline::continueAfterBody(Exchange &exchange, Time now)
{
    const bool enoughBody = exchange.bodyComplete || !exchange.head.hasBody()
                            || exchange.body.size() > maxReplayBytes;
    if (!enoughBody)
        return;
    const RequestHead &head = exchange.head;
    std::string fingerprintInput = exchange.organisation + '\n' + exchange.route->name + '\n'
                                   + head.method + '\n' + head.requestTarget() + '\n'
                                   + std::to_string(head.contentLength.value_or(0)) + '\n';
    fingerprintInput.append(exchange.body, 0, maxReplayBytes);
    exchange.fingerprint = stableHash(fingerprintInput);
    const bool needsClaim = !exchange.idempotent && !head.idempotencyKey.empty();
    if (needsClaim)
        requestClaim(exchange, now);
    else
        enqueue(exchange, now);
}

UpstreamClient::BodyPart RequestPipeline::takeRequestBody(UpstreamClient::AttemptId id,
                                                          std::size_t maxBytes)
{
    Exchange *exchange = findByAttempt(id);
    if (exchange == nullptr)
        return {};
    if (exchange->bodyBytesSent > maxReplayBytes) {
        exchange->body.erase(0, exchange->bodyBytesSent);
        exchange->bodyBytesSent = 0;
        exchange->bodyDiscarded = true;
    }
    const std::string_view unsent
            = std::string_view(exchange->body).substr(exchange->bodyBytesSent);
    const std::string_view bodyPart = unsent.substr(0, maxBytes);
    if (LinkPacer *pacer = requestBodyPacer(*exchange); pacer != nullptr && !bodyPart.empty()) {
        const Time now = Clock::now();
        exchange->bodyWaitsForLink = !pacer->reserveRead(now);
        if (exchange->bodyWaitsForLink)
            return {};
        pacer->recordRead(bodyPart.size(), true, now);
    }
    exchange->bodyBytesSent += bodyPart.size();
    const bool last = exchange->bodyComplete && bodyPart.size() == unsent.size();
    if (unsent.size() - bodyPart.size() < ProxyServer::lowWaterBytes)
        m_server->setRequestBodyPaused(exchange->id, false);
    return { bodyPart, last };
}

// ---- Idempotency claims

void RequestPipeline::requestClaim(Exchange &exchange, Time now)
{
    exchange.stage = Stage::Claim;
    exchange.deadline = std::min(exchange.deadline, now + ClaimClient::decisionTimeout);
    m_claimClient.begin(exchange, now);
}

void RequestPipeline::onClaimDecision(const std::string &owner, const ClaimDecision &decision,
                                      Time now)
{
    Exchange *exchange = find(m_claimClient.onDecision(owner, decision));
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
        enqueue(*exchange, now);
        return;
    case ClaimVerdict::Replay:
        exchange->claim.reset();
        replayResponse(*exchange, decision.outcome);
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

void RequestPipeline::replayResponse(Exchange &exchange, const ClaimOutcome &outcome)
{
    if (!outcome.bodyKept) {
        refuse(exchange, ErrorKind::ClaimOutcomeUnknown,
               "the request was run and answered " + std::to_string(outcome.status)
                       + "; its answer was too large to be kept");
        return;
    }
    HttpResponse response;
    response.status = outcome.status;
    response.contentType = outcome.contentType;
    response.headers.push_back({ "basildeck-replayed", "true" });
    response.body = outcome.body;
    const ProxyServer::RequestId id = exchange.id;
    m_metrics.recordLatency(exchange.route->name, Clock::now() - exchange.receivedAt);
    m_server->respond(id, std::move(response));
    erase(id);
}

// ---- Queue and attempts

void RequestPipeline::enqueue(Exchange &exchange, Time now)
{
    if (!m_crashes.mayRun(exchange.fingerprint, now)) {
        refuse(exchange, ErrorKind::Quarantined, "requests like this one crashed upstreams");
        return;
    }
    ServiceState &state = m_services.at(exchange.service->name);
    if (!state.pool.hasOpenTarget()) {
        refuse(exchange, ErrorKind::NoTarget,
               "service \"" + exchange.service->name + "\" has no open target");
        return;
    }
    exchange.stage = Stage::Queue;
    const RateLimiter *gate = m_limits.rateLimiter(exchange.organisation);
    const bool excess = gate != nullptr && gate->isOverRate();
    if (!state.queue.push(exchange.id, queueOrganisation(exchange), exchange.deadline,
                          excess ? FairQueue::Band::Excess : FairQueue::Band::InRate)) {
        refuse(exchange, ErrorKind::QueueFull,
               "too many requests of organisation \"" + queueOrganisation(exchange) + "\" wait");
        return;
    }
    dispatchQueued(exchange.service->name, now);
}

void RequestPipeline::dispatchQueued(const std::string &service, Time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    ServiceState &state = found->second;
    for (const FairQueue::RequestId id :
         state.queue.removeExpired(now + state.pool.averageDuration())) {
        if (Exchange *exchange = find(id))
            refuse(*exchange, ErrorKind::DeadlineExceeded,
                   "the deadline would pass before an answer");
    }
    while (!state.queue.empty() && state.pool.choose({}, now, now)) {
        const auto id = state.queue.pop();
        Exchange *exchange = find(*id);
        assert(exchange != nullptr);
        // A retry prefers targets that the request has not tried.
        auto slot = state.pool.choose(exchange->triedTargets, exchange->deadline, now);
        if (!slot)
            slot = state.pool.choose({}, exchange->deadline, now);
        if (!slot) {
            // The only free slots are borrowed and expire before the deadline of this request.
            state.queue.pushFront(exchange->id, queueOrganisation(*exchange), exchange->deadline);
            return;
        }
        sendToTarget(*exchange, *slot, now);
    }
}

void RequestPipeline::sendToTarget(Exchange &exchange, const TargetPool::Choice &slot, Time now)
{
    const std::string &targetName = slot.target;
    if (!m_crashes.mayRun(exchange.fingerprint, now)) {
        refuse(exchange, ErrorKind::Quarantined, "requests like this one crashed upstreams");
        return;
    }
    const Target *target = findTarget(*exchange.service, targetName);
    if (target == nullptr) {
        // The target was added by a configuration newer than the one that the request was accepted
        // under.
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
        m_retryBudget.recordRequest();
    m_services.at(exchange.service->name).pool.started(slot);
    m_crashes.runStarted(exchange.fingerprint);
    exchange.stage = Stage::Running;
    exchange.slot = slot;
    exchange.attemptStartedAt = now;
    exchange.bodyBytesSent = 0;

    UpstreamRequest request;
    request.method = exchange.head.method;
    request.target = exchange.head.requestTarget();
    request.host = exchange.head.host;
    request.headers = exchange.head.forwardedHeaders;
    const auto remaining = std::chrono::duration_cast<milliseconds>(exchange.deadline - now);
    request.headers.push_back({ "basildeck-timeout-ms", std::to_string(remaining.count()) });
    if (!exchange.organisation.empty())
        request.headers.push_back({ "basildeck-organisation", exchange.organisation });
    request.contentLength = exchange.head.contentLength;
    request.limitsReceiveBuffer = responsePacer(exchange) != nullptr;
    exchange.attempt = m_upstreamClient->startAttempt(target->address, std::move(request));
    m_requestByAttempt[*exchange.attempt] = exchange.id;
}

// Ends the current attempt and frees its slot. Aborts the connection if it is still open.
void RequestPipeline::endAttempt(Exchange &exchange, RunOutcome outcome, Time now)
{
    if (!exchange.attempt)
        return;
    const UpstreamClient::AttemptId attempt = *exchange.attempt;
    exchange.attempt.reset();
    if (std::exchange(exchange.linkReadPermitted, false))
        responsePacer(exchange)->cancelRead();
    exchange.pausedForLink = false;
    exchange.bodyWaitsForLink = false;
    m_requestByAttempt.erase(attempt);
    m_upstreamClient->cancel(attempt);
    m_crashes.runFinished(exchange.fingerprint);
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
        dispatchQueued(service, now);
        return;
    }
    exchange->mayHaveRun = true;
    if (!head.selfDelimited) {
        endAttempt(*exchange, RunOutcome::Answered, now);
        refuse(*exchange, ErrorKind::AnswerInvalid,
               "the end of the upstream's answer is not marked");
        dispatchQueued(service, now);
        return;
    }
    exchange->stage = Stage::Answering;
    exchange->deadline = responseIdleDeadline(*exchange, now);
    exchange->outcome.status = head.status;
    exchange->outcome.bodyKept = true;
    for (const HttpHeader &header : head.headers) {
        if (header.name == "content-type")
            exchange->outcome.contentType = header.value;
    }
    m_server->startResponse(exchange->id, head.status, head.headers, head.contentLength);
    paceResponse(*exchange, now);
}

void RequestPipeline::onResponseData(UpstreamClient::AttemptId id, std::string_view bytes)
{
    Exchange *exchange = findByAttempt(id);
    if (exchange == nullptr)
        return;
    exchange->deadline = responseIdleDeadline(*exchange, Clock::now());
    ClaimOutcome &outcome = exchange->outcome;
    if (outcome.bodyKept && exchange->claim) {
        outcome.bodyKept = outcome.body.size() + bytes.size() <= ClaimRegistry::maxKeptBodyBytes;
        if (outcome.bodyKept)
            outcome.body.append(bytes);
        else
            outcome.body.clear();
    }
    m_server->appendResponseBody(exchange->id, bytes);
    if (LinkPacer *pacer = responsePacer(*exchange)) {
        const Time now = Clock::now();
        pacer->recordRead(bytes.size(), std::exchange(exchange->linkReadPermitted, false), now);
        paceResponse(*exchange, now);
    }
    if (m_server->bufferedResponseBytes(exchange->id) > ProxyServer::highWaterBytes) {
        exchange->pausedForCaller = true;
        m_upstreamClient->setReadPaused(id, true);
    }
}

void RequestPipeline::onResponseDrained(ProxyServer::RequestId id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr)
        return;
    exchange->deadline = responseIdleDeadline(*exchange, Clock::now());
    if (!exchange->pausedForCaller || !exchange->attempt)
        return;
    exchange->pausedForCaller = false;
    if (!exchange->pausedForLink)
        m_upstreamClient->setReadPaused(*exchange->attempt, false);
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
        m_crashes.clearSuspicion(exchange->fingerprint);
        m_claimClient.finish(*exchange, Clock::now());
        m_metrics.recordLatency(exchange->route->name, now - exchange->receivedAt);
        const ProxyServer::RequestId request = exchange->id;
        m_server->finishResponse(request);
        erase(request);
        break;
    }
    case AttemptResult::ConnectFailed:
        endAttempt(*exchange, RunOutcome::ConnectFailed, now);
        retryOrRefuse(*exchange, RetryReason::ConnectFailed, ErrorKind::ConnectFailed, now);
        break;
    case AttemptResult::InvalidResponse:
        endAttempt(*exchange, RunOutcome::Lost, now);
        retryOrRefuse(*exchange, RetryReason::LostIdempotent, ErrorKind::AnswerInvalid, now);
        break;
    case AttemptResult::ConnectionLost:
        endAttempt(*exchange, RunOutcome::Lost, now);
        reportCrash(*exchange, now);
        if (exchange->stage == Stage::Answering)
            abortResponse(*exchange);
        else
            retryOrRefuse(*exchange, RetryReason::LostIdempotent, ErrorKind::UpstreamLost, now);
        break;
    }
    dispatchQueued(service, now);
}

void RequestPipeline::reportCrash(Exchange &exchange, Time now)
{
    const auto ran = std::chrono::duration_cast<milliseconds>(now - exchange.attemptStartedAt);
    const CrashReport report{ exchange.fingerprint, exchange.slot.target,
                              static_cast<std::uint32_t>(ran.count()) };
    if (m_crashes.addReport(report, now))
        m_peer.post(OutgoingFrontPayload{ "", report });
}

bool RequestPipeline::canRetry(const Exchange &exchange, RetryReason reason, Time now) const
{
    if (exchange.attemptCount >= maxAttempts || exchange.bodyDiscarded || exchange.deadline <= now)
        return false;
    return reason != RetryReason::LostIdempotent || exchange.idempotent;
}

void RequestPipeline::retryOrRefuse(Exchange &exchange, RetryReason reason, ErrorKind refusalKind,
                                    Time now)
{
    exchange.triedTargets.insert(exchange.slot.target);
    if (!canRetry(exchange, reason, now) || !m_retryBudget.tryWithdraw()) {
        refuse(exchange, refusalKind, "target \"" + exchange.slot.target + "\" did not answer");
        return;
    }
    m_metrics.countRetry(reason, exchange.route->name, exchange.organisation);
    exchange.stage = Stage::Queue;
    exchange.bodyBytesSent = 0;
    m_services.at(exchange.service->name)
            .queue.pushFront(exchange.id, queueOrganisation(exchange), exchange.deadline);
}

// Returns when a response is aborted if no further part arrives. Its total time is unlimited,
// except that it must end before a borrowed slot expires.
Time RequestPipeline::responseIdleDeadline(const Exchange &exchange, Time now) const
{
    const Time deadline = now + responseIdleTimeout;
    if (!exchange.attempt)
        return deadline;
    const auto until = m_services.at(exchange.service->name).pool.usableUntil(exchange.slot);
    return until ? std::min(deadline, *until) : deadline;
}

// ---- Messages

void RequestPipeline::setConfig(const ActiveConfig &config, Time now)
{
    if (config.version < m_config.version)
        return;
    m_config = config;
    m_validator.setConfig(config);
    m_retryBudget.setPercent(config.config->defaults.retryPercent);
    m_limits.setConfig(*config.config, now);
    for (const Service &service : config.config->services)
        m_services.try_emplace(
                service.name,
                ServiceState{ TargetPool(m_settings.region, m_settings.zone, m_processIncarnation),
                              {} });
    updateTargets(now);

    // Refuses waiting requests whose API key was withdrawn.
    std::vector<ProxyServer::RequestId> withdrawnKeyRequests;
    for (const auto &[id, exchange] : m_exchanges) {
        const bool isWaiting = exchange->stage < Stage::Running && exchange->attemptCount == 0;
        if (isWaiting && !exchange->keyHash.empty() && !m_validator.knowsKey(exchange->keyHash))
            withdrawnKeyRequests.push_back(id);
    }
    for (const ProxyServer::RequestId id : withdrawnKeyRequests) {
        cancelCurrentStage(*find(id), now);
        refuse(*find(id), ErrorKind::KeyUnknown, "the key was withdrawn");
    }
}

void RequestPipeline::setMembers(const MemberList &members)
{
    m_claimClient.setMembers(members);
}

void RequestPipeline::setHolders(const HolderTable &table, Time now)
{
    m_limits.setTable(table, now);
    updateTargets(now);
}

void RequestPipeline::acknowledgeHolder(const HolderTableAcknowledged &acknowledged, Time now)
{
    m_limits.acknowledge(acknowledged.vm, acknowledged.version, now);
    updateTargets(now);
}

// Sets the number of slots of each target that this VM may use. While the holder table changes,
// this is the smallest of its shares under the lists that apply.
void RequestPipeline::updateTargets(Time now)
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
    std::vector<std::vector<SlotOwner>> ownerLists;
    for (const std::vector<std::string> &list : m_limits.holders().applicableLists())
        ownerLists.push_back(ownersOf(list));
    for (const Service &service : m_config.config->services) {
        std::vector<TargetSpec> specs;
        for (const Target &target : service.targets) {
            const auto owned = [&](const std::vector<SlotOwner> &owners) {
                return ownedSlots(m_settings.vmName, target.name, target.region,
                                  service.slotsPerTarget, owners);
            };
            TargetSpec spec{ target.name, target.region, target.zone, owned(ownerLists.front()),
                             false };
            for (const auto &owners : ownerLists)
                spec.slots = std::min(spec.slots, owned(owners));
            spec.closed = target.leaving || isDrained(*m_config.config, target.region);
            specs.push_back(std::move(spec));
        }
        m_services.at(service.name).pool.setTargets(specs, now);
        dispatchQueued(service.name, now);
    }
}

// Acknowledges the holder table to the other VMs as soon as this VM complies with it.
void RequestPipeline::acknowledgeHolders(Time now)
{
    const StoreVersion version = m_limits.holders().table().version;
    if (version == m_acknowledgedTableVersion)
        return;
    bool fitsLimits = m_limits.isWithinFraction(now);
    for (const auto &[name, service] : m_services)
        fitsLimits = fitsLimits && service.pool.isWithinSlots();
    if (!fitsLimits)
        return;
    m_acknowledgedTableVersion = version;
    m_limits.acknowledgeOwn(now);
    updateTargets(now);
}

void RequestPipeline::onPayload(const ReceivedFrontPayload &from, Time now)
{
    std::visit(
            Overloaded{
                    [&](const TokenLeaseRequestMessage &message) {
                        TokenBucketShare *share = m_limits.share(message.budget);
                        if (share == nullptr)
                            return;
                        m_peer.post(OutgoingFrontPayload{
                                from.vm,
                                TokenLeaseMessage{
                                        message.budget,
                                        share->grantLease(from.vm, message.request, now) } });
                    },
                    [&](const TokenLeaseMessage &message) {
                        if (TokenBucketShare *share = m_limits.share(message.budget))
                            share->acceptLease(from.vm, message.lease, now);
                    },
                    [&](const CrashReport &report) { m_crashes.addReport(report, now); },
                    [&](const SlotRequestMessage &message) {
                        const auto state = m_services.find(message.service);
                        if (state == m_services.end())
                            return;
                        m_peer.post(OutgoingFrontPayload{
                                from.vm,
                                SlotGrantMessage{ message.service,
                                                  state->second.pool.lend(
                                                          from.vm, message.request,
                                                          !state->second.queue.empty(), now) } });
                    },
                    [&](const SlotGrantMessage &message) {
                        const auto state = m_services.find(message.service);
                        if (state == m_services.end())
                            return;
                        state->second.pool.borrower().accept(from.vm, message.grant, now);
                        dispatchQueued(message.service, now);
                    },
                    [&](const SlotReturnMessage &message) {
                        const auto state = m_services.find(message.service);
                        if (state == m_services.end())
                            return;
                        state->second.pool.acceptReturn(from.vm, message.returnedSlot);
                        dispatchQueued(message.service, now);
                    },
                    [&](const ClaimDecision &decision) { onClaimDecision(from.vm, decision, now); },
            },
            from.payload);
}

void RequestPipeline::requestBudgetTokens(
        const std::map<const LinkPacer *, int> &waitingReadsByLink, Time now)
{
    for (FleetLimits::OutgoingRequest &ask : m_limits.dueRequests(waitingReadsByLink, now))
        m_peer.post(OutgoingFrontPayload{
                ask.holder, TokenLeaseRequestMessage{ ask.budget, std::move(ask.request) } });
}

// ---- Pacing of links between regions

LinkPacer *RequestPipeline::responsePacer(const Exchange &exchange)
{
    const Target *target = findTarget(*exchange.service, exchange.slot.target);
    return target == nullptr ? nullptr : m_limits.pacer(target->region, m_settings.region);
}

LinkPacer *RequestPipeline::requestBodyPacer(const Exchange &exchange)
{
    const Target *target = findTarget(*exchange.service, exchange.slot.target);
    return target == nullptr ? nullptr : m_limits.pacer(m_settings.region, target->region);
}

// Permits the next read of a response, or pauses reading until the link has tokens.
void RequestPipeline::paceResponse(Exchange &exchange, Time now)
{
    LinkPacer *pacer = responsePacer(exchange);
    if (pacer == nullptr || !exchange.attempt || exchange.linkReadPermitted)
        return;
    exchange.linkReadPermitted = pacer->reserveRead(now);
    const bool paused = !exchange.linkReadPermitted;
    if (paused == exchange.pausedForLink)
        return;
    exchange.pausedForLink = paused;
    if (!exchange.pausedForCaller)
        m_upstreamClient->setReadPaused(*exchange.attempt, paused);
}

std::map<const LinkPacer *, int> RequestPipeline::resumePacedTransfers(Time now)
{
    std::map<const LinkPacer *, int> waitingReadsByLink;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->pausedForLink)
            paceResponse(*exchange, now);
        if (exchange->bodyWaitsForLink && exchange->attempt) {
            exchange->bodyWaitsForLink = false;
            m_upstreamClient->notifyBodyAvailable(*exchange->attempt);
            ++waitingReadsByLink[requestBodyPacer(*exchange)];
        }
        if (exchange->pausedForLink)
            ++waitingReadsByLink[responsePacer(*exchange)];
    }
    return waitingReadsByLink;
}

// Returns borrowed slots that are idle, and requests loans for queued requests without a free slot.
void RequestPipeline::exchangeSlotLoans(const std::string &name, ServiceState &state, Time now)
{
    state.pool.expireLoans(now);
    SlotBorrower &borrower = state.pool.borrower();
    for (SlotBorrower::OutgoingReturn &returned : borrower.takeReturns(now))
        m_peer.post(OutgoingFrontPayload{ returned.lender,
                                          SlotReturnMessage{ name, returned.slotReturn } });
    if (state.queue.empty())
        return;
    const std::vector<std::string> lenders = m_limits.otherHolders();
    if (auto ask = borrower.dueRequest(static_cast<int>(state.queue.size()), lenders, now))
        m_peer.post(OutgoingFrontPayload{ ask->lender, SlotRequestMessage{ name, ask->request } });
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
    for (const auto &[organisation, gate] : m_limits.rateLimiters()) {
        for (const RateLimiter::Decision &decision : gate->poll(now)) {
            Exchange *exchange = find(decision.id);
            if (exchange == nullptr)
                continue;
            if (decision.verdict == RateLimiter::Verdict::Admitted)
                onAdmitted(*exchange, now);
            else
                refuse(*exchange, ErrorKind::OverRate,
                       "organisation \"" + organisation + "\" is over its rate");
        }
    }
    requestBudgetTokens(resumePacedTransfers(now), now);
    m_claimClient.tick(now);
    std::vector<ProxyServer::RequestId> expired;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->deadline <= now)
            expired.push_back(id);
        else if (exchange->stage == Stage::Claim)
            m_claimClient.resend(*exchange, now);
    }
    for (const ProxyServer::RequestId id : expired) {
        if (Exchange *exchange = find(id))
            onDeadline(*exchange, now);
    }
    for (auto &[name, service] : m_services) {
        exchangeSlotLoans(name, service, now);
        dispatchQueued(name, now);
    }
    acknowledgeHolders(now);
    if (now - m_lastReportTime >= reportInterval) {
        m_lastReportTime = now;
        m_peer.post(FrontReport{ loadPermille(), m_acknowledgedTableVersion });
    }
}

// ---- Status

bool RequestPipeline::ready(Time now) const
{
    return m_config.config && !m_validator.refusesAllRequests()
           && m_limits.holders().table().version.exists()
           && now - m_processStartTime > TokenBucketShare::startupDelay;
}

json RequestPipeline::status(Time now)
{
    json budgets = json::object();
    for (const auto &[organisation, gate] : m_limits.rateLimiters())
        budgets[organisation] = {
            { "rate", gate->share().limit().rate },   { "burst", gate->share().limit().burst },
            { "fraction", gate->share().fraction() }, { "tokens", gate->share().available(now) },
            { "lent", gate->share().lent() },         { "waiting", gate->waiting() }
        };
    json services = json::object();
    for (const auto &[name, service] : m_services) {
        json targets = json::array();
        for (const TargetPool::TargetStatus &view : service.pool.targetStatuses(now))
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
    return { { "configVersion", m_config.version.revision },
             { "configEra", m_config.version.era },
             { "ready", ready(now) },
             { "holderTable",
               { { "version", m_limits.holders().table().version.revision },
                 { "era", m_limits.holders().table().version.era },
                 { "acknowledged", m_acknowledgedTableVersion.revision },
                 { "complete", m_limits.holders().complete() },
                 { "holders", m_limits.holders().holders() } } },
             { "keysServedForMs", std::max<long>(0, serveLeft) },
             { "openRequests", m_exchanges.size() },
             { "quarantined", m_crashes.quarantinedCount() },
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
        result["refusal"] = errorResponse(authenticated.error().kind).name;
        result["detail"] = authenticated.error().detail;
        return result;
    }
    result["organisation"] = probe.organisation;
    if (RateLimiter *gate = m_limits.rateLimiter(probe.organisation))
        result["tokensHere"] = gate->share().available(now);
    const auto slot = m_services.at(route->service).pool.choose({}, now, now);
    result["nextTarget"] = slot ? json(slot->target) : json();
    return result;
}

} // namespace basildeck
