#include "http/UpstreamClient.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"
#include "http/RequestHead.h"

#include <libwebsockets.h>

#include <sys/socket.h>

#include <array>
#include <charconv>

namespace basildeck {

struct UpstreamClient::Attempt
{
    UpstreamClient *client = nullptr;
    AttemptId id = 0;
    UpstreamRequest request;
    lws *connection = nullptr;
    bool requestStarted = false; // a byte of the request may have reached the upstream
    bool bodySent = false;
    bool headReceived = false;
    bool completed = false;
    std::optional<std::size_t> remainingBodyBytes; // of the response, if its length is known
};

namespace {

constexpr std::size_t readBufferBytes = 64 * 1024;
constexpr std::size_t maxWriteBytes = 64 * 1024;
constexpr int limitedReceiveBufferBytes = 64 * 1024;

} // namespace

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
    auto owned = std::make_unique<Attempt>();
    Attempt &attempt = *owned;
    attempt.client = this;
    attempt.id = m_nextId++;
    attempt.request = std::move(request);
    attempt.bodySent = attempt.request.contentLength.value_or(0) == 0;
    const AttemptId id = attempt.id;
    m_attempts.emplace(id, std::move(owned));

    lws_client_connect_info info{};
    info.context = m_loop.context();
    info.vhost = m_vhost;
    info.address = address.ip.c_str();
    info.port = address.port;
    info.path = attempt.request.target.c_str();
    info.host = attempt.request.host.c_str();
    info.method = attempt.request.method.c_str();
    info.local_protocol_name = "upstream";
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.opaque_user_data = &attempt;
    info.pwsi = &attempt.connection;
    if (lws_client_connect_via_info(&info) == nullptr && m_attempts.contains(id))
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
    const bool cancelled = reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP
                           || reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER
                           || reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE;
    if (cancelled)
        return -1;
    return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user, in,
                                   length);
}

int UpstreamClient::dispatch(lws *connection, Attempt &attempt, int reason, void *in,
                             std::size_t length)
{
    switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
        attempt.requestStarted = true;
        if (attempt.request.limitsReceiveBuffer)
            ::setsockopt(lws_get_socket_fd(connection), SOL_SOCKET, SO_RCVBUF,
                         &limitedReceiveBufferBytes, sizeof limitedReceiveBufferBytes);
        return appendHeaders(connection, attempt, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return writeBody(connection, attempt);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return onHead(connection, attempt);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return onReadable(connection, attempt);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        if (attempt.remainingBodyBytes && length > *attempt.remainingBodyBytes)
            return -1;
        if (attempt.remainingBodyBytes)
            *attempt.remainingBodyBytes -= length;
        m_events.onResponseData(attempt.id, { static_cast<const char *>(in), length });
        return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        attempt.completed = true;
        return 0;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP: {
        lws_set_opaque_user_data(connection, nullptr);
        finish(attempt.id, attempt.requestStarted ? AttemptResult::ConnectionLost
                                                  : AttemptResult::ConnectFailed);
        return 0;
    }
    default:
        return 0;
    }
}

int UpstreamClient::appendHeaders(lws *connection, Attempt &attempt, void *in, std::size_t length)
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
    bool added = add("connection", "close");
    for (const HttpHeader &header : attempt.request.headers)
        added = added && add(header.name, header.value);
    if (attempt.request.contentLength)
        added = added && add("content-length", std::to_string(*attempt.request.contentLength));
    if (!attempt.bodySent) {
        lws_client_http_body_pending(connection, 1);
        lws_callback_on_writable(connection);
    }
    return added ? 0 : -1;
}

int UpstreamClient::writeBody(lws *connection, Attempt &attempt)
{
    if (attempt.bodySent)
        return 0;
    const BodyPart part = m_events.takeRequestBody(attempt.id, maxWriteBytes);
    if (part.bytes.empty() && !part.last)
        return 0;
    std::string buffer(LWS_PRE, '\0');
    buffer.append(part.bytes);
    if (part.last) {
        attempt.bodySent = true;
        lws_client_http_body_pending(connection, 0);
    }
    if (lws_write(connection, reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE,
                  part.bytes.size(), part.last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP)
        < 0)
        return -1;
    if (!part.last)
        lws_callback_on_writable(connection);
    return 0;
}

int UpstreamClient::onHead(lws *connection, Attempt &attempt)
{
    if (!lws_util::hasFinalStatus(connection)) {
        lws_set_opaque_user_data(connection, nullptr);
        finish(attempt.id, AttemptResult::InvalidResponse);
        return -1;
    }
    UpstreamResponseHead head;
    head.status = static_cast<int>(lws_http_client_http_response(connection));
    head.headers = readResponseHeaders(connection);
    const auto length = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    const auto transferEncoding
            = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_TRANSFER_ENCODING);
    if (length) {
        std::size_t value = 0;
        const auto [stop, error]
                = std::from_chars(length->data(), length->data() + length->size(), value);
        if (error == std::errc() && stop == length->data() + length->size())
            head.contentLength = value;
    }
    head.bodyless = attempt.request.method == "HEAD" || head.status == 204 || head.status == 304;
    head.selfDelimited = head.bodyless
                         || (transferEncoding ? *transferEncoding == "chunked" && !length
                                              : head.contentLength.has_value());
    head.notRun = lws_util::namedHeader(connection, "basildeck-run").value_or("") == "not-run";
    attempt.headReceived = true;
    if (!head.bodyless)
        attempt.remainingBodyBytes = head.contentLength;
    const AttemptId id = attempt.id;
    m_events.onResponseHead(id, head);
    if (!m_attempts.contains(id))
        return -1;
    if (!head.bodyless && attempt.remainingBodyBytes.value_or(1) != 0)
        return 0;
    lws_set_opaque_user_data(connection, nullptr);
    finish(id, AttemptResult::Complete);
    return -1;
}

// LWS_CALLBACK_COMPLETED_CLIENT_HTTP alone does not prove that a response is complete, because
// libwebsockets also reports it for a truncated chunked response. The read that reports it must
// succeed too.
int UpstreamClient::onReadable(lws *connection, Attempt &attempt)
{
    static thread_local std::array<char, LWS_PRE + readBufferBytes> buffer;
    char *cursor = buffer.data() + LWS_PRE;
    int length = static_cast<int>(readBufferBytes);
    const AttemptId id = attempt.id;
    const int result = lws_http_client_read(connection, &cursor, &length);
    if (!m_attempts.contains(id))
        return -1;
    const bool lengthReached = attempt.remainingBodyBytes && *attempt.remainingBodyBytes == 0;
    const bool chunksEnded = !attempt.remainingBodyBytes && attempt.completed && result >= 0;
    if (lengthReached || chunksEnded) {
        lws_set_opaque_user_data(connection, nullptr);
        finish(id, AttemptResult::Complete);
        return -1;
    }
    return result < 0 || attempt.completed ? -1 : 0;
}

} // namespace basildeck
