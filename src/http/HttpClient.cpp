#include "http/HttpClient.h"

#include "http/HttpParser.h"
#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <utility>

namespace basildeck {

namespace {

constexpr int minFinalStatus = 200;
constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr std::size_t maxResponseBytes = 4 * 1024 * 1024;

std::string serialize(const Address &address, const HttpRequest &request)
{
    std::string text = request.method + " " + request.path;
    if (!request.query.empty())
        text += "?" + request.query;
    text += " HTTP/1.1\r\nHost: " + address.toString() + "\r\nConnection: close\r\n";
    for (const HttpHeader &header : request.headers)
        text += header.name + ": " + header.value + "\r\n";
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

} // namespace

struct HttpClient::PendingRequest
{
    PendingRequest(HttpClient &owner, std::uint64_t requestId, Address requestAddress,
                   HttpRequest pendingRequest)
        : client(&owner)
        , id(requestId)
        , address(std::move(requestAddress))
        , request(std::move(pendingRequest))
        , parser(HttpParser::MessageType::Response, maxHeadBytes,
                 { [this](const MessageHead &head) { addHead(head); },
                   [this](std::string_view bytes) { response.body.append(bytes); },
                   [this] { completed = true; } })
    {}

    void addHead(const MessageHead &head)
    {
        response.status = head.status;
        for (const std::string &name : client->m_responseHeaderNames) {
            if (const std::string *value = head.fields.find(name))
                response.headers.push_back({ name, *value });
        }
    }

    bool hasInvalidInput() const
    {
        return parser.parseError() != HttpParser::ParseError::None
               || response.body.size() > maxResponseBytes
               || (parser.isHeadComplete() && response.status < minFinalStatus);
    }

    HttpClient *client;
    std::uint64_t id;
    Address address;
    HttpRequest request;
    HttpResponse response;
    Time deadline;
    lws *connection = nullptr;
    ResponseHandler onResponse;
    bool connected = false;
    bool sent = false;
    bool completed = false;
    HttpParser parser;
};

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
    const std::uint64_t id = m_nextId++;
    auto owned = std::make_unique<PendingRequest>(*this, id, address, std::move(request));
    PendingRequest &pending = *owned;
    pending.onResponse = std::move(onResponse);
    pending.deadline = Clock::now() + timeout;
    m_pendingRequests.emplace(id, std::move(owned));
    const bool started = lws_util::connectRaw(m_loop.context(), m_vhost, address, "client",
                                              &pending, &pending.connection);
    if (!started)
        finish(id, failure(ErrorKind::ConnectFailed,
                           "connection to " + address.toString() + " failed"));
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
        const bool isReadEvent = reason == LWS_CALLBACK_RAW_RX;
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
    case LWS_CALLBACK_RAW_CONNECTED:
        pending.connected = true;
        lws_callback_on_writable(connection);
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        if (std::exchange(pending.sent, true))
            return 0;
        return lws_util::writeRaw(connection, serialize(pending.address, pending.request)) ? 0 : -1;
    case LWS_CALLBACK_RAW_RX:
        return receive(connection, pending, { static_cast<const char *>(in), length });
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
        // Completes a response without a length.
        pending.parser.finishInput();
        end(connection, pending);
        return 0;
    default:
        return 0;
    }
}

int HttpClient::receive(lws *connection, PendingRequest &pending, std::string_view bytes)
{
    pending.parser.feed(bytes);
    if (!pending.hasInvalidInput() && !pending.completed)
        return 0;
    end(connection, pending);
    return -1;
}

void HttpClient::end(lws *connection, PendingRequest &pending)
{
    lws_set_opaque_user_data(connection, nullptr);
    if (pending.completed && !pending.hasInvalidInput())
        finish(pending.id, std::move(pending.response));
    else
        finish(pending.id,
               failure(pending.connected ? ErrorKind::UpstreamLost : ErrorKind::ConnectFailed,
                       "the connection ended before the answer"));
}

} // namespace basildeck
