#pragma once

#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/Messages.h"
#include "core/Metrics.h"
#include "decide/CrashList.h"
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

// Takes each request of a caller through its stages: rate, body, claim, queue, run, answer. It owns
// what this VM knows of organisations, targets and budgets, and no socket.
class RequestPipeline
{
public:
    // Bodies up to this size are read whole before the request takes a slot.
    static constexpr std::size_t replayBytes = 64 * 1024;
    static constexpr int maxAttempts = 3;
    static constexpr Duration progressTimeout = seconds(30);

    RequestPipeline(const Settings &settings, Mailbox<PeerMessage> &peer, Metrics &metrics,
                    Time processStart, std::uint64_t processNumber);
    ~RequestPipeline();

    // Names the sockets' owners. Called before the first event.
    void connect(ProxyServer &callers, UpstreamClient &upstreams);

    // Events of the callers' listener.
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

    // Messages of the other tasks.
    void setConfig(const ConfigInForce &config, Time now);
    void setMembers(const MemberList &members);
    void setHolders(const HolderTable &table, Time now);
    void acknowledgeHolder(const HolderAcknowledged &acknowledged, Time now);
    void setServeUntil(Time until) { m_validator.setServeUntil(until); }
    void onPayload(const FrontPayloadFrom &from, Time now);
    void refuseNewRequests() { m_validator.refuseAllRequests(); }

    void tick(Time now);

    std::size_t openRequests() const { return m_exchanges.size(); }
    bool ready(Time now) const;
    std::uint64_t configVersion() const { return m_config.version; }
    // What this VM believes, for the status page.
    nlohmann::json status(Time now);
    // Where a request would go, for explanations.
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

    void startRate(Exchange &exchange, Time now);
    void onAdmitted(Exchange &exchange, Time now);
    void continueWithBody(Exchange &exchange, Time now);
    void startClaim(Exchange &exchange, Time now);
    void onClaimDecision(const std::string &owner, const ClaimDecision &decision, Time now);
    void replay(Exchange &exchange, const ClaimOutcome &outcome);
    void startQueue(Exchange &exchange, Time now);
    void pump(const std::string &service, Time now);
    void dispatch(Exchange &exchange, const TargetPool::Choice &slot, Time now);
    void endAttempt(Exchange &exchange, RunOutcome outcome, Time now);
    void retryOrRefuse(Exchange &exchange, RetryReason reason, ErrorKind otherwise, Time now);
    bool canSendAgain(const Exchange &exchange, RetryReason reason, Time now) const;
    Time progressDeadline(const Exchange &exchange, Time now) const;
    void noteCrash(Exchange &exchange, Time now);
    void refuse(Exchange &exchange, ErrorKind kind, const std::string &detail);
    void cut(Exchange &exchange);
    void abandon(Exchange &exchange, Time now);
    void erase(ProxyServer::RequestId id);
    void onDeadline(Exchange &exchange, Time now);

    LinkPacer *answerPacer(const Exchange &exchange);
    LinkPacer *bodyPacer(const Exchange &exchange);
    void paceAnswer(Exchange &exchange, Time now);
    // Continues what waited for tokens. Returns the reads that still wait, by link.
    std::map<const LinkPacer *, int> continuePaced(Time now);
    void applyTargets(Time now);
    void acknowledgeHolders(Time now);
    void sendAsks(const std::map<const LinkPacer *, int> &waitingReads, Time now);
    void exchangeSlots(const std::string &name, ServiceState &state, Time now);
    std::uint32_t loadPermille() const;

    Settings m_settings;
    Mailbox<PeerMessage> &m_peer;
    Metrics &m_metrics;
    ProxyServer *m_callers = nullptr;
    UpstreamClient *m_upstreams = nullptr;
    Time m_processStart;
    std::uint64_t m_processNumber;

    ConfigInForce m_config;
    RequestValidator m_validator;
    FleetLimits m_limits;
    ClaimClient m_claims;
    std::uint64_t m_acknowledgedTable = 0;
    Time m_lastReport;

    std::map<std::string, ServiceState> m_services;
    RetryBudget m_retries;
    CrashList m_crashes;
    std::unordered_map<ProxyServer::RequestId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<UpstreamClient::AttemptId, ProxyServer::RequestId> m_attempts;
};

} // namespace basildeck
