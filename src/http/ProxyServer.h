#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Settings.h"
#include "http/HttpMessages.h"
#include "http/RequestHead.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

struct lws;
struct lws_protocols;

namespace basildeck {

class LwsLoop;

// The HTTP server for callers. Streams bodies in both directions; buffers are bounded by pausing
// the sending side (backpressure). All methods must be called on the loop's thread.
class ProxyServer
{
public:
    using RequestId = std::uint64_t;

    // Events of the server. onDisconnect is the last event of a request whose caller disconnected
    // before the response was complete.
    struct Events
    {
        // Returns true if the path is the lookup endpoint and a response was written.
        std::function<bool(lws *connection, std::string_view path)> onLookup;
        std::function<void(RequestId id, Result<RequestHead> head)> onRequest;
        std::function<void(RequestId id, std::string_view bytes)> onRequestBody;
        std::function<void(RequestId id)> onRequestBodyEnd;
        std::function<void(RequestId id)> onResponseDrained;
        std::function<void(RequestId id)> onDisconnect;
    };

    // How a streamed response marks the end of its body.
    enum class Framing { ContentLength, Chunked, None };

    static constexpr std::size_t highWaterBytes = 256 * 1024;
    static constexpr std::size_t lowWaterBytes = 64 * 1024;

    // Returns null if the address is taken or the certificate cannot be used.
    static std::unique_ptr<ProxyServer> make(LwsLoop &loop, const Settings &settings,
                                             Events events);
    ~ProxyServer();

    // Sends a complete response. Closes the connection afterwards if the request body has not been
    // read completely.
    void respond(RequestId id, HttpResponse response);
    // Sends the interim response 100 (Continue) to a request with "Expect: 100-continue".
    void sendContinue(RequestId id);

    // Stream a response: its head, then parts of its body, then its end. abortResponse() closes the
    // connection instead, so that the caller can detect the truncated response.
    void startResponse(RequestId id, int status, const std::vector<HttpHeader> &headers,
                       std::optional<std::size_t> length);
    void appendResponseBody(RequestId id, std::string_view bytes);
    void finishResponse(RequestId id);
    void abortResponse(RequestId id);

    // Returns the number of response bytes that are not yet written to the caller.
    std::size_t bufferedResponseBytes(RequestId id) const;
    // Pauses or resumes reading of the request body.
    void setRequestBodyPaused(RequestId id, bool paused);

    // Closes the connections of callers that disconnected while their request waits, which
    // libwebsockets does not detect by itself. Must be called at each tick.
    void closeDisconnected(Time now);

    std::size_t openRequests() const { return m_transactions.size(); }
    std::size_t connections() const { return m_connections; }
    // From now on, closes each connection after its current response.
    void closeConnectionsAfterResponse() { m_closing = true; }

private:
    struct Transaction;

    ProxyServer(Events events, std::size_t maxConnections);
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int onRequestHead(lws *connection, void *user, std::string_view path);
    int onWriteable(lws *connection, Transaction &transaction);
    static int abortConnection(lws *connection, const Transaction &transaction);
    int writeHead(lws *connection, Transaction &transaction);
    int writeBody(lws *connection, Transaction &transaction);
    int endTransaction(lws *connection, Transaction &transaction);
    void onClosed(void *user);
    Transaction *find(RequestId id) const;

    Events m_events;
    std::size_t m_maxConnections;
    std::size_t m_connections = 0;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::unordered_map<RequestId, std::unique_ptr<Transaction>> m_transactions;
    RequestId m_nextId = 1;
    bool m_closing = false;
    Time m_lastDisconnectCheck;
};

} // namespace basildeck
