#include "http/HttpServer.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <optional>

namespace basildeck {

struct HttpServer::Pending
{
    lws *connection = nullptr;
    HttpRequest request;
    std::optional<HttpResponse> answer;
    bool dropped = false;
    bool complete = false;
    int completions = 0;
};

namespace {

constexpr unsigned int idleTimeoutSeconds = 60;

// What libwebsockets keeps for each connection.
struct Session
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
    protocol.per_session_data_size = sizeof(Session);
    protocol.user = server.get();
    lws_context_creation_info info{};
    info.port = address.port;
    info.iface = address.ip.c_str();
    info.protocols = server->m_protocols.get();
    info.keepalive_timeout = idleTimeoutSeconds;
    info.timeout_secs = idleTimeoutSeconds;
    server->m_name = "server-" + address.toString();
    info.vhost_name = server->m_name.c_str();
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
    auto *session = static_cast<Session *>(user);
    const RequestId id = session == nullptr ? 0 : session->id;
    const auto found = id == 0 ? server.m_pending.end() : server.m_pending.find(id);
    if (found == server.m_pending.end())
        return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user,
                                       in, length);
    Pending &pending = *found->second;
    switch (reason) {
    case LWS_CALLBACK_HTTP_BODY:
        return server.onBody(pending, { static_cast<const char *>(in), length });
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        return server.onComplete(id, pending);
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return server.onWriteable(connection, id, pending);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        server.m_pending.erase(found);
        session->id = 0;
        return 0;
    default:
        return 0;
    }
}

int HttpServer::onHead(lws *connection, void *user, std::string_view path)
{
    auto pending = std::make_unique<Pending>();
    pending->connection = connection;
    HttpRequest &request = pending->request;
    request.method = lws_util::method(connection);
    request.path = std::string(path);
    request.query = lws_util::encodedQuery(connection);
    request.clientIp = lws_util::clientIp(connection);
    if (const auto value = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_AUTHORIZATION))
        request.headers.push_back({ "authorization", *value });
    for (const std::string &name : m_headerNames) {
        if (const auto value = lws_util::namedHeader(connection, name))
            request.headers.push_back({ name, *value });
    }
    const auto lengthText = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const RequestId id = m_nextId++;
    static_cast<Session *>(user)->id = id;
    Pending &stored = *m_pending.emplace(id, std::move(pending)).first->second;
    const bool hasBody = lengthText && lengthText->find_first_not_of('0') != std::string::npos;
    return hasBody ? 0 : onComplete(id, stored);
}

int HttpServer::onBody(Pending &pending, std::string_view bytes)
{
    pending.request.body += bytes;
    return pending.request.body.size() > maxBodyBytes ? -1 : 0;
}

int HttpServer::onComplete(RequestId id, Pending &pending)
{
    if (pending.complete)
        return pending.completions++ > 0 ? -1 : 0;
    pending.complete = true;
    lws_set_timeout(pending.connection, NO_PENDING_TIMEOUT, 0);
    // The handler may answer within the call, which only marks the request.
    const HttpRequest request = std::move(pending.request);
    m_handler(id, request);
    return 0;
}

int HttpServer::onWriteable(lws *connection, RequestId id, Pending &pending)
{
    if (pending.dropped)
        return -1;
    if (!pending.answer)
        return 0;
    const HttpResponse answer = std::move(*pending.answer);
    m_pending.erase(id);
    static_cast<Session *>(lws_wsi_user(connection))->id = 0;
    if (!lws_util::writeResponse(connection, answer, false))
        return -1;
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

void HttpServer::respond(RequestId id, HttpResponse answer)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    found->second->answer = std::move(answer);
    lws_callback_on_writable(found->second->connection);
}

void HttpServer::drop(RequestId id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    found->second->dropped = true;
    lws_callback_on_writable(found->second->connection);
}

} // namespace basildeck
