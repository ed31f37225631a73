#include "http/HttpClient.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <array>
#include <optional>

namespace basildeck {

struct HttpClient::Exchange
{
    HttpClient *client = nullptr;
    std::uint64_t id = 0;
    HttpRequest request;
    HttpResponse answer;
    Time expires;
    lws *connection = nullptr;
    Done done;
    std::optional<std::size_t> expectedLength;
    bool connected = false;
    bool headSeen = false;
    bool completed = false;
    bool cut = false;
};

namespace {

constexpr std::size_t readBufferBytes = 16 * 1024;
constexpr std::size_t maxAnswerBytes = 4 * 1024 * 1024;

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

// The loop may outlive the client, and ends the open connections then.
HttpClient::~HttpClient()
{
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->connection != nullptr)
            lws_set_opaque_user_data(exchange->connection, nullptr);
    }
}

void HttpClient::send(const Address &address, HttpRequest request, milliseconds timeout, Done done)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.client = this;
    exchange.id = m_nextId++;
    exchange.request = std::move(request);
    exchange.done = std::move(done);
    exchange.expires = Clock::now() + timeout;
    m_exchanges.emplace(exchange.id, std::move(owned));
    const std::uint64_t id = exchange.id;

    const std::string host = address.toString();
    std::string path = exchange.request.path;
    if (!exchange.request.query.empty())
        path += "?" + exchange.request.query;
    lws_client_connect_info info{};
    info.context = m_loop.context();
    info.vhost = m_vhost;
    info.address = address.ip.c_str();
    info.port = address.port;
    info.path = path.c_str();
    info.host = host.c_str();
    info.origin = nullptr;
    info.method = exchange.request.method.c_str();
    info.local_protocol_name = "client";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = &exchange;
    info.pwsi = &exchange.connection;
    if (lws_client_connect_via_info(&info) == nullptr)
        finish(id, failure(ErrorKind::ConnectFailed, "connection to " + host + " failed"));
}

void HttpClient::expire(Time now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->expires <= now)
            late.push_back(id);
    }
    for (const std::uint64_t id : late) {
        Exchange &exchange = *m_exchanges.at(id);
        lws *connection = exchange.connection;
        const bool connected = exchange.connected;
        if (connection != nullptr) {
            lws_set_opaque_user_data(connection, nullptr);
            lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
        }
        finish(id, failure(connected ? ErrorKind::UpstreamTimeout : ErrorKind::ConnectFailed,
                           "no answer in time"));
    }
}

void HttpClient::finish(std::uint64_t id, Result<HttpResponse> answer)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return;
    const Done done = std::move(found->second->done);
    m_exchanges.erase(found);
    done(std::move(answer));
}

int HttpClient::callback(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    auto *exchange = connection == nullptr
                             ? nullptr
                             : static_cast<Exchange *>(lws_get_opaque_user_data(connection));
    if (exchange == nullptr) {
        const bool received = reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP;
        if (received)
            return -1;
        return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user,
                                       in, length);
    }
    return exchange->client->dispatch(connection, *exchange, reason, in, length);
}

int HttpClient::dispatch(lws *connection, Exchange &exchange, int reason, void *in,
                         std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        exchange.connected = true;
        return appendHeaders(connection, exchange, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return writeBody(connection, exchange);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return onHead(connection, exchange);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return onReadable(connection, exchange);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        exchange.answer.body.append(static_cast<const char *>(in), length);
        return exchange.answer.body.size() > maxAnswerBytes ? -1 : 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        exchange.completed = true;
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP: {
        lws_set_opaque_user_data(connection, nullptr);
        const bool whole = exchange.headSeen && !exchange.cut
                           && (!exchange.expectedLength
                               || *exchange.expectedLength == exchange.answer.body.size());
        if (whole)
            finish(exchange.id, std::move(exchange.answer));
        else
            finish(exchange.id,
                   failure(exchange.connected ? ErrorKind::UpstreamLost : ErrorKind::ConnectFailed,
                           "the connection ended before the answer"));
        return 0;
    }
    default:
        return 0;
    }
}

int HttpClient::appendHeaders(lws *connection, const Exchange &exchange, void *in,
                              std::size_t length)
{
    auto **at = static_cast<unsigned char **>(in);
    unsigned char *end = *at + length;
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string nameWithColon = name + ":";
        return lws_add_http_header_by_name(
                       connection, reinterpret_cast<const unsigned char *>(nameWithColon.c_str()),
                       reinterpret_cast<const unsigned char *>(value.data()),
                       static_cast<int>(value.size()), at, end)
               == 0;
    };
    bool added = true;
    for (const HttpHeader &header : exchange.request.headers)
        added = added && add(header.name, header.value);
    const bool hasBody = !exchange.request.body.empty();
    if (hasBody || exchange.request.method == "POST" || exchange.request.method == "PUT")
        added = added && add("content-length", std::to_string(exchange.request.body.size()));
    if (hasBody) {
        lws_client_http_body_pending(connection, 1);
        lws_callback_on_writable(connection);
    }
    return added ? 0 : -1;
}

int HttpClient::writeBody(lws *connection, Exchange &exchange)
{
    if (exchange.request.body.empty())
        return 0;
    std::string buffer(LWS_PRE, '\0');
    buffer += exchange.request.body;
    const std::size_t length = exchange.request.body.size();
    exchange.request.body.clear();
    lws_client_http_body_pending(connection, 0);
    const int written
            = lws_write(connection, reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE,
                        length, LWS_WRITE_HTTP_FINAL);
    return written < 0 ? -1 : 0;
}

int HttpClient::onHead(lws *connection, Exchange &exchange)
{
    exchange.headSeen = true;
    exchange.answer.status = static_cast<int>(lws_http_client_http_response(connection));
    if (const auto length = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH))
        exchange.expectedLength = std::strtoull(length->c_str(), nullptr, 10);
    for (const std::string &name : m_headerNames) {
        if (const auto value = lws_util::namedHeader(connection, name))
            exchange.answer.headers.push_back({ name, *value });
    }
    return 0;
}

int HttpClient::onReadable(lws *connection, Exchange &exchange)
{
    std::array<char, LWS_PRE + readBufferBytes> buffer{};
    char *at = buffer.data() + LWS_PRE;
    int length = static_cast<int>(readBufferBytes);
    const std::uint64_t id = exchange.id;
    const int result = lws_http_client_read(connection, &at, &length);
    if (!m_exchanges.contains(id))
        return -1;
    if (result < 0) {
        exchange.cut = exchange.completed || !exchange.expectedLength;
        return -1;
    }
    return exchange.completed ? -1 : 0;
}

} // namespace basildeck
