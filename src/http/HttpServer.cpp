#include "http/HttpServer.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <optional>

namespace basildeck {

struct HttpServer::PendingRequest
{
    lws *connection = nullptr;
    HttpRequest request;
    std::optional<HttpResponse> response;
    bool dropped = false;
    bool complete = false;
    int repeatedCompletions = 0;
};

namespace {

constexpr unsigned int idleTimeoutSeconds = 60;

// The data that libwebsockets allocates for each connection.
struct PerSessionData
{
    HttpServer::RequestId id;
};

} // namespace

std::unique_ptr<HttpServer> HttpServer::make(LwsLoop &loop, const Address &address, Handler handler)
{
    std::unique_ptr<HttpServer> server(new HttpServer(std::move(handler)));
    server->m_protocols = std::make_unique<lws_protocols[]>(2);
    lws_protocols &protocol = server->m_protocols[0];
    protocol.name = "http";
    protocol.callback
            = [](lws *connection, lws_callback_reasons reason, void *user, void *in,
                 std::size_t length) { return callback(connection, reason, user, in, length); };
    protocol.per_session_data_size = sizeof(PerSessionData);
    protocol.user = server.get();
    lws_context_creation_info info{};
    info.port = address.port;
    info.iface = address.ip.c_str();
    info.protocols = server->m_protocols.get();
    info.keepalive_timeout = idleTimeoutSeconds;
    info.timeout_secs = idleTimeoutSeconds;
    server->m_vhostName = "server-" + address.toString();
    info.vhost_name = server->m_vhostName.c_str();
    if (lws_create_vhost(loop.context(), &info) == nullptr)
        return nullptr;
    return server;
}

HttpServer::HttpServer(Handler handler)
    : m_handler(std::move(handler))
{}

HttpServer::~HttpServer()
{
    m_closing = true;
}

int HttpServer::callback(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    const lws_protocols *protocol = connection == nullptr ? nullptr : lws_get_protocol(connection);
    if (protocol == nullptr || protocol->user == nullptr)
        return 0;
    auto &server = *static_cast<HttpServer *>(protocol->user);
    if (reason == LWS_CALLBACK_HTTP)
        return server.onHead(connection, user,
                             std::string_view(static_cast<const char *>(in), length));
    auto *session = static_cast<PerSessionData *>(user);
    const RequestId id = session == nullptr ? 0 : session->id;
    const auto found = id == 0 ? server.m_pendingRequests.end() : server.m_pendingRequests.find(id);
    if (found == server.m_pendingRequests.end())
        return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user,
                                       in, length);
    PendingRequest &pending = *found->second;
    switch (reason) {
    case LWS_CALLBACK_HTTP_BODY:
        return server.onBody(pending, { static_cast<const char *>(in), length });
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return server.onRequestComplete(id, pending);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return server.onWriteable(connection, id, pending);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        server.m_pendingRequests.erase(found);
        session->id = 0;
        return 0;
    default:
        return 0;
    }
}

int HttpServer::onHead(lws *connection, void *user, std::string_view path)
{
    auto pending = std::make_unique<PendingRequest>();
    pending->connection = connection;
    HttpRequest &request = pending->request;
    request.method = lws_util::method(connection);
    request.path = std::string(path);
    request.query = lws_util::encodedQuery(connection);
    request.clientIp = lws_util::clientIp(connection);
    if (const auto value = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_AUTHORIZATION))
        request.headers.push_back({ "authorization", *value });
    for (const std::string &name : m_requestHeaderNames) {
        if (const auto value = lws_util::namedHeader(connection, name))
            request.headers.push_back({ name, *value });
    }
    const auto lengthText = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const RequestId id = m_nextId++;
    static_cast<PerSessionData *>(user)->id = id;
    PendingRequest &stored = *m_pendingRequests.emplace(id, std::move(pending)).first->second;
    const bool hasBody = lengthText && lengthText->find_first_not_of('0') != std::string::npos;
    return hasBody ? 0 : onRequestComplete(id, stored);
}

int HttpServer::onBody(PendingRequest &pending, std::string_view bytes)
{
    pending.request.body += bytes;
    return pending.request.body.size() > maxBodyBytes ? -1 : 0;
}

int HttpServer::onRequestComplete(RequestId id, PendingRequest &pending)
{
    if (pending.complete)
        return pending.repeatedCompletions++ > 0 ? -1 : 0;
    pending.complete = true;
    lws_set_timeout(pending.connection, NO_PENDING_TIMEOUT, 0);
    // The handler may call respond() before it returns, which only stores the response.
    const HttpRequest request = std::move(pending.request);
    m_handler(id, request);
    return 0;
}

int HttpServer::onWriteable(lws *connection, RequestId id, PendingRequest &pending)
{
    if (pending.dropped)
        return -1;
    if (!pending.response)
        return 0;
    const HttpResponse response = std::move(*pending.response);
    m_pendingRequests.erase(id);
    static_cast<PerSessionData *>(lws_wsi_user(connection))->id = 0;
    if (!lws_util::writeResponse(connection, response, false))
        return -1;
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

void HttpServer::respond(RequestId id, HttpResponse response)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    found->second->response = std::move(response);
    lws_callback_on_writable(found->second->connection);
}

void HttpServer::drop(RequestId id)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    found->second->dropped = true;
    lws_callback_on_writable(found->second->connection);
}

} // namespace basildeck
