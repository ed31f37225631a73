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

constexpr const char *part = "front";
constexpr const char *lookupPath = "/basildeck/v1/entries";
constexpr microseconds tickPeriod{ 10'000 };
// Callers may act on a cached answer for a moment after its end.
constexpr Duration cacheMargin = milliseconds(500);
constexpr Duration hurryLimit = milliseconds(1000);

std::uint64_t processNumber()
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
             { "address", member.caller.toString() },
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
    ProxyServer::Events callers;
    callers.onLookup = [self](lws *connection, std::string_view path) {
        return self->onLookup(connection, path);
    };
    callers.onRequest = [self](ProxyServer::RequestId id, Result<RequestHead> head) {
        self->m_pipeline->onRequest(id, std::move(head));
    };
    callers.onRequestBody = [self](ProxyServer::RequestId id, std::string_view bytes) {
        self->m_pipeline->onRequestBody(id, bytes);
    };
    callers.onRequestBodyEnd
            = [self](ProxyServer::RequestId id) { self->m_pipeline->onRequestBodyEnd(id); };
    callers.onResponseDrained
            = [self](ProxyServer::RequestId id) { self->m_pipeline->onResponseDrained(id); };
    callers.onDisconnect
            = [self](ProxyServer::RequestId id) { self->m_pipeline->onDisconnect(id); };
    UpstreamClient::Events upstreams;
    upstreams.takeRequestBody = [self](UpstreamClient::AttemptId id, std::size_t maxBytes) {
        return self->m_pipeline->takeRequestBody(id, maxBytes);
    };
    upstreams.onResponseHead
            = [self](UpstreamClient::AttemptId id, const UpstreamResponseHead &head) {
                  self->m_pipeline->onResponseHead(id, head);
              };
    upstreams.onResponseData = [self](UpstreamClient::AttemptId id, std::string_view bytes) {
        self->m_pipeline->onResponseData(id, bytes);
    };
    upstreams.onAttemptEnd = [self](UpstreamClient::AttemptId id, AttemptResult attemptResult) {
        self->m_pipeline->onAttemptEnd(id, attemptResult);
    };
    task->m_upstreams = UpstreamClient::make(*task->m_loop, std::move(upstreams));
    task->m_callers = ProxyServer::make(*task->m_loop, settings, std::move(callers));
    if (!task->m_callers || !task->m_upstreams)
        return nullptr;
    task->m_loop->setOnWake([self] { self->onWake(); });
    task->m_loop->setOnTick([self] { self->onTick(); });
    task->m_mailbox.setWake([self] { self->m_loop->wake(); });
    return task;
}

FrontendTask::FrontendTask(const Settings &settings)
    : m_settings(settings)
    , m_lookupResponses(settings.region)
    , m_started(Clock::now())
{}

FrontendTask::~FrontendTask()
{
    // Connections report their end to the pipeline while the loop is destroyed.
    m_loop.reset();
}

void FrontendTask::connect(Mailbox<PeerMessage> &peer, Mailbox<AdminMessage> &admin)
{
    m_peer = &peer;
    m_admin = &admin;
    m_pipeline = std::make_unique<RequestPipeline>(m_settings, peer, m_metrics, m_started,
                                                   processNumber());
    m_pipeline->connect(*m_callers, *m_upstreams);
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
    m_upstreams->reportFailedAttempts();
    m_callers->closeDisconnected(now);
    m_pipeline->tick(now);
    continueLeaving(now);
}

void FrontendTask::handle(FrontMessage message, Time now)
{
    std::visit(Overloaded{
                       [&](ConfigInForce &config) {
                           m_answerMaxAgeSeconds = config.config->defaults.answerMaxAgeSeconds;
                           m_lookupResponses.setConfig(config.version, *config.config);
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
                       [&](HolderAcknowledged &acknowledged) {
                           m_pipeline->acknowledgeHolder(acknowledged, now);
                       },
                       [&](ServeUntil &serve) { m_pipeline->setServeUntil(serve.until); },
                       [&](FrontPayloadFrom &from) { m_pipeline->onPayload(from, now); },
                       [&](StatusRequest &request) { answerStatus(request, now); },
                       [&](LeaveRequested &leave) {
                           const Duration grace = std::max<Duration>(m_settings.leaveGrace,
                                                                     seconds(m_answerMaxAgeSeconds)
                                                                             + cacheMargin);
                           m_hurry = m_hurry || leave.hurry;
                           if (!m_leaveAt)
                               m_leaveAt = now + grace;
                           if (m_hurry)
                               m_leaveAt = std::min(*m_leaveAt, now);
                           BASILDECK_INFO(part) << "leaving";
                       },
               },
               message);
}

// Look-ups stop naming this VM at once. It serves until callers' cached answers have ended and
// every request is answered.
void FrontendTask::continueLeaving(Time now)
{
    if (!m_leaveAt || now < *m_leaveAt)
        return;
    m_callers->closeConnectionsAfterResponse();
    m_pipeline->refuseNewRequests();
    const bool idle = m_pipeline->openRequests() == 0 && m_callers->openRequests() == 0;
    const bool outOfTime = m_hurry && now > *m_leaveAt + hurryLimit;
    if (!idle && !outOfTime)
        return;
    BASILDECK_INFO(part) << "left with " << m_pipeline->openRequests() << " open requests";
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

void FrontendTask::answerStatus(const StatusRequest &request, Time now)
{
    StatusAnswer answer;
    answer.id = request.id;
    answer.ready = !m_leaveAt && m_pipeline->ready(now);
    if (request.wants == StatusWanted::Metrics)
        answer.text = m_metrics.prometheusText();
    if (request.wants == StatusWanted::Status) {
        json status = m_pipeline->status(now);
        status["vm"] = m_settings.vmName;
        status["leaving"] = m_leaveAt.has_value();
        status["lookups"] = m_metrics.lookups();
        status["connections"] = m_callers->connections();
        status["members"] = json::array();
        for (const Member &member : m_members)
            status["members"].push_back(memberJson(member));
        answer.text = status.dump();
    }
    if (request.wants == StatusWanted::Explanation) {
        json explanation
                = m_pipeline->explain(request.method, request.host, request.path, request.key);
        const std::string &region = m_lookupResponses.regionForAddress(request.callerIp);
        explanation["callerRegion"] = region;
        explanation["entries"] = json::array();
        for (const Member &member : m_lookupResponses.entriesForRegion(region))
            explanation["entries"].push_back(member.vm);
        answer.text = explanation.dump();
    }
    m_admin->post(std::move(answer));
}

} // namespace basildeck
