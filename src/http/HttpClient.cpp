#include "http/HttpClient.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <array>
#include <optional>

namespace basildeck {

struct HttpClient::PendingRequest
{
    HttpClient *client = nullptr;
    std::uint64_t id = 0;
    HttpRequest request;
    HttpResponse response;
    Time deadline;
    lws *connection = nullptr;
    ResponseHandler onResponse;
    std::optional<std::size_t> expectedBodyBytes;
    bool connected = false;
    bool headReceived = false;
    bool completed = false;
    bool truncated = false;
};

namespace {

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::size_t maxResponseBytes = 4 * 1024 * 1024;

} // namespace

std::unique_ptr<HttpClient> HttpClient::make(LwsLoop &loop)
{
    std::unique_ptr<HttpClient> client(new HttpClient(loop));
    client->m_protocols = std::make_unique<lws_protocols[]>(2);
    lws_protocols &protocol = client->m_protocols[0];
    protocol.name = "client";
    protocol.callback
            = [](lws *connection, lws_callback_reasons reason, void *user, void *in,
                 std::size_t length) { return callback(connection, reason, user, in, length); };
    protocol.user = client.get();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = client->m_protocols.get();
    info.vhost_name = "client";
    client->m_vhost = lws_create_vhost(loop.context(), &info);
    if (client->m_vhost == nullptr)
        return nullptr;
    return client;
}

HttpClient::HttpClient(LwsLoop &loop)
    : m_loop(loop)
{}

// The loop may outlive the client and closes the remaining connections then, so their events must
// not refer to the client any more.
HttpClient::~HttpClient()
{
    for (const auto &[id, pending] : m_pendingRequests) {
        if (pending->connection != nullptr)
            lws_set_opaque_user_data(pending->connection, nullptr);
    }
}

void HttpClient::send(const Address &address, HttpRequest request, milliseconds timeout,
                      ResponseHandler onResponse)
{
    auto owned = std::make_unique<PendingRequest>();
    PendingRequest &pending = *owned;
    pending.client = this;
    pending.id = m_nextId++;
    pending.request = std::move(request);
    pending.onResponse = std::move(onResponse);
    pending.deadline = Clock::now() + timeout;
    m_pendingRequests.emplace(pending.id, std::move(owned));
    const std::uint64_t id = pending.id;

    const std::string host = address.toString();
    std::string path = pending.request.path;
    if (!pending.request.query.empty())
        path += "?" + pending.request.query;
    lws_client_connect_info info{};
    info.context = m_loop.context();
    info.vhost = m_vhost;
    info.address = address.ip.c_str();
    info.port = address.port;
    info.path = path.c_str();
    info.host = host.c_str();
    info.origin = nullptr;
    info.method = pending.request.method.c_str();
    info.local_protocol_name = "client";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = &pending;
    info.pwsi = &pending.connection;
    if (lws_client_connect_via_info(&info) == nullptr)
        finish(id, failure(ErrorKind::ConnectFailed, "connection to " + host + " failed"));
}

void HttpClient::expire(Time now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, pending] : m_pendingRequests) {
        if (pending->deadline <= now)
            expired.push_back(id);
    }
    for (const std::uint64_t id : expired) {
        PendingRequest &pending = *m_pendingRequests.at(id);
        lws *connection = pending.connection;
        const bool connected = pending.connected;
        if (connection != nullptr) {
            lws_set_opaque_user_data(connection, nullptr);
            lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
        finish(id, failure(connected ? ErrorKind::UpstreamTimeout : ErrorKind::ConnectFailed,
                           "no answer in time"));
    }
}

void HttpClient::finish(std::uint64_t id, Result<HttpResponse> response)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    const ResponseHandler onResponse = std::move(found->second->onResponse);
    m_pendingRequests.erase(found);
    onResponse(std::move(response));
}

int HttpClient::callback(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    auto *pending = connection == nullptr
                            ? nullptr
                            : static_cast<PendingRequest *>(lws_get_opaque_user_data(connection));
    if (pending == nullptr) {
        const bool isReadEvent = reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP;
        if (isReadEvent)
            return -1;
        return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user,
                                       in, length);
    }
    return pending->client->dispatch(connection, *pending, reason, in, length);
}

int HttpClient::dispatch(lws *connection, PendingRequest &pending, int reason, void *in,
                         std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        pending.connected = true;
        return appendHeaders(connection, pending, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return writeBody(connection, pending);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return onHead(connection, pending);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return onReadable(connection, pending);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        pending.response.body.append(static_cast<const char *>(in), length);
        return pending.response.body.size() > maxResponseBytes ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        pending.completed = true;
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP: {
        lws_set_opaque_user_data(connection, nullptr);
        const bool complete = pending.headReceived && !pending.truncated
                              && (!pending.expectedBodyBytes
                                  || *pending.expectedBodyBytes == pending.response.body.size());
        if (complete)
            finish(pending.id, std::move(pending.response));
        else
            finish(pending.id,
                   failure(pending.connected ? ErrorKind::UpstreamLost : ErrorKind::ConnectFailed,
                           "the connection ended before the answer"));
        return 0;
    }
    default:
        return 0;
    }
}

int HttpClient::appendHeaders(lws *connection, const PendingRequest &pending, void *in,
                              std::size_t length)
{
    auto **cursor = static_cast<unsigned char **>(in);
    unsigned char *end = *cursor + length;
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string nameWithColon = name + ":";
        return lws_add_http_header_by_name(
                       connection, reinterpret_cast<const unsigned char *>(nameWithColon.c_str()),
                       reinterpret_cast<const unsigned char *>(value.data()),
                       static_cast<int>(value.size()), cursor, end)
               == 0;
    };
    bool added = true;
    for (const HttpHeader &header : pending.request.headers)
        added = added && add(header.name, header.value);
    const bool hasBody = !pending.request.body.empty();
    if (hasBody || pending.request.method == "POST" || pending.request.method == "PUT")
        added = added && add("content-length", std::to_string(pending.request.body.size()));
    if (hasBody) {
        lws_client_http_body_pending(connection, 1);
        lws_callback_on_writable(connection);
    }
    return added ? 0 : -1;
}

int HttpClient::writeBody(lws *connection, PendingRequest &pending)
{
    if (pending.request.body.empty())
        return 0;
    std::string buffer(LWS_PRE, '\0');
    buffer += pending.request.body;
    const std::size_t length = pending.request.body.size();
    pending.request.body.clear();
    lws_client_http_body_pending(connection, 0);
    const int written
            = lws_write(connection, reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE,
                        length, LWS_WRITE_HTTP_FINAL);
    return written < 0 ? -1 : 0;
}

int HttpClient::onHead(lws *connection, PendingRequest &pending)
{
    if (!lws_util::hasFinalStatus(connection))
        return -1;
    pending.headReceived = true;
    pending.response.status = static_cast<int>(lws_http_client_http_response(connection));
    if (const auto length = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH))
        pending.expectedBodyBytes = std::strtoull(length->c_str(), nullptr, 10);
    for (const std::string &name : m_responseHeaderNames) {
        if (const auto value = lws_util::namedHeader(connection, name))
            pending.response.headers.push_back({ name, *value });
    }
    return 0;
}

int HttpClient::onReadable(lws *connection, PendingRequest &pending)
{
    std::array<char, LWS_PRE + readBufferBytes> buffer{};
    char *cursor = buffer.data() + LWS_PRE;
    int length = static_cast<int>(readBufferBytes);
    const std::uint64_t id = pending.id;
    const int result = lws_http_client_read(connection, &cursor, &length);
    if (!m_pendingRequests.contains(id))
        return -1;
    if (result < 0) {
        pending.truncated = pending.completed || !pending.expectedBodyBytes;
        return -1;
    }
    return pending.completed ? -1 : 0;
}

} // namespace basildeck
