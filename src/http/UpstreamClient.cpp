#include "http/UpstreamClient.h"

#include "http/HttpParser.h"
#include "http/LwsLoop.h"
#include "http/LwsUtil.h"
#include "http/RequestHead.h"

#include <libwebsockets.h>

#include <sys/socket.h>

#include <utility>

namespace basildeck {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr std::size_t maxWriteBytes = 64 * 1024;
constexpr int limitedReceiveBufferBytes = 64 * 1024;

std::string serializeHead(const UpstreamRequest &request)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host
                       + "\r\nConnection: close\r\n";
    for (const HttpHeader &header : request.headers)
        head += header.name + ": " + header.value + "\r\n";
    if (request.contentLength)
        head += "Content-Length: " + std::to_string(*request.contentLength) + "\r\n";
    return head + "\r\n";
}

UpstreamResponseHead describe(const MessageHead &received, bool isHeadRequest)
{
    UpstreamResponseHead head;
    head.status = received.status;
    head.headers = forwardedHeaders(received.fields);
    head.contentLength = received.contentLength;
    head.bodyless = isHeadRequest || head.status == 204 || head.status == 304;
    head.selfDelimited = !received.isDelimitedByClose;
    const std::string *run = received.fields.find("basildeck-run");
    head.notRun = run != nullptr && *run == "not-run";
    return head;
}

} // namespace

struct UpstreamClient::Attempt
{
    Attempt(UpstreamClient &owner, AttemptId attemptId, UpstreamRequest attemptRequest)
        : client(&owner)
        , id(attemptId)
        , request(std::move(attemptRequest))
        , bodySent(request.contentLength.value_or(0) == 0)
        , parser(HttpParser::MessageType::Response, maxHeadBytes,
                 { [this](MessageHead received) { head = std::move(received); },
                   [this](std::string_view bytes) { body.append(bytes); },
                   [this] { completed = true; } })
    {
        parser.expectNoBody(isHeadRequest());
    }

    bool isHeadRequest() const { return request.method == "HEAD"; }
    bool hasInvalidStatus() const
    {
        return parser.parseError() == HttpParser::ParseError::InvalidStatus
               || (head && head->status < minFinalStatus);
    }
    bool hasInvalidInput() const
    {
        return hasInvalidStatus() || parser.parseError() != HttpParser::ParseError::None;
    }

    static constexpr int minFinalStatus = 200;

    UpstreamClient *client;
    AttemptId id;
    UpstreamRequest request;
    lws *connection = nullptr;
    bool requestStarted = false; // a byte of the request may have reached the upstream
    bool bodySent;
    // What was received and has not been reported yet. Events may end the attempt, so they follow
    // after the parser has returned.
    std::optional<MessageHead> head;
    std::string body;
    bool completed = false;
    HttpParser parser;
};

std::unique_ptr<UpstreamClient> UpstreamClient::make(LwsLoop &loop, Events events)
{
    std::unique_ptr<UpstreamClient> client(new UpstreamClient(loop, std::move(events)));
    client->m_protocols = std::make_unique<lws_protocols[]>(2);
    lws_protocols &protocol = client->m_protocols[0];
    protocol.name = "upstream";
    protocol.callback
            = [](lws *connection, lws_callback_reasons reason, void *user, void *in,
                 std::size_t length) { return callback(connection, reason, user, in, length); };
    protocol.user = client.get();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.protocols = client->m_protocols.get();
    info.vhost_name = "upstream";
    client->m_vhost = lws_create_vhost(loop.context(), &info);
    if (client->m_vhost == nullptr)
        return nullptr;
    return client;
}

UpstreamClient::UpstreamClient(LwsLoop &loop, Events events)
    : m_loop(loop)
    , m_events(std::move(events))
{}

UpstreamClient::~UpstreamClient() = default;

UpstreamClient::AttemptId UpstreamClient::startAttempt(const Address &address,
                                                       UpstreamRequest request)
{
    const AttemptId id = m_nextId++;
    auto owned = std::make_unique<Attempt>(*this, id, std::move(request));
    Attempt &attempt = *owned;
    m_attempts.emplace(id, std::move(owned));

    const bool started = lws_util::connectRaw(m_loop.context(), m_vhost, address, "upstream",
                                              &attempt, &attempt.connection);
    if (!started && m_attempts.contains(id))
        m_failedAttempts.push_back(id);
    return id;
}

void UpstreamClient::reportFailedAttempts()
{
    for (const AttemptId id : std::exchange(m_failedAttempts, {}))
        finish(id, AttemptResult::ConnectFailed);
}

void UpstreamClient::notifyBodyAvailable(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && found->second->requestStarted
        && found->second->connection != nullptr)
        lws_callback_on_writable(found->second->connection);
}

void UpstreamClient::setReadPaused(AttemptId id, bool paused)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && found->second->connection != nullptr)
        lws_rx_flow_control(found->second->connection, paused ? 0 : 1);
}

void UpstreamClient::cancel(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    lws *connection = found->second->connection;
    m_attempts.erase(found);
    if (connection == nullptr)
        return;
    lws_set_opaque_user_data(connection, nullptr);
    lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

void UpstreamClient::finish(AttemptId id, AttemptResult attemptResult)
{
    if (m_attempts.erase(id) > 0)
        m_events.onAttemptEnd(id, attemptResult);
}

int UpstreamClient::callback(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    auto *attempt = connection == nullptr
                            ? nullptr
                            : static_cast<Attempt *>(lws_get_opaque_user_data(connection));
    if (attempt != nullptr)
        return attempt->client->dispatch(connection, *attempt, reason, in, length);
    const bool cancelled = reason == LWS_CALLBACK_RAW_CONNECTED || reason == LWS_CALLBACK_RAW_RX
                           || reason == LWS_CALLBACK_RAW_WRITEABLE;
    if (cancelled)
        return -1;
    return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user, in,
                                   length);
}

int UpstreamClient::dispatch(lws *connection, Attempt &attempt, int reason, void *in,
                             std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        if (attempt.request.limitsReceiveBuffer)
            ::setsockopt(lws_get_socket_fd(connection), SOL_SOCKET, SO_RCVBUF,
                         &limitedReceiveBufferBytes, sizeof limitedReceiveBufferBytes);
        lws_callback_on_writable(connection);
        return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
        return attempt.requestStarted ? writeBody(connection, attempt)
                                      : writeHead(connection, attempt);
    case LWS_CALLBACK_RAW_RX:
        return receive(connection, attempt, { static_cast<const char *>(in), length });
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
        lws_set_opaque_user_data(connection, nullptr);
        finish(attempt.id, attempt.requestStarted ? AttemptResult::ConnectionLost
                                                  : AttemptResult::ConnectFailed);
        return 0;
    default:
        return 0;
    }
}

int UpstreamClient::writeHead(lws *connection, Attempt &attempt)
{
    attempt.requestStarted = true;
    if (!lws_util::writeRaw(connection, serializeHead(attempt.request)))
        return -1;
    if (!attempt.bodySent)
        lws_callback_on_writable(connection);
    return 0;
}

int UpstreamClient::writeBody(lws *connection, Attempt &attempt)
{
    if (attempt.bodySent)
        return 0;
    const BodyPart part = m_events.takeRequestBody(attempt.id, maxWriteBytes);
    if (part.bytes.empty() && !part.last)
        return 0;
    attempt.bodySent = part.last;
    if (!part.bytes.empty() && !lws_util::writeRaw(connection, part.bytes))
        return -1;
    if (!part.last)
        lws_callback_on_writable(connection);
    return 0;
}

int UpstreamClient::receive(lws *connection, Attempt &attempt, std::string_view bytes)
{
    const AttemptId id = attempt.id;
    attempt.parser.feed(bytes);
    if (attempt.hasInvalidInput()) {
        lws_set_opaque_user_data(connection, nullptr);
        finish(id, attempt.hasInvalidStatus() ? AttemptResult::InvalidResponse
                                              : AttemptResult::ConnectionLost);
        return -1;
    }
    if (attempt.head) {
        const auto head = std::exchange(attempt.head, std::nullopt);
        m_events.onResponseHead(id, describe(*head, attempt.isHeadRequest()));
        if (!m_attempts.contains(id))
            return -1;
    }
    if (!attempt.body.empty()) {
        m_events.onResponseData(id, std::exchange(attempt.body, {}));
        if (!m_attempts.contains(id))
            return -1;
    }
    if (!attempt.completed)
        return 0;
    lws_set_opaque_user_data(connection, nullptr);
    finish(id, AttemptResult::Complete);
    return -1;
}

} // namespace basildeck
