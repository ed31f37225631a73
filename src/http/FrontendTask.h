#pragma once

#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/Messages.h"
#include "core/Metrics.h"
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

// The task that serves callers: it owns their connections, the connections to upstreams and the
// state of every request.
class FrontendTask
{
public:
    // Returns null if the caller address is taken or the certificate cannot be used.
    static std::unique_ptr<FrontendTask> make(const Settings &settings);
    ~FrontendTask();

    // Names the mailboxes that the task posts to. Called before run().
    void connect(Mailbox<PeerMessage> &peer, Mailbox<AdminMessage> &admin);
    Mailbox<FrontMessage> &mailbox() { return m_mailbox; }
    // Serves until the task has left.
    void run();

private:
    explicit FrontendTask(const Settings &settings);
    void onWake();
    void onTick();
    void handle(FrontMessage message, Time now);
    void continueLeaving(Time now);
    bool onLookup(lws *connection, std::string_view path);
    void answerStatus(const StatusRequest &request, Time now);

    Settings m_settings;
    Mailbox<FrontMessage> m_mailbox;
    Mailbox<PeerMessage> *m_peer = nullptr;
    Mailbox<AdminMessage> *m_admin = nullptr;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<ProxyServer> m_callers;
    std::unique_ptr<UpstreamClient> m_upstreams;
    std::unique_ptr<RequestPipeline> m_pipeline;
    Metrics m_metrics;
    LookupResponseCache m_lookupResponses;
    MemberList m_members;
    int m_answerMaxAgeSeconds = 0;
    Time m_started;
    std::optional<Time> m_leaveAt; // from then on no new request is served
    bool m_hurry = false;
};

} // namespace basildeck
