#pragma once

#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/Metrics.h"
#include "core/TaskMessages.h"
#include "decide/CrashQuarantine.h"
#include "decide/FairQueue.h"
#include "decide/FleetLimits.h"
#include "decide/RetryBudget.h"
#include "decide/TargetPool.h"
#include "http/ClaimClient.h"
#include "http/Exchange.h"
#include "http/RequestValidator.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace basildeck {

// Processes each request of a caller through its stages: rate, body, claim, queue, running and
// answering. Owns this VM's state of organisations, targets and budgets, but no sockets.
class RequestPipeline
{
public:
    // Bodies up to this size are received completely before the request occupies a slot, and are
    // kept for retries.
    static constexpr std::size_t maxReplayBytes = 64 * 1024;
    static constexpr int maxAttempts = 3;
    static constexpr Duration responseIdleTimeout = seconds(30);

    RequestPipeline(const Settings &settings, Mailbox<PeerMessage> &peer, Metrics &metrics,
                    Time processStartTime, std::uint64_t processIncarnation);
    ~RequestPipeline();

    // Sets the owners of the sockets. Must be called before the first event.
    void connect(ProxyServer &server, UpstreamClient &upstreamClient);

    // Events of the proxy server.
    void onRequest(ProxyServer::RequestId id, Result<RequestHead> head);
    void onRequestBody(ProxyServer::RequestId id, std::string_view bytes);
    void onRequestBodyEnd(ProxyServer::RequestId id);
    void onResponseDrained(ProxyServer::RequestId id);
    void onDisconnect(ProxyServer::RequestId id);

    // Events of the upstream client.
    UpstreamClient::BodyPart takeRequestBody(UpstreamClient::AttemptId id, std::size_t maxBytes);
    void onResponseHead(UpstreamClient::AttemptId id, const UpstreamResponseHead &head);
    void onResponseData(UpstreamClient::AttemptId id, std::string_view bytes);
    void onAttemptEnd(UpstreamClient::AttemptId id, AttemptResult attemptResult);

    // Messages from other tasks.
    void setConfig(const ActiveConfig &config, Time now);
    void setMembers(const MemberList &members);
    void setHolders(const HolderTable &table, Time now);
    void acknowledgeHolder(const HolderTableAcknowledged &acknowledged, Time now);
    void setServeUntil(Time until) { m_validator.setServeUntil(until); }
    void onPayload(const ReceivedFrontPayload &from, Time now);
    void refuseNewRequests() { m_validator.refuseAllRequests(); }

    void tick(Time now);

    std::size_t openRequests() const { return m_exchanges.size(); }
    bool ready(Time now) const;
    const StoreVersion &configVersion() const { return m_config.version; }
    // Returns the state of this VM for the status page.
    nlohmann::json status(Time now);
    // Returns how a request would be routed, for the explain request.
    nlohmann::json explain(const std::string &method, const std::string &host,
                           const std::string &path, const std::string &key);

private:
    struct ServiceState
    {
        TargetPool pool;
        FairQueue queue;
    };

    Exchange *find(ProxyServer::RequestId id);
    Exchange *findByAttempt(UpstreamClient::AttemptId id);

    void applyRateLimit(Exchange &exchange, Time now);
    void onAdmitted(Exchange &exchange, Time now);
    void continueAfterBody(Exchange &exchange, Time now);
    void requestClaim(Exchange &exchange, Time now);
    void onClaimDecision(const std::string &owner, const ClaimDecision &decision, Time now);
    void replayResponse(Exchange &exchange, const ClaimOutcome &outcome);
    void enqueue(Exchange &exchange, Time now);
    void dispatchQueued(const std::string &service, Time now);
    void sendToTarget(Exchange &exchange, const TargetPool::Choice &slot, Time now);
    void endAttempt(Exchange &exchange, RunOutcome outcome, Time now);
    void retryOrRefuse(Exchange &exchange, RetryReason reason, ErrorKind refusalKind, Time now);
    bool canRetry(const Exchange &exchange, RetryReason reason, Time now) const;
    Time responseIdleDeadline(const Exchange &exchange, Time now) const;
    void reportCrash(Exchange &exchange, Time now);
    void refuse(Exchange &exchange, ErrorKind kind, const std::string &detail);
    void abortResponse(Exchange &exchange);
    void cancelCurrentStage(Exchange &exchange, Time now);
    void erase(ProxyServer::RequestId id);
    void onDeadline(Exchange &exchange, Time now);

    LinkPacer *responsePacer(const Exchange &exchange);
    LinkPacer *requestBodyPacer(const Exchange &exchange);
    void paceResponse(Exchange &exchange, Time now);
    // Resumes the transfers that waited for link tokens. Returns the number of reads that still
    // wait, by link.
    std::map<const LinkPacer *, int> resumePacedTransfers(Time now);
    void updateTargets(Time now);
    void acknowledgeHolders(Time now);
    void requestBudgetTokens(const std::map<const LinkPacer *, int> &waitingReadsByLink, Time now);
    void exchangeSlotLoans(const std::string &name, ServiceState &state, Time now);
    std::uint32_t loadPermille() const;

    Settings m_settings;
    Mailbox<PeerMessage> &m_peer;
    Metrics &m_metrics;
    ProxyServer *m_server = nullptr;
    UpstreamClient *m_upstreamClient = nullptr;
    Time m_processStartTime;
    std::uint64_t m_processIncarnation;

    ActiveConfig m_config;
    RequestValidator m_validator;
    FleetLimits m_limits;
    ClaimClient m_claimClient;
    StoreVersion m_acknowledgedTableVersion;
    Time m_lastReportTime;

    std::map<std::string, ServiceState> m_services;
    RetryBudget m_retryBudget;
    CrashQuarantine m_crashes;
    std::unordered_map<ProxyServer::RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<UpstreamClient::AttemptId, ProxyServer::RequestId> m_requestByAttempt;
};

} // namespace basildeck
