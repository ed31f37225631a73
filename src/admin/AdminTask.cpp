#include "admin/AdminTask.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "http/LwsLoop.h"
#include "store/StoreClient.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr const char *component = "admin";
constexpr microseconds tickInterval{ 100'000 };
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::string_view adminPathPrefix = "/admin/v1/";

HttpResponse jsonResponse(int status, const json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.contentType = "text/plain; version=0.0.4";
    response.body = std::move(body);
    return response;
}

} // namespace

std::unique_ptr<AdminTask> AdminTask::make(const Settings &settings)
{
    std::unique_ptr<AdminTask> task(new AdminTask(settings));
    AdminTask *self = task.get();
    task->m_loop = LwsLoop::make({ .tick = tickInterval });
    if (!task->m_loop)
        return nullptr;
    task->m_server = HttpServer::make(*task->m_loop, settings.operatorAddress,
                                      [self](HttpServer::RequestId id, const HttpRequest &request) {
                                          self->handle(id, request);
                                      });
    task->m_store = StoreClient::make(*task->m_loop, settings.storeAddresses);
    if (!task->m_server || !task->m_store)
        return nullptr;
    task->m_edits = std::make_unique<EditRunner>(*task->m_store);
    task->m_loop->setOnTick([self] {
        self->m_store->expire(Clock::now());
        self->m_edits->tick(Clock::now());
    });
    task->m_loop->setOnWake([self] {
        for (AdminMessage &message : self->m_mailbox.takeAll()) {
            if (const auto *response = std::get_if<StatusResponse>(&message))
                self->onStatusResponse(*response);
            else if (const auto *document = std::get_if<ConfigDocument>(&message))
                self->m_edits->setActiveVersion(document->version);
        }
    });
    task->m_mailbox.setWake([self] { self->m_loop->wake(); });
    return task;
}

AdminTask::AdminTask(const Settings &settings)
    : m_settings(settings)
{}

AdminTask::~AdminTask()
{
    // The loop closes its connections when it is destroyed, and they notify the server and the
    // store client, so it must be destroyed first.
    m_loop.reset();
}

void AdminTask::connect(Mailbox<FrontMessage> &front, Mailbox<PeerMessage> &peer,
                        const PeerTask::Statistics &peerStatistics,
                        const StoreTask::Statistics &storeStatistics)
{
    m_front = &front;
    m_peer = &peer;
    m_peerStatistics = &peerStatistics;
    m_storeStatistics = &storeStatistics;
}

void AdminTask::run()
{
    m_loop->run();
}

void AdminTask::stop()
{
    m_loop->stop();
}

bool AdminTask::hasValidToken(const HttpRequest &request) const
{
    const std::string_view value = request.header("authorization");
    return value.starts_with(bearerPrefix)
           && constantTimeEquals(value.substr(bearerPrefix.size()), m_settings.operatorToken);
}

void AdminTask::refuse(HttpServer::RequestId id, ErrorKind kind, const std::string &detail)
{
    const ErrorResponse &refusal = errorResponse(kind);
    m_server->respond(id, jsonResponse(refusal.status,
                                       { { "refusal", refusal.name }, { "detail", detail } }));
}

void AdminTask::handle(HttpServer::RequestId id, const HttpRequest &request)
{
    if (request.path.starts_with(adminPathPrefix)) {
        handleAdmin(id, request);
        return;
    }
    if (request.path == "/healthz")
        m_server->respond(id, textResponse(200, "ok\n"));
    else if (request.path == "/readyz")
        requestStatus(id, { .kind = StatusKind::Readiness });
    else if (request.path == "/metrics")
        requestStatus(id, { .kind = StatusKind::Metrics });
    else if (request.path == "/status")
        requestStatus(id, { .kind = StatusKind::Status });
    else
        refuse(id, ErrorKind::NotFound, "path \"" + request.path + "\" does not exist");
}

void AdminTask::requestStatus(HttpServer::RequestId id, StatusRequest request)
{
    request.id = id;
    m_pendingStatusRequests[id] = request.kind;
    m_front->post(std::move(request));
}

void AdminTask::onStatusResponse(const StatusResponse &response)
{
    const auto pending = m_pendingStatusRequests.find(response.id);
    if (pending == m_pendingStatusRequests.end())
        return;
    const StatusKind kind = pending->second;
    m_pendingStatusRequests.erase(pending);
    switch (kind) {
    case StatusKind::Readiness:
        m_server->respond(response.id, response.ready ? textResponse(200, "ready\n")
                                                      : textResponse(503, "not ready\n"));
        return;
    case StatusKind::Metrics:
        m_server->respond(response.id, textResponse(200, response.text + metricsText()));
        return;
    case StatusKind::Status:
    case StatusKind::Explanation: {
        HttpResponse status;
        status.body = response.text + "\n";
        m_server->respond(response.id, std::move(status));
        return;
    }
    }
}

std::string AdminTask::metricsText() const
{
    std::ostringstream metrics;
    const auto counter = [&](const char *name, std::uint64_t value) {
        metrics << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    };
    const auto gauge = [&](const char *name, std::uint64_t value) {
        metrics << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    };
    counter("basildeck_peer_bytes_sent_total", m_peerStatistics->bytesSent);
    counter("basildeck_peer_bytes_received_total", m_peerStatistics->bytesReceived);
    counter("basildeck_peer_packets_sent_total", m_peerStatistics->packetsSent);
    counter("basildeck_peer_packets_refused_total", m_peerStatistics->packetsRefused);
    counter("basildeck_config_syncs_total", m_peerStatistics->configSyncs);
    gauge("basildeck_config_version", m_peerStatistics->configVersion);
    gauge("basildeck_config_era", m_peerStatistics->configEra);
    counter("basildeck_store_calls_total", m_storeStatistics->calls);
    counter("basildeck_store_failures_total", m_storeStatistics->failures);
    counter("basildeck_claim_writes_total", m_storeStatistics->claimWrites);
    counter("basildeck_claim_conflicts_total", m_storeStatistics->claimConflicts);
    gauge("basildeck_claims_waiting", m_storeStatistics->claimsWaiting);
    return metrics.str();
}

void AdminTask::handleAdmin(HttpServer::RequestId id, const HttpRequest &request)
{
    if (!hasValidToken(request)) {
        refuse(id, ErrorKind::OperatorTokenInvalid, "the operator token is missing or invalid");
        return;
    }
    if (request.method == "POST" && request.path == "/admin/v1/explain") {
        handleExplain(id, request);
        return;
    }
    if (request.method == "GET" && request.path == "/admin/v1/config") {
        m_edits->read([this, id](Result<StoredConfig> current) {
            if (!current)
                refuse(id, ErrorKind::StoreUnavailable, current.error().detail);
            else
                m_server->respond(
                        id, jsonResponse(200, { { "version", current.value().version.revision },
                                                { "era", current.value().version.era },
                                                { "config", current.value().document } }));
        });
        return;
    }
    auto edit = parseConfigEdit(request);
    if (!edit) {
        refuse(id, edit.error().kind, edit.error().detail);
        return;
    }
    runEdit(id, std::move(edit.value()));
}

void AdminTask::runEdit(HttpServer::RequestId id, ConfigEdit edit)
{
    const std::string newKey = edit.newKey;
    m_edits->run(std::move(edit), [this, id, newKey](const EditResult &result) {
        if (result.version) {
            const StoreVersion &version = result.version.value();
            // This VM follows and spreads the edit at once, whether or not it watches the store.
            m_peer->post(ConfigDocument{
                    version, std::make_shared<const std::string>(result.document.dump()) });
            json body = { { "version", version.revision }, { "era", version.era } };
            if (!newKey.empty())
                body["key"] = newKey;
            BASILDECK_INFO(component) << "configuration edit stored as version " << version.revision
                                      << " of store era " << version.era;
            m_server->respond(id, jsonResponse(200, body));
            return;
        }
        const Error &error = result.version.error();
        const ErrorResponse &refusal = errorResponse(error.kind);
        json body = { { "refusal", refusal.name },
                      { "detail", error.detail },
                      { "currentVersion", result.currentVersion.revision } };
        if (error.kind == ErrorKind::EditConflict)
            body["changedMeanwhile"] = result.changedMeanwhile;
        m_server->respond(id, jsonResponse(refusal.status, body));
    });
}

void AdminTask::handleExplain(HttpServer::RequestId id, const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        refuse(id, ErrorKind::InvalidObject, "the request body is not a JSON object");
        return;
    }
    try {
        StatusRequest statusRequest;
        statusRequest.kind = StatusKind::Explanation;
        statusRequest.callerIp = body.value("caller", "127.0.0.1");
        statusRequest.method = body.value("method", "GET");
        statusRequest.host = body.value("host", "");
        statusRequest.path = body.value("path", "/");
        statusRequest.key = body.value("key", "");
        requestStatus(id, std::move(statusRequest));
    } catch (const json::exception &) {
        refuse(id, ErrorKind::InvalidObject, "a field of the request body is not a string");
    }
}

} // namespace basildeck
