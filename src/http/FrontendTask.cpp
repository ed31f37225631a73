#include "http/FrontendTask.h"

#include "core/Log.h"
#include "http/LwsLoop.h"
#include "http/LwsUtil.h"
#include "http/ProxyServer.h"
#include "http/RequestPipeline.h"
#include "http/UpstreamClient.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr const char *logComponent = "front";
constexpr const char *lookupPath = "/basildeck/v1/entries";
constexpr microseconds tickPeriod{ 10'000 };
// Callers may still use a cached lookup response shortly after its max-age.
constexpr Duration cacheExpiryMargin = milliseconds(500);
constexpr Duration forcedLeaveTimeout = milliseconds(1000);

std::uint64_t newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<microseconds>(now).count());
}

json memberJson(const Member &member)
{
    return { { "vm", member.vm },
             { "state", memberStateName(member.state) },
             { "incarnation", member.incarnation },
             { "region", member.region },
             { "zone", member.zone },
             { "address", member.callerAddress.toString() },
             { "loadPermille", member.loadPermille } };
}

} // namespace

std::unique_ptr<FrontendTask> FrontendTask::make(const Settings &settings)
{
    std::unique_ptr<FrontendTask> task(new FrontendTask(settings));
    LwsLoop::Options options;
    options.maxHeaderBytes = settings.maxHeaderBytes;
    options.maxHeaderPool = settings.maxConnections;
    options.tick = tickPeriod;
    options.timeout = settings.headTimeout;
    task->m_loop = LwsLoop::make(options);
    if (!task->m_loop)
        return nullptr;
    FrontendTask *self = task.get();
    ProxyServer::Events serverEvents;
    serverEvents.onLookup = [self](lws *connection, std::string_view path) {
        return self->onLookup(connection, path);
    };
    serverEvents.onRequest = [self](ProxyServer::RequestId id, Result<RequestHead> head) {
        self->m_pipeline->onRequest(id, std::move(head));
    };
    serverEvents.onRequestBody = [self](ProxyServer::RequestId id, std::string_view bytes) {
        self->m_pipeline->onRequestBody(id, bytes);
    };
    serverEvents.onRequestBodyEnd
            = [self](ProxyServer::RequestId id) { self->m_pipeline->onRequestBodyEnd(id); };
    serverEvents.onResponseDrained
            = [self](ProxyServer::RequestId id) { self->m_pipeline->onResponseDrained(id); };
    serverEvents.onDisconnect
            = [self](ProxyServer::RequestId id) { self->m_pipeline->onDisconnect(id); };
    UpstreamClient::Events upstreamEvents;
    upstreamEvents.takeRequestBody = [self](UpstreamClient::AttemptId id, std::size_t maxBytes) {
        return self->m_pipeline->takeRequestBody(id, maxBytes);
    };
    upstreamEvents.onResponseHead
            = [self](UpstreamClient::AttemptId id, const UpstreamResponseHead &head) {
                  self->m_pipeline->onResponseHead(id, head);
              };
    upstreamEvents.onResponseData = [self](UpstreamClient::AttemptId id, std::string_view bytes) {
        self->m_pipeline->onResponseData(id, bytes);
    };
    upstreamEvents.onAttemptEnd
            = [self](UpstreamClient::AttemptId id, AttemptResult attemptResult) {
                  self->m_pipeline->onAttemptEnd(id, attemptResult);
              };
    task->m_upstreamClient = UpstreamClient::make(*task->m_loop, std::move(upstreamEvents));
    task->m_server = ProxyServer::make(*task->m_loop, settings, std::move(serverEvents));
    if (!task->m_server || !task->m_upstreamClient)
        return nullptr;
    task->m_loop->setOnWake([self] { self->onWake(); });
    task->m_loop->setOnTick([self] { self->onTick(); });
    task->m_mailbox.setWake([self] { self->m_loop->wake(); });
    return task;
}

FrontendTask::FrontendTask(const Settings &settings)
    : m_settings(settings)
    , m_lookupResponses(settings.region)
    , m_startTime(Clock::now())
{}

FrontendTask::~FrontendTask()
{
    // Destroying the loop closes the connections, whose events still use the pipeline.
    m_loop.reset();
}

void FrontendTask::connect(Mailbox<PeerMessage> &peer, Mailbox<AdminMessage> &admin)
{
    m_peer = &peer;
    m_admin = &admin;
    m_pipeline = std::make_unique<RequestPipeline>(m_settings, peer, m_metrics, m_startTime,
                                                   newIncarnation());
    m_pipeline->connect(*m_server, *m_upstreamClient);
}

void FrontendTask::run()
{
    m_loop->run();
}

void FrontendTask::onWake()
{
    const Time now = Clock::now();
    for (FrontMessage &message : m_mailbox.takeAll())
        handle(std::move(message), now);
}

void FrontendTask::onTick()
{
    const Time now = Clock::now();
    m_upstreamClient->reportFailedAttempts();
    m_server->closeDisconnected(now);
    m_pipeline->tick(now);
    continueLeaving(now);
}

void FrontendTask::handle(FrontMessage message, Time now)
{
    std::visit(Overloaded{
                       [&](ActiveConfig &config) {
                           m_lookupMaxAgeSeconds = config.config->defaults.answerMaxAgeSeconds;
                           m_lookupResponses.setConfig(config.version.revision, *config.config);
                           m_pipeline->setConfig(config, now);
                       },
                       [&](MembersChanged &changed) {
                           m_members = std::move(changed.members);
                           m_lookupResponses.setMembers(m_members);
                           m_pipeline->setMembers(m_members);
                       },
                       [&](HolderTableChanged &changed) {
                           m_pipeline->setHolders(changed.table, now);
                       },
                       [&](HolderTableAcknowledged &acknowledged) {
                           m_pipeline->acknowledgeHolder(acknowledged, now);
                       },
                       [&](KeyAcceptanceDeadline &acceptance) {
                           m_pipeline->setServeUntil(acceptance.deadline);
                       },
                       [&](ReceivedFrontPayload &from) { m_pipeline->onPayload(from, now); },
                       [&](StatusRequest &request) { respondToStatusRequest(request, now); },
                       [&](LeaveRequested &leave) {
                           const Duration grace = std::max<Duration>(m_settings.leaveGrace,
                                                                     seconds(m_lookupMaxAgeSeconds)
                                                                             + cacheExpiryMargin);
                           m_forcedLeave = m_forcedLeave || leave.immediate;
                           if (!m_refuseRequestsAfter)
                               m_refuseRequestsAfter = now + grace;
                           if (m_forcedLeave)
                               m_refuseRequestsAfter = std::min(*m_refuseRequestsAfter, now);
                           BASILDECK_INFO(logComponent) << "leaving the fleet";
                       },
               },
               message);
}

// Lookup responses omit this VM as soon as it is leaving. The task keeps serving until the
// responses cached by callers have expired and no request is open.
void FrontendTask::continueLeaving(Time now)
{
    if (!m_refuseRequestsAfter || now < *m_refuseRequestsAfter)
        return;
    m_server->closeConnectionsAfterResponse();
    m_pipeline->refuseNewRequests();
    const bool idle = m_pipeline->openRequests() == 0 && m_server->openRequests() == 0;
    const bool timedOut = m_forcedLeave && now > *m_refuseRequestsAfter + forcedLeaveTimeout;
    if (!idle && !timedOut)
        return;
    BASILDECK_INFO(logComponent) << "left the fleet with " << m_pipeline->openRequests()
                                 << " open requests";
    m_peer->post(FrontDrained{});
    m_loop->stop();
}

bool FrontendTask::onLookup(lws *connection, std::string_view path)
{
    if (path != lookupPath)
        return false;
    m_metrics.countLookup();
    return lws_util::writeResponse(
            connection, m_lookupResponses.responseFor(lws_util::clientIp(connection)), false);
}

void FrontendTask::respondToStatusRequest(const StatusRequest &request, Time now)
{
    StatusResponse response;
    response.id = request.id;
    response.ready = !m_refuseRequestsAfter && m_pipeline->ready(now);
    if (request.kind == StatusKind::Metrics)
        response.text = m_metrics.prometheusText();
    if (request.kind == StatusKind::Status) {
        json status = m_pipeline->status(now);
        status["vm"] = m_settings.vmName;
        status["leaving"] = m_refuseRequestsAfter.has_value();
        status["lookups"] = m_metrics.lookups();
        status["connections"] = m_server->connections();
        status["members"] = json::array();
        for (const Member &member : m_members)
            status["members"].push_back(memberJson(member));
        response.text = status.dump();
    }
    if (request.kind == StatusKind::Explanation) {
        json explanation
                = m_pipeline->explain(request.method, request.host, request.path, request.key);
        const std::string &region = m_lookupResponses.regionForAddress(request.callerIp);
        explanation["callerRegion"] = region;
        explanation["entries"] = json::array();
        for (const Member &member : m_lookupResponses.entriesForRegion(region))
            explanation["entries"].push_back(member.vm);
        response.text = explanation.dump();
    }
    m_admin->post(std::move(response));
}

} // namespace basildeck
