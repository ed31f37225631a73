#pragma once

#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/Metrics.h"
#include "core/TaskMessages.h"
#include "http/LookupResponseCache.h"

#include <memory>
#include <optional>
#include <string_view>

struct lws;

namespace basildeck {

class ProxyServer;
class LwsLoop;
class RequestPipeline;
class UpstreamClient;

// The task that proxies requests of callers to upstreams. Owns the connections on both sides and
// the state of every request.
class FrontendTask
{
public:
    // Returns null if the caller address is in use or the certificate cannot be loaded.
    static std::unique_ptr<FrontendTask> make(const Settings &settings);
    ~FrontendTask();

    // Sets the mailboxes that the task posts to. Must be called before run().
    void connect(Mailbox<PeerMessage> &peer, Mailbox<AdminMessage> &admin);
    Mailbox<FrontMessage> &mailbox() { return m_mailbox; }
    // Runs the task until it has left the fleet.
    void run();

private:
    explicit FrontendTask(const Settings &settings);
    void onWake();
    void onTick();
    void handle(FrontMessage message, Time now);
    void continueLeaving(Time now);
    bool onLookup(lws *connection, std::string_view path);
    void respondToStatusRequest(const StatusRequest &request, Time now);

    Settings m_settings;
    Mailbox<FrontMessage> m_mailbox;
    Mailbox<PeerMessage> *m_peer = nullptr;
    Mailbox<AdminMessage> *m_admin = nullptr;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<ProxyServer> m_server;
    std::unique_ptr<UpstreamClient> m_upstreamClient;
    std::unique_ptr<RequestPipeline> m_pipeline;
    Metrics m_metrics;
    LookupResponseCache m_lookupResponses;
    MemberList m_members;
    int m_lookupMaxAgeSeconds = 0;
    Time m_startTime;
    std::optional<Time> m_refuseRequestsAfter; // set while leaving
    bool m_forcedLeave = false;
};

} // namespace basildeck
