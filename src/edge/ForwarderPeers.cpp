// The part of Forwarder that forwards requests through peers while this VM is partitioned from the
// targets.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
constexpr Duration noPeerRetryAfter = milliseconds(300);

// Whether another peer may run a request that a peer took and then refused: the reason was that
// peer's own.
bool isReasonOfPeer(const ForwardingOutcome &outcome)
{
    return outcome.attempts == 0
           && (outcome.refusal == ErrorKind::NoTarget || outcome.refusal == ErrorKind::Leaving
               || outcome.refusal == ErrorKind::NoConfiguration);
}

} // namespace

void Forwarder::setPartitionedFromTargets(bool isPartitioned)
{
    if (m_peerForwarding.setPartitioned(isPartitioned) && isPartitioned)
        moveToPeers();
}

void Forwarder::setForwardingPeers(std::vector<ForwardingPeer> peers)
{
    m_peerForwarding.tick();
    if (m_peerForwarding.setPeers(std::move(peers)) && m_peerForwarding.isPartitioned())
        moveToPeers();
}

bool Forwarder::isForwardable(const Request &request) const
{
    return request.takenFor.empty() && !request.isSecondAttempt() && m_peerForwarding.isActive()
           && m_peerForwarding.choose(request) != nullptr;
}

bool Forwarder::dispatchToPeer(Request &request)
{
    if (!request.takenFor.empty() && m_peerForwarding.isPartitioned()) {
        // The VM that forwarded the request chooses another peer.
        refuse(request, ErrorKind::NoTarget, noPeerRetryAfter);
        return true;
    }
    if (!request.takenFor.empty() || !m_peerForwarding.isActive())
        return false;
    if (!request.staysWithPeers && m_peerForwarding.takeDirect())
        return false;
    if (const ForwardingPeer *peer = m_peerForwarding.choose(request)) {
        sendToPeer(request, *peer);
        return true;
    }
    if (!m_peerForwarding.isPartitioned())
        return false;
    refuse(request, ErrorKind::NoTarget, noPeerRetryAfter,
           "peers_tried=" + std::to_string(request.triedPeers.size()));
    return true;
}

void Forwarder::sendToPeer(Request &request, const ForwardingPeer &peer)
{
    const Time now = m_loop.now();
    request.peer = peer.vm;
    request.triedPeers.push_back(peer.vm);
    request.staysWithPeers = true;
    request.targetId.clear();
    request.isInFlight = true;
    request.sentAt = now;
    request.response = {};
    // If the peer is lost, it may have used all attempts that it was given. One is held back, so
    // that a request that may be repeated can be sent to another peer then.
    const int left = std::max(1, request.maxAttempts - request.attemptCount);
    request.peerAttempts = request.isIdempotent() ? std::max(1, left - 1) : left;
    request.attemptCount += request.peerAttempts;
    ForwardingTerms terms;
    terms.vm = m_settings.vmName;
    terms.route = request.route->name;
    terms.organisation = organisationName(request);
    terms.service = request.service;
    terms.untilObjective = endOfService(request.softDeadline) - now;
    terms.untilDeadline = endOfService(request.deadline) - now;
    terms.attempts = request.peerAttempts;
    terms.priority = request.priority;
    terms.placementHash = request.placementHash;
    terms.triedTargets = request.triedTargets;
    BASILDECK_INFO(logComponent)
            << "forwarded request=" << request.callerRequestId << " to=" << peer.vm
            << " region=" << peer.region << " route=" << request.route->name << " waited_ms="
            << std::chrono::duration_cast<milliseconds>(now - request.incoming.receivedAt).count();
    beginExchange(request, m_peerForwarding.start(peer),
                  serializePeerHead(request, m_names, terms));
}

void Forwarder::moveToPeers()
{
    // Requests may end meanwhile.
    for (const RequestId id : openRequestIds(false)) {
        const auto found = m_requests.find(id);
        if (found != m_requests.end())
            moveToPeer(*found->second);
    }
}

void Forwarder::moveToPeer(Request &request)
{
    if (request.takenFor.empty() && !isForwardable(request))
        return;
    TargetState *target = m_targets.find(request.targetId);
    if (request.isQueued || request.isWaitingForPermit) {
        if (request.isQueued && target != nullptr)
            target->concurrencyLimiter.cancel(request.id);
        request.isQueued = false;
        releasePermit(request);
        dispatch(request);
        return;
    }
    if (!request.isInFlight || !request.peer.empty())
        return;
    const bool wasSent = request.connection && request.connection->isConnected();
    // Kept connections may work although new ones are refused.
    const bool isLost = m_targets.partitionDetector().sign() != PartitionSign::ConnectsRefused;
    const bool isRepeatable = request.isIdempotent() && request.takenFor.empty() && isLost;
    if (wasSent && (!isRepeatable || !acquireRetry(request, RetryReason::LostIdempotent)))
        return;
    cancelHedge(request, HedgeEnd::Partitioned);
    endAttempt(request, true);
    if (target != nullptr && !request.response.isRunRecorded)
        target->concurrencyLimiter.ended();
    request.mayHaveRun = request.mayHaveRun || wasSent;
    request.staysWithPeers = true;
    if (!wasSent)
        --request.attemptCount;
    // The target is not at fault, and may be the best one for the peer as well.
    request.triedTargets.pop_back();
    dispatch(request);
}

bool Forwarder::handlePeerOutcome(Request &request)
{
    if (!request.response.outcome) {
        handlePeerFailure(request, ExchangeFailure::Malformed);
        return false;
    }
    const ForwardingOutcome outcome = *request.response.outcome;
    request.attemptCount += outcome.attempts - std::exchange(request.peerAttempts, 0);
    if (outcome.attempts > 0)
        request.triedTargets = outcome.triedTargets;
    if (outcome.isTargetResponse())
        return true;
    endAttempt(request, false);
    handlePeerRefusal(request, outcome);
    return false;
}

void Forwarder::handlePeerRefusal(Request &request, const ForwardingOutcome &outcome)
{
    if (outcome.decline) {
        BASILDECK_INFO(logComponent)
                << "peer declined request=" << request.callerRequestId << " peer=" << request.peer
                << " reason=" << forwardingDeclineName(*outcome.decline);
        m_peerForwarding.recordDecline(request.peer, *outcome.decline);
        dispatch(request);
        return;
    }
    const ErrorKind kind = outcome.refusal.value_or(ErrorKind::UpstreamLost);
    const bool hasNotRun = errorResponse(kind).run == RunState::NotRun;
    request.mayHaveRun = request.mayHaveRun || !hasNotRun;
    if (isReasonOfPeer(outcome)) {
        dispatch(request);
        return;
    }
    const bool isRepeatable
            = kind == ErrorKind::TargetsShed || kind == ErrorKind::ConnectFailed
              || (request.isIdempotent()
                  && (kind == ErrorKind::UpstreamLost || kind == ErrorKind::AnswerInvalid));
    const RetryReason reason = kind == ErrorKind::TargetsShed     ? RetryReason::Shed
                               : kind == ErrorKind::ConnectFailed ? RetryReason::ConnectFailed
                                                                  : RetryReason::LostIdempotent;
    if (isRepeatable && acquireRetry(request, reason)) {
        // The same peer may choose another target.
        std::erase(request.triedPeers, request.peer);
        dispatch(request);
        return;
    }
    refuse(request, kind, request.mayHaveRun ? Duration::zero() : outcome.retryAfter);
}

void Forwarder::handlePeerFailure(Request &request, ExchangeFailure failure)
{
    BASILDECK_INFO(logComponent) << "peer failed request=" << request.callerRequestId
                                 << " peer=" << request.peer
                                 << " how=" << exchangeFailureName(failure)
                                 << " streaming=" << request.response.isStreaming;
    endAttempt(request, true);
    if (failure == ExchangeFailure::NotConnected) {
        request.attemptCount -= std::exchange(request.peerAttempts, 0);
        m_peerForwarding.recordUnreachable(request.peer);
        dispatch(request);
        return;
    }
    request.mayHaveRun = true;
    m_peerForwarding.recordLost(request.peer);
    if (request.response.isStreaming)
        truncateResponse(request);
    else if (request.isIdempotent() && acquireRetry(request, RetryReason::LostIdempotent))
        dispatch(request);
    else
        refuse(request,
               isInvalidResponse(failure) ? ErrorKind::AnswerInvalid : ErrorKind::UpstreamLost);
}

} // namespace basildeck
