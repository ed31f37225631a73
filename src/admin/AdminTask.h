#pragma once

#include "admin/EditRunner.h"
#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/TaskMessages.h"
#include "http/HttpServer.h"
#include "peer/PeerTask.h"
#include "store/StoreTask.h"

#include <map>
#include <memory>

namespace basildeck {

class LwsLoop;
class StoreClient;

// The task that serves health checks, metrics, status and the administration API to operators.
class AdminTask
{
public:
    // Returns null if the operator address is already in use.
    static std::unique_ptr<AdminTask> make(const Settings &settings);
    ~AdminTask();

    // Sets the mailboxes for status requests and for stored edits, and the statistics that /metrics
    // reports. Must be called before run().
    void connect(Mailbox<FrontMessage> &front, Mailbox<PeerMessage> &peer,
                 const PeerTask::Statistics &peerStatistics,
                 const StoreTask::Statistics &storeStatistics);
    Mailbox<AdminMessage> &mailbox() { return m_mailbox; }
    void run();
    void stop();

private:
    explicit AdminTask(const Settings &settings);
    void handle(HttpServer::RequestId id, const HttpRequest &request);
    void handleAdmin(HttpServer::RequestId id, const HttpRequest &request);
    void handleExplain(HttpServer::RequestId id, const HttpRequest &request);
    void runEdit(HttpServer::RequestId id, ConfigEdit edit);
    void requestStatus(HttpServer::RequestId id, StatusRequest request);
    void onStatusResponse(const StatusResponse &response);
    void refuse(HttpServer::RequestId id, ErrorKind kind, const std::string &detail);
    bool hasValidToken(const HttpRequest &request) const;
    std::string metricsText() const;

    Settings m_settings;
    Mailbox<AdminMessage> m_mailbox;
    Mailbox<FrontMessage> *m_front = nullptr;
    Mailbox<PeerMessage> *m_peer = nullptr;
    const PeerTask::Statistics *m_peerStatistics = nullptr;
    const StoreTask::Statistics *m_storeStatistics = nullptr;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<EditRunner> m_edits;
    std::map<HttpServer::RequestId, StatusKind> m_pendingStatusRequests;
};

} // namespace basildeck
