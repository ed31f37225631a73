#include "http/ProxyServer.h"

#include "http/LwsLoop.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace basildeck {

struct ProxyServer::Transaction
{
    RequestId id = 0;
    lws *connection = nullptr;
    bool http2 = false;
    bool isHttp10 = false;
    bool isHeadRequest = false;
    bool requestBodyComplete = false;
    int bodyCompletionEvents = 0;
    bool requestBodyPaused = false;
    bool sendContinue = false;
    std::optional<HttpResponse> completeResponse;
    std::optional<HttpResponse> responseHead;
    std::optional<std::size_t> responseLength;
    bool headWritten = false;
    bool responseFinished = false;
    bool aborted = false;
    Framing framing = Framing::None;
    std::string responseBuffer;
    std::size_t responseBufferOffset = 0;

    std::size_t unsentBytes() const { return responseBuffer.size() - responseBufferOffset; }
};

namespace {

constexpr std::size_t maxWriteBytes = 64 * 1024;
// Fits into the smallest permitted maximum frame size of an HTTP/2 peer (RFC 9113, section 6.5.2),
// less the bytes that libwebsockets needs for the frame header.
constexpr std::size_t maxDataFrameBytes = 16 * 1024 - 64;
constexpr std::size_t maxChunkHeaderBytes = 16; // hexadecimal chunk size and CRLF
constexpr Duration disconnectCheckInterval = milliseconds(100);
constexpr unsigned int keepAliveTimeoutSeconds = 60;

// The data that libwebsockets allocates for each connection.
struct PerSessionData
{
    ProxyServer::RequestId id;
};

bool isBodyless(int status)
{
    return status == 204 || status == 304;
}

} // namespace

std::unique_ptr<ProxyServer> ProxyServer::make(LwsLoop &loop, const Settings &settings,
                                               Events events)
{
    std::unique_ptr<ProxyServer> server(
            new ProxyServer(std::move(events), settings.maxConnections));
    server->m_protocols = std::make_unique<lws_protocols[]>(2);
    lws_protocols &protocol = server->m_protocols[0];
    protocol.name = "caller";
    protocol.callback
            = [](lws *connection, lws_callback_reasons reason, void *user, void *in,
                 std::size_t length) { return callback(connection, reason, user, in, length); };
    protocol.per_session_data_size = sizeof(PerSessionData);
    protocol.user = server.get();
    lws_context_creation_info info{};
    info.port = settings.callerAddress.port;
    info.iface = settings.callerAddress.ip.c_str();
    info.protocols = server->m_protocols.get();
    info.keepalive_timeout = keepAliveTimeoutSeconds;
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

ProxyServer::ProxyServer(Events events, std::size_t maxConnections)
    : m_events(std::move(events))
    , m_maxConnections(maxConnections)
{}

ProxyServer::~ProxyServer() = default;

ProxyServer::Transaction *ProxyServer::find(RequestId id) const
{
    const auto found = m_transactions.find(id);
    return found == m_transactions.end() ? nullptr : found->second.get();
}

int ProxyServer::callback(lws *connection, int reason, void *user, void *in, std::size_t length)
{
    const lws_protocols *protocol = connection == nullptr ? nullptr : lws_get_protocol(connection);
    if (protocol == nullptr || protocol->user == nullptr)
        return 0;
    auto &server = *static_cast<ProxyServer *>(protocol->user);
    auto *data = static_cast<PerSessionData *>(user);
    Transaction *transaction = data == nullptr ? nullptr : server.find(data->id);
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
        return server.onRequestHead(connection, user, { static_cast<const char *>(in), length });
    case LWS_CALLBACK_HTTP_BODY:
        if (transaction != nullptr)
            server.m_events.onRequestBody(transaction->id,
                                          { static_cast<const char *>(in), length });
        return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (transaction == nullptr)
            return -1;
        // libwebsockets repeats this event indefinitely while data follows the body: a pipelined
        // request, or the rest of a body whose length it has parsed wrongly.
        if (transaction->bodyCompletionEvents++ > 0)
            return transaction->completeResponse ? server.onWriteable(connection, *transaction)
                                                 : -1;
        if (!transaction->requestBodyComplete) {
            transaction->requestBodyComplete = true;
            lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
            server.m_events.onRequestBodyEnd(transaction->id);
        }
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return transaction == nullptr ? 0 : server.onWriteable(connection, *transaction);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
        server.onClosed(user);
        return 0;
    default:
        return lws_callback_http_dummy(connection, static_cast<lws_callback_reasons>(reason), user,
                                       in, length);
    }
}

int ProxyServer::onRequestHead(lws *connection, void *user, std::string_view path)
{
    if (m_events.onLookup(connection, path))
        return lws_http_transaction_completed(connection) != 0 || m_closing ? -1 : 0;
    auto head = readRequestHead(connection, path);
    auto owned = std::make_unique<Transaction>();
    Transaction &transaction = *owned;
    transaction.id = m_nextId++;
    transaction.connection = connection;
    transaction.http2 = lws_get_network_wsi(connection) != connection;
    transaction.isHttp10 = head && head.value().isHttp10;
    transaction.isHeadRequest = head && head.value().method == "HEAD";
    transaction.requestBodyComplete = head && !head.value().hasBody();
    static_cast<PerSessionData *>(user)->id = transaction.id;
    const RequestId id = transaction.id;
    const bool complete = transaction.requestBodyComplete;
    m_transactions.emplace(id, std::move(owned));
    if (complete)
        lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
    m_events.onRequest(id, std::move(head));
    if (complete && find(id) != nullptr)
        m_events.onRequestBodyEnd(id);
    return 0;
}

void ProxyServer::onClosed(void *user)
{
    auto *data = static_cast<PerSessionData *>(user);
    if (data == nullptr || data->id == 0)
        return;
    const RequestId id = std::exchange(data->id, 0);
    if (m_transactions.erase(id) > 0)
        m_events.onDisconnect(id);
}

void ProxyServer::closeDisconnected(Time now)
{
    if (now - m_lastDisconnectCheck < disconnectCheckInterval)
        return;
    m_lastDisconnectCheck = now;
    for (const auto &[id, transaction] : m_transactions) {
        if (transaction->http2 || !transaction->requestBodyComplete
            || transaction->unsentBytes() > 0)
            continue;
        char byte = 0;
        const int descriptor = lws_get_socket_fd(transaction->connection);
        const ssize_t length = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool open = length > 0 || (length < 0 && (errno == EAGAIN || errno == EINTR));
        if (!open)
            lws_set_timeout(transaction->connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

void ProxyServer::respond(RequestId id, HttpResponse response)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr)
        return;
    transaction->completeResponse = std::move(response);
    lws_callback_on_writable(transaction->connection);
}

void ProxyServer::sendContinue(RequestId id)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr || transaction->http2)
        return;
    transaction->sendContinue = true;
    lws_callback_on_writable(transaction->connection);
}

void ProxyServer::startResponse(RequestId id, int status, const std::vector<HttpHeader> &headers,
                                std::optional<std::size_t> length)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr)
        return;
    transaction->responseHead = HttpResponse{ status, "", headers, "" };
    transaction->responseLength = length;
    if (length || transaction->http2 || transaction->isHttp10 || transaction->isHeadRequest
        || isBodyless(status))
        transaction->framing = length ? Framing::ContentLength : Framing::None;
    else
        transaction->framing = Framing::Chunked;
    lws_callback_on_writable(transaction->connection);
}

void ProxyServer::appendResponseBody(RequestId id, std::string_view bytes)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr)
        return;
    transaction->responseBuffer.append(bytes);
    lws_callback_on_writable(transaction->connection);
}

void ProxyServer::finishResponse(RequestId id)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr)
        return;
    transaction->responseFinished = true;
    lws_callback_on_writable(transaction->connection);
}

void ProxyServer::abortResponse(RequestId id)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr)
        return;
    transaction->aborted = true;
    lws_callback_on_writable(transaction->connection);
}

std::size_t ProxyServer::bufferedResponseBytes(RequestId id) const
{
    const Transaction *transaction = find(id);
    return transaction == nullptr ? 0 : transaction->unsentBytes();
}

void ProxyServer::setRequestBodyPaused(RequestId id, bool paused)
{
    Transaction *transaction = find(id);
    if (transaction == nullptr || transaction->requestBodyPaused == paused)
        return;
    transaction->requestBodyPaused = paused;
    lws_rx_flow_control(transaction->connection, paused ? 0 : 1);
}

int ProxyServer::onWriteable(lws *connection, Transaction &transaction)
{
    if (transaction.sendContinue) {
        transaction.sendContinue = false;
        std::string line(LWS_PRE, '\0');
        line += "HTTP/1.1 100 Continue\r\n\r\n";
        if (lws_write(connection, reinterpret_cast<unsigned char *>(line.data()) + LWS_PRE,
                      line.size() - LWS_PRE, LWS_WRITE_HTTP_HEADERS)
            < 0)
            return -1;
        lws_callback_on_writable(connection);
        return 0;
    }
    if (transaction.completeResponse) {
        HttpResponse response = std::move(*transaction.completeResponse);
        const bool close = !transaction.requestBodyComplete || m_closing;
        if (transaction.isHeadRequest)
            response.body.clear();
        if (!lws_util::writeResponse(connection, response, close))
            return -1;
        return endTransaction(connection, transaction);
    }
    if (transaction.responseHead && !transaction.headWritten)
        return writeHead(connection, transaction);
    if (transaction.headWritten)
        return writeBody(connection, transaction);
    return transaction.aborted ? abortConnection(connection, transaction) : 0;
}

// libwebsockets ends an HTTP/2 stream without notifying the caller, so the entire connection is
// closed.
int ProxyServer::abortConnection(lws *connection, const Transaction &transaction)
{
    if (transaction.http2)
        lws_set_timeout(lws_get_network_wsi(connection), PENDING_TIMEOUT_USER_OK,
                        LWS_TO_KILL_ASYNC);
    return -1;
}

int ProxyServer::writeHead(lws *connection, Transaction &transaction)
{
    std::size_t capacity = 1024;
    for (const HttpHeader &header : transaction.responseHead->headers)
        capacity += header.name.size() + header.value.size() + 8;
    std::string buffer(LWS_PRE + capacity, '\0');
    auto *start = reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE;
    unsigned char *cursor = start;
    unsigned char *end = start + capacity;
    const auto add = [&](const std::string &name, const std::string &value) {
        const std::string nameWithColon = name + ":";
        return lws_add_http_header_by_name(
                       connection, reinterpret_cast<const unsigned char *>(nameWithColon.c_str()),
                       reinterpret_cast<const unsigned char *>(value.data()),
                       static_cast<int>(value.size()), &cursor, end)
               == 0;
    };
    const int status = transaction.responseHead->status;
    bool added = lws_add_http_header_status(connection, static_cast<unsigned int>(status), &cursor,
                                            end)
                 == 0;
    for (const HttpHeader &header : transaction.responseHead->headers)
        added = added && add(header.name, header.value);
    if (transaction.framing == Framing::ContentLength)
        added = added
                && lws_add_http_header_content_length(connection, *transaction.responseLength,
                                                      &cursor, end)
                           == 0;
    if (transaction.framing == Framing::Chunked)
        added = added && add("transfer-encoding", "chunked");
    const bool close = m_closing || !transaction.requestBodyComplete
                       || (transaction.isHttp10 && transaction.framing == Framing::None);
    if (close && !transaction.http2)
        added = added && add("connection", "close");
    if (!added || lws_finalize_http_header(connection, &cursor, end) != 0)
        return -1;
    transaction.headWritten = true;
    const bool endsStream = transaction.http2 && (transaction.isHeadRequest || isBodyless(status));
    const auto flags = static_cast<lws_write_protocol>(
            LWS_WRITE_HTTP_HEADERS | (endsStream ? LWS_WRITE_H2_STREAM_END : 0));
    if (lws_write(connection, start, static_cast<std::size_t>(cursor - start), flags) < 0)
        return -1;
    lws_callback_on_writable(connection);
    return 0;
}

int ProxyServer::writeBody(lws *connection, Transaction &transaction)
{
    const bool bodyless = transaction.isHeadRequest || isBodyless(transaction.responseHead->status);
    if (transaction.unsentBytes() == 0 || bodyless) {
        if (transaction.aborted)
            return abortConnection(connection, transaction);
        if (!transaction.responseFinished)
            return 0;
        if (transaction.framing == Framing::Chunked) {
            std::string last(LWS_PRE, '\0');
            last += "0\r\n\r\n";
            if (lws_write(connection, reinterpret_cast<unsigned char *>(last.data()) + LWS_PRE, 5,
                          LWS_WRITE_HTTP_HEADERS)
                < 0)
                return -1;
        } else if (transaction.http2 && !bodyless) {
            std::string empty(LWS_PRE + 1, '\0');
            lws_write(connection, reinterpret_cast<unsigned char *>(empty.data()) + LWS_PRE, 0,
                      LWS_WRITE_HTTP_FINAL);
        }
        return endTransaction(connection, transaction);
    }
    std::size_t writeSize = std::min(transaction.unsentBytes(),
                                     transaction.http2 ? maxDataFrameBytes : maxWriteBytes);
    const auto allowance = lws_get_peer_write_allowance(connection);
    if (allowance == 0)
        return 0;
    if (allowance > 0)
        writeSize = std::min(writeSize, static_cast<std::size_t>(allowance));
    std::string buffer(LWS_PRE, '\0');
    buffer.reserve(LWS_PRE + writeSize + 2 * maxChunkHeaderBytes);
    if (transaction.framing == Framing::Chunked) {
        std::array<char, maxChunkHeaderBytes> chunkHeader{};
        std::snprintf(chunkHeader.data(), chunkHeader.size(), "%zx\r\n", writeSize);
        buffer += chunkHeader.data();
    }
    buffer.append(transaction.responseBuffer, transaction.responseBufferOffset, writeSize);
    if (transaction.framing == Framing::Chunked)
        buffer += "\r\n";
    transaction.responseBufferOffset += writeSize;
    if (transaction.responseBufferOffset == transaction.responseBuffer.size()) {
        transaction.responseBuffer.clear();
        transaction.responseBufferOffset = 0;
    }
    // With LWS_WRITE_HTTP libwebsockets counts the bytes against the Content-Length that it sent.
    // Chunks are already encoded and must be written verbatim.
    const auto writeMode
            = transaction.framing == Framing::Chunked ? LWS_WRITE_HTTP_HEADERS : LWS_WRITE_HTTP;
    if (lws_write(connection, reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE,
                  buffer.size() - LWS_PRE, writeMode)
        < 0)
        return -1;
    lws_callback_on_writable(connection);
    if (transaction.unsentBytes() <= lowWaterBytes)
        m_events.onResponseDrained(transaction.id);
    return 0;
}

int ProxyServer::endTransaction(lws *connection, Transaction &transaction)
{
    const bool close = !transaction.requestBodyComplete || m_closing
                       || (transaction.isHttp10 && transaction.framing == Framing::None
                           && !transaction.completeResponse);
    auto *data = static_cast<PerSessionData *>(lws_wsi_user(connection));
    data->id = 0;
    if (transaction.requestBodyPaused)
        lws_rx_flow_control(connection, 1);
    m_transactions.erase(transaction.id);
    if (close)
        return -1;
    return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
}

} // namespace basildeck
