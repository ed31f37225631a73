#include "http/CallerServer.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace basildeck {

struct CallerServer::Session
{
    RequestId id = 0;
    lws *connection = nullptr;
    bool http2 = false;
    bool isHttp10 = false;
    bool headRequest = false;
    bool bodyComplete = false;
    int bodyCompletions = 0;
    bool bodyPaused = false;
    bool sendContinue = false;
    std::optional<HttpResponse> whole;
    std::optional<HttpResponse> streamHead;
    std::optional<std::size_t> streamLength;
    bool headWritten = false;
    bool finished = false;
    bool cut = false;
    Framing framing = Framing::None;
    std::string out;
    std::size_t outAt = 0;

    std::size_t waiting() const { return out.size() - outAt; }
};

namespace {

constexpr std::size_t writeBytes = 64 * 1024;
// A DATA frame of any peer holds this much (RFC 9113, section 6.5.2), with room for the library's
// head.
constexpr std::size_t frameBytes = 16 * 1024 - 64;
constexpr std::size_t chunkHeadBytes = 16; // hexadecimal length and its line end
constexpr Duration goneCheckInterval = milliseconds(100);
constexpr unsigned int keepAliveSeconds = 60;

// What libwebsockets keeps for each connection.
struct UserData
{
    CallerServer::RequestId id;
};

bool isBodyless(int status)
{
    return status == 204 || status == 304;
}

} // namespace

std::unique_ptr<CallerServer> CallerServer::make(LwsLoop &loop, const Settings &settings,
                                                 Events events)
{
    std::unique_ptr<CallerServer> server(
            new CallerServer(std::move(events), settings.maxConnections));
    server->m_protocols = std::make_unique<lws_protocols[]>(2);
    lws_protocols &protocol = server->m_protocols[0];
    protocol.name = "caller";
    protocol.callback
            = [](lws *connection, lws_callback_reasons reason, void *user, void *in,
                 std::size_t length) { return callback(connection, reason, user, in, length); };
    protocol.per_session_data_size = sizeof(UserData);
    protocol.user = server.get();
    lws_context_creation_info info{};
    info.port = settings.callerAddress.port;
    info.iface = settings.callerAddress.ip.c_str();
    info.protocols = server->m_protocols.get();
    info.keepalive_timeout = keepAliveSeconds;
    info.timeout_secs = static_cast<unsigned int>(settings.headTimeout.count());
    info.timeout_secs_ah_idle = static_cast<unsigned int>(settings.headTimeout.count());
    info.vhost_name = "caller";
    if (!settings.certificateFile.empty()) {
        info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
        info.ssl_cert_filepath = settings.certificateFile.c_str();
        info.ssl_private_key_filepath = settings.privateKeyFile.c_str();
        info.alpn = "h2,http/1.1";
    }
    if (lws_create_vhost(loop.context(), &info) == nullptr)
        return nullptr;
    return server;
}

CallerServer::CallerServer(Events events, std::size_t maxConnections)
    : m_events(std::move(events))
    , m_maxConnections(maxConnections)
{}

CallerServer::~CallerServer() = default;

CallerServer::Session *CallerServer::find(RequestId id) const
{
    const auto found = m_sessions.find(id);
    return found == m_sessions.end() ? nullptr : found->second.get();
}

int CallerServer::callback(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    const lws_protocols *protocol = connection == nullptr ? nullptr : lws_get_protocol(connection);
    if (protocol == nullptr || protocol->user == nullptr)
        return 0;
    auto &server = *static_cast<CallerServer *>(protocol->user);
    auto *data = static_cast<UserData *>(user);
    Session *session = data == nullptr ? nullptr : server.find(data->id);
    switch (reason) {
    case LWS_CALLBACK_FILTER_NETWORK_CONNECTION:
        return server.m_connections >= server.m_maxConnections ? 1 : 0;
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
        ++server.m_connections;
        return 0;
    case LWS_CALLBACK_WSI_DESTROY:
        if (server.m_connections > 0)
            --server.m_connections;
        return 0;
    case LWS_CALLBACK_HTTP:
        return server.onHead(connection, user, { static_cast<const char *>(in), length });
    case LWS_CALLBACK_HTTP_BODY:
        if (session != nullptr)
            server.m_events.onBody(session->id, { static_cast<const char *>(in), length });
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (session == nullptr)
            return -1;
        // The library repeats this without end while anything stands behind the body: a pipelined
        // request, or the rest of a body whose length it has misread.
        if (session->bodyCompletions++ > 0)
            return session->whole ? server.onWriteable(connection, *session) : -1;
        if (!session->bodyComplete) {
            session->bodyComplete = true;
            lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
            server.m_events.onBodyEnd(session->id);
        }
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return session == nullptr ? 0 : server.onWriteable(connection, *session);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        server.onClosed(user);
        return 0;
    default:
        return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user,
                                       in, length);
    }
}

int CallerServer::onHead(lws *connection, void *user, std::string_view path)
{
    if (m_events.onLookup(connection, path))
        return lws_http_transaction_completed(connection) != 0 || m_closing ? -1 : 0;
    auto head = readRequestHead(connection, path);
    auto owned = std::make_unique<Session>();
    Session &session = *owned;
    session.id = m_nextId++;
    session.connection = connection;
    session.http2 = lws_get_network_wsi(connection) != connection;
    session.isHttp10 = head && head.value().isHttp10;
    session.headRequest = head && head.value().method == "HEAD";
    session.bodyComplete = head && !head.value().hasBody();
    static_cast<UserData *>(user)->id = session.id;
    const RequestId id = session.id;
    const bool complete = session.bodyComplete;
    m_sessions.emplace(id, std::move(owned));
    if (complete)
        lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
    m_events.onRequest(id, std::move(head));
    if (complete && find(id) != nullptr)
        m_events.onBodyEnd(id);
    return 0;
}

void CallerServer::onClosed(void *user)
{
    auto *data = static_cast<UserData *>(user);
    if (data == nullptr || data->id == 0)
        return;
    const RequestId id = std::exchange(data->id, 0);
    if (m_sessions.erase(id) > 0)
        m_events.onGone(id);
}

void CallerServer::dropGone(Time now)
{
    if (now - m_lastGoneCheck < goneCheckInterval)
        return;
    m_lastGoneCheck = now;
    for (const auto &[id, session] : m_sessions) {
        if (session->http2 || !session->bodyComplete || session->waiting() > 0)
            continue;
        char byte = 0;
        const int descriptor = lws_get_socket_fd(session->connection);
        const ssize_t length = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool open = length > 0 || (length < 0 && (errno == EAGAIN || errno == EINTR));
        if (!open)
            lws_set_timeout(session->connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void CallerServer::answer(RequestId id, HttpResponse answer)
{
    Session *session = find(id);
    if (session == nullptr)
        return;
    session->whole = std::move(answer);
    lws_callback_on_writable(session->connection);
}

void CallerServer::sendContinue(RequestId id)
{
    Session *session = find(id);
    if (session == nullptr || session->http2)
        return;
    session->sendContinue = true;
    lws_callback_on_writable(session->connection);
}

void CallerServer::startAnswer(RequestId id, int status, const std::vector<HttpHeader> &headers,
                               std::optional<std::size_t> length)
{
    Session *session = find(id);
    if (session == nullptr)
        return;
    session->streamHead = HttpResponse{ status, "", headers, "" };
    session->streamLength = length;
    if (length || session->http2 || session->isHttp10 || session->headRequest || isBodyless(status))
        session->framing = length ? Framing::Length : Framing::None;
    else
        session->framing = Framing::Chunks;
    lws_callback_on_writable(session->connection);
}

void CallerServer::appendBody(RequestId id, std::string_view bytes)
{
    Session *session = find(id);
    if (session == nullptr)
        return;
    session->out.append(bytes);
    lws_callback_on_writable(session->connection);
}

void CallerServer::finishAnswer(RequestId id)
{
    Session *session = find(id);
    if (session == nullptr)
        return;
    session->finished = true;
    lws_callback_on_writable(session->connection);
}

void CallerServer::cut(RequestId id)
{
    Session *session = find(id);
    if (session == nullptr)
        return;
    session->cut = true;
    lws_callback_on_writable(session->connection);
}

std::size_t CallerServer::buffered(RequestId id) const
{
    const Session *session = find(id);
    return session == nullptr ? 0 : session->waiting();
}

void CallerServer::pauseBody(RequestId id, bool paused)
{
    Session *session = find(id);
    if (session == nullptr || session->bodyPaused == paused)
        return;
    session->bodyPaused = paused;
    lws_rx_flow_control(session->connection, paused ? 0 : 1);
}

int CallerServer::onWriteable(lws *connection, Session &session)
{
    if (session.sendContinue) {
        session.sendContinue = false;
        std::string line(LWS_PRE, '\0');
        line += "HTTP/1.1 100 Continue\r\n\r\n";
        if (lws_write(connection, reinterpret_cast<unsigned char *>(line.data()) + LWS_PRE,
                      line.size() - LWS_PRE, LWS_WRITE_HTTP_HEADERS)
            < 0)
            return -1;
        lws_callback_on_writable(connection);
        return 0;
    }
    if (session.whole) {
        HttpResponse answer = std::move(*session.whole);
        const bool close = !session.bodyComplete || m_closing;
        if (session.headRequest)
            answer.body.clear();
        if (!lws_util::writeResponse(connection, answer, close))
            return -1;
        return endTransaction(connection, session);
    }
    if (session.streamHead && !session.headWritten)
        return writeHead(connection, session);
    if (session.headWritten)
        return writeBody(connection, session);
    return session.cut ? endCut(connection, session) : 0;
}

// The library ends an HTTP/2 stream without a word to its caller, so the whole connection goes.
int CallerServer::endCut(lws *connection, const Session &session)
{
    if (session.http2)
        lws_set_timeout(lws_get_network_wsi(connection), PENDING_TIMEOUT_USER_OK,
                        LWS_TO_KILL_ASYNC);
    return -1;
}

int CallerServer::writeHead(lws *connection, Session &session)
{
    std::size_t room = 1024;
    for (const HttpHeader &header : session.streamHead->headers)
        room += header.name.size() + header.value.size() + 8;
    std::string buffer(LWS_PRE + room, '\0');
    auto *start = reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE;
    unsigned char *at = start;
    unsigned char *end = start + room;
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string nameWithColon = name + ":";
        return lws_add_http_header_by_name(
                       connection, reinterpret_cast<const unsigned char *>(nameWithColon.c_str()),
                       reinterpret_cast<const unsigned char *>(value.data()),
                       static_cast<int>(value.size()), &at, end)
               == 0;
    };
    const int status = session.streamHead->status;
    bool added = lws_add_http_header_status(connection, static_cast<unsigned int>(status), &at, end)
                 == 0;
    for (const HttpHeader &header : session.streamHead->headers)
        added = added && add(header.name, header.value);
    if (session.framing == Framing::Length)
        added = added
                && lws_add_http_header_content_length(connection, *session.streamLength, &at, end)
                           == 0;
    if (session.framing == Framing::Chunks)
        added = added && add("transfer-encoding", "chunked");
    const bool close = m_closing || !session.bodyComplete
                       || (session.isHttp10 && session.framing == Framing::None);
    if (close && !session.http2)
        added = added && add("connection", "close");
    if (!added || lws_finalize_http_header(connection, &at, end) != 0)
        return -1;
    session.headWritten = true;
    const bool ends = session.http2 && (session.headRequest || isBodyless(status));
    const auto flags = static_cast<lws_write_protocol>(LWS_WRITE_HTTP_HEADERS
                                                       | (ends ? LWS_WRITE_H2_STREAM_END : 0));
    if (lws_write(connection, start, static_cast<std::size_t>(at - start), flags) < 0)
        return -1;
    lws_callback_on_writable(connection);
    return 0;
}

int CallerServer::writeBody(lws *connection, Session &session)
{
    const bool bodyless = session.headRequest || isBodyless(session.streamHead->status);
    if (session.waiting() == 0 || bodyless) {
        if (session.cut)
            return endCut(connection, session);
        if (!session.finished)
            return 0;
        if (session.framing == Framing::Chunks) {
            std::string last(LWS_PRE, '\0');
            last += "0\r\n\r\n";
            if (lws_write(connection, reinterpret_cast<unsigned char *>(last.data()) + LWS_PRE, 5,
                          LWS_WRITE_HTTP_HEADERS)
                < 0)
                return -1;
        } else if (session.http2 && !bodyless) {
            std::string empty(LWS_PRE + 1, '\0');
            lws_write(connection, reinterpret_cast<unsigned char *>(empty.data()) + LWS_PRE, 0,
                      LWS_WRITE_HTTP_FINAL);
        }
        return endTransaction(connection, session);
    }
    std::size_t part = std::min(session.waiting(), session.http2 ? frameBytes : writeBytes);
    const auto allowance = lws_get_peer_write_allowance(connection);
    if (allowance == 0)
        return 0;
    if (allowance > 0)
        part = std::min(part, static_cast<std::size_t>(allowance));
    std::string buffer(LWS_PRE, '\0');
    buffer.reserve(LWS_PRE + part + 2 * chunkHeadBytes);
    if (session.framing == Framing::Chunks) {
        std::array<char, chunkHeadBytes> head{};
        std::snprintf(head.data(), head.size(), "%zx\r\n", part);
        buffer += head.data();
    }
    buffer.append(session.out, session.outAt, part);
    if (session.framing == Framing::Chunks)
        buffer += "\r\n";
    session.outAt += part;
    if (session.outAt == session.out.size()) {
        session.out.clear();
        session.outAt = 0;
    }
    // The library counts down the length that it announced; chunks are written as they are.
    const auto kind = session.framing == Framing::Chunks ? LWS_WRITE_HTTP_HEADERS : LWS_WRITE_HTTP;
    if (lws_write(connection, reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE,
                  buffer.size() - LWS_PRE, kind)
        < 0)
        return -1;
    lws_callback_on_writable(connection);
    if (session.waiting() <= lowWaterBytes)
        m_events.onDrained(session.id);
    return 0;
}

int CallerServer::endTransaction(lws *connection, Session &session)
{
    const bool close = !session.bodyComplete || m_closing
                       || (session.isHttp10 && session.framing == Framing::None && !session.whole);
    auto *data = static_cast<UserData *>(lws_wsi_user(connection));
    data->id = 0;
    if (session.bodyPaused)
        lws_rx_flow_control(connection, 1);
    m_sessions.erase(session.id);
    if (close)
        return -1;
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

} // namespace basildeck
