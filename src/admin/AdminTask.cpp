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

constexpr const char *part = "admin";
constexpr microseconds tickPeriod{ 100'000 };
constexpr std::string_view bearer = "Bearer ";
constexpr std::string_view adminPrefix = "/admin/v1/";

HttpResponse jsonAnswer(int status, const json &body)
{
    HttpResponse answer;
    answer.status = status;
    answer.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return answer;
}

HttpResponse textAnswer(int status, std::string body)
{
    HttpResponse answer;
    answer.status = status;
    answer.contentType = "text/plain; version=0.0.4";
    answer.body = std::move(body);
    return answer;
}

} // namespace

std::unique_ptr<AdminTask> AdminTask::make(const Settings &settings)
{
    std::unique_ptr<AdminTask> task(new AdminTask(settings));
    AdminTask *self = task.get();
    task->m_loop = LwsLoop::make({ .tick = tickPeriod });
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
    task->m_loop->setOnTick([self] { self->m_store->expire(Clock::now()); });
    task->m_loop->setOnWake([self] {
        for (AdminMessage &message : self->m_mailbox.takeAll()) {
            if (const auto *answer = std::get_if<StatusResponse>(&message))
                self->onStatus(*answer);
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
    // Connections report their end to their owners while the loop is destroyed.
    m_loop.reset();
}

void AdminTask::connect(Mailbox<FrontMessage> &front, const PeerTask::Statistics &peer,
                        const StoreTask::Statistics &store)
{
    m_front = &front;
    m_peerStatistics = &peer;
    m_storeStatistics = &store;
}

void AdminTask::run()
{
    m_loop->run();
}

void AdminTask::stop()
{
    m_loop->stop();
}

bool AdminTask::hasToken(const HttpRequest &request) const
{
    const std::string_view value = request.header("authorization");
    return value.starts_with(bearer)
           && constantTimeEquals(value.substr(bearer.size()), m_settings.operatorToken);
}

void AdminTask::refuse(HttpServer::RequestId id, ErrorKind kind, const std::string &detail)
{
    const ErrorResponse &row = errorResponse(kind);
    m_server->respond(id,
                      jsonAnswer(row.status, { { "refusal", row.name }, { "detail", detail } }));
}

void AdminTask::handle(HttpServer::RequestId id, const HttpRequest &request)
{
    if (request.path.starts_with(adminPrefix)) {
        handleAdmin(id, request);
        return;
    }
    if (request.path == "/healthz")
        m_server->respond(id, textAnswer(200, "ok\n"));
    else if (request.path == "/readyz")
        askFront(id, { .kind = StatusKind::Readiness });
    else if (request.path == "/metrics")
        askFront(id, { .kind = StatusKind::Metrics });
    else if (request.path == "/status")
        askFront(id, { .kind = StatusKind::Status });
    else
        refuse(id, ErrorKind::NotFound, "path \"" + request.path + "\" does not exist");
}

void AdminTask::askFront(HttpServer::RequestId id, StatusRequest request)
{
    request.id = id;
    m_waiting[id] = request.kind;
    m_front->post(std::move(request));
}

void AdminTask::onStatus(const StatusResponse &answer)
{
    const auto found = m_waiting.find(answer.id);
    if (found == m_waiting.end())
        return;
    const StatusKind kind = found->second;
    m_waiting.erase(found);
    switch (kind) {
    case StatusKind::Readiness:
        m_server->respond(answer.id, answer.ready ? textAnswer(200, "ready\n")
                                                  : textAnswer(503, "not ready\n"));
        return;
    case StatusKind::Metrics:
        m_server->respond(answer.id, textAnswer(200, answer.text + figuresText()));
        return;
    case StatusKind::Status:
    case StatusKind::Explanation: {
        HttpResponse status;
        status.body = answer.text + "\n";
        m_server->respond(answer.id, std::move(status));
        return;
    }
    }
}

std::string AdminTask::figuresText() const
{
    std::ostringstream out;
    const auto counter = [&](const char *name, std::uint64_t value) {
        out << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
    };
    const auto gauge = [&](const char *name, std::uint64_t value) {
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    };
    counter("basildeck_peer_bytes_sent_total", m_peerStatistics->bytesSent);
    counter("basildeck_peer_bytes_received_total", m_peerStatistics->bytesReceived);
    counter("basildeck_peer_packets_sent_total", m_peerStatistics->packetsSent);
    counter("basildeck_peer_packets_refused_total", m_peerStatistics->packetsRefused);
    counter("basildeck_config_syncs_total", m_peerStatistics->configSyncs);
    gauge("basildeck_config_version", m_peerStatistics->configVersion);
    counter("basildeck_store_calls_total", m_storeStatistics->calls);
    counter("basildeck_store_failures_total", m_storeStatistics->failures);
    counter("basildeck_claim_writes_total", m_storeStatistics->claimWrites);
    counter("basildeck_claim_conflicts_total", m_storeStatistics->claimConflicts);
    gauge("basildeck_claims_waiting", m_storeStatistics->claimsWaiting);
    return out.str();
}

void AdminTask::handleAdmin(HttpServer::RequestId id, const HttpRequest &request)
{
    if (!hasToken(request)) {
        refuse(id, ErrorKind::OperatorTokenInvalid, "the operator token is missing or wrong");
        return;
    }
    if (request.method == "POST" && request.path == "/admin/v1/explain") {
        handleExplain(id, request);
        return;
    }
    if (request.method == "GET" && request.path == "/admin/v1/config") {
        m_edits->read([this, id](Result<std::pair<std::uint64_t, json>> current) {
            if (!current)
                refuse(id, ErrorKind::StoreUnavailable, current.error().detail);
            else
                m_server->respond(id, jsonAnswer(200, { { "version", current.value().first },
                                                        { "config", current.value().second } }));
        });
        return;
    }
    auto edit = readConfigEdit(request);
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
            json body = { { "version", result.version.value() } };
            if (!newKey.empty())
                body["key"] = newKey;
            BASILDECK_INFO(part) << "edit accepted as version " << result.version.value();
            m_server->respond(id, jsonAnswer(200, body));
            return;
        }
        const Error &error = result.version.error();
        const ErrorResponse &row = errorResponse(error.kind);
        json body = { { "refusal", row.name },
                      { "detail", error.detail },
                      { "currentVersion", result.currentVersion } };
        if (error.kind == ErrorKind::EditConflict)
            body["changedMeanwhile"] = result.changedMeanwhile;
        m_server->respond(id, jsonAnswer(row.status, body));
    });
}

void AdminTask::handleExplain(HttpServer::RequestId id, const HttpRequest &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        refuse(id, ErrorKind::InvalidObject, "the body is not a JSON object");
        return;
    }
    try {
        StatusRequest question;
        question.kind = StatusKind::Explanation;
        question.callerIp = body.value("caller", "127.0.0.1");
        question.method = body.value("method", "GET");
        question.host = body.value("host", "");
        question.path = body.value("path", "/");
        question.key = body.value("key", "");
        askFront(id, std::move(question));
    } catch (const json::exception &) {
        refuse(id, ErrorKind::InvalidObject, "a field of the question is not a string");
    }
}

} // namespace basildeck
