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

// The listener for callers. Bodies are streamed in both directions; what is not yet read or written
// is bounded by pausing the other side. All calls are made on the loop's thread.
class CallerServer
{
public:
    using RequestId = std::uint64_t;

    // What the listener tells its owner. onGone is the last event of a request whose caller left
    // before the answer was whole.
    struct Events
    {
        std::function<bool(lws *connection, std::string_view path)> onLookup; // true: answered
        std::function<void(RequestId id, Result<RequestHead> head)> onRequest;
        std::function<void(RequestId id, std::string_view bytes)> onBody;
        std::function<void(RequestId id)> onBodyEnd;
        std::function<void(RequestId id)> onDrained;
        std::function<void(RequestId id)> onGone;
    };

    // How the end of a streamed answer is made known to the caller.
    enum class Framing { Length, Chunks, None };

    static constexpr std::size_t highWaterBytes = 256 * 1024;
    static constexpr std::size_t lowWaterBytes = 64 * 1024;

    // Returns null if the address is taken or the certificate cannot be used.
    static std::unique_ptr<CallerServer> make(LwsLoop &loop, const Settings &settings,
                                              Events events);
    ~CallerServer();

    // Sends a whole answer. A request whose body has not been read to its end is closed after it.
    void answer(RequestId id, HttpResponse answer);
    // Sends the interim answer for which a caller with "Expect: 100-continue" waits.
    void sendContinue(RequestId id);

    // Streams an answer: its head, then parts of the body, then its end. cut() ends the connection
    // so that the caller sees that the answer is not whole.
    void startAnswer(RequestId id, int status, const std::vector<HttpHeader> &headers,
                     std::optional<std::size_t> length);
    void appendBody(RequestId id, std::string_view bytes);
    void finishAnswer(RequestId id);
    void cut(RequestId id);

    // Bytes of an answer that wait for the caller.
    std::size_t buffered(RequestId id) const;
    // Stops and restarts reading of the caller's body.
    void pauseBody(RequestId id, bool paused);

    // Finds callers that have left while their request waits: the library does not look for that.
    void dropGone(Time now);

    // Open requests.
    std::size_t openRequests() const { return m_sessions.size(); }
    std::size_t connections() const { return m_connections; }
    // After this, each connection is closed once its answer is sent.
    void closeIdleConnections() { m_closing = true; }

private:
    struct Session;

    CallerServer(Events events, std::size_t maxConnections);
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int onHead(lws *connection, void *user, std::string_view path);
    int onWriteable(lws *connection, Session &session);
    static int endCut(lws *connection, const Session &session);
    int writeHead(lws *connection, Session &session);
    int writeBody(lws *connection, Session &session);
    int endTransaction(lws *connection, Session &session);
    void onClosed(void *user);
    Session *find(RequestId id) const;

    Events m_events;
    std::size_t m_maxConnections;
    std::size_t m_connections = 0;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::unordered_map<RequestId, std::unique_ptr<Session>> m_sessions;
    RequestId m_nextId = 1;
    bool m_closing = false;
    Time m_lastGoneCheck;
};

} // namespace basildeck
