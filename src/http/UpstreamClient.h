#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"
#include "http/HttpMessages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

struct lws;
struct lws_protocols;
struct lws_vhost;

namespace basildeck {

class LwsLoop;

// The head of a request to an upstream.
struct UpstreamRequest
{
    std::string method;
    std::string target; // path and query
    std::string host;
    std::vector<HttpHeader> headers;
    std::optional<std::size_t> contentLength;
    bool limitsReceiveBuffer = false; // bounds the unread response bytes in the kernel
};

// The head of an upstream's response.
struct UpstreamResponseHead
{
    int status = 0;
    std::vector<HttpHeader> headers;
    std::optional<std::size_t> contentLength;
    bool bodyless = false;      // the response ends with its head
    bool selfDelimited = false; // a truncated body can be detected (Content-Length or chunked)
    bool notRun = false;        // the upstream reports that it did not run the request
};

// The result of an attempt.
enum class AttemptResult {
    Complete,        // the complete response was received
    ConnectFailed,   // no byte of the request was sent
    InvalidResponse, // the status is invalid; the connection was closed
    // The connection was closed before the response was complete, or because it is not valid HTTP.
    ConnectionLost,
};

// An HTTP client that streams requests to upstreams. Each attempt sends one request on a connection
// of its own. All methods must be called on the loop's thread.
class UpstreamClient
{
public:
    using AttemptId = std::uint64_t;

    // A part of a request body. `last` marks the final part.
    struct BodyPart
    {
        std::string_view bytes;
        bool last = false;
    };

    struct Events
    {
        std::function<BodyPart(AttemptId id, std::size_t maxBytes)> takeRequestBody;
        std::function<void(AttemptId id, const UpstreamResponseHead &head)> onResponseHead;
        std::function<void(AttemptId id, std::string_view bytes)> onResponseData;
        std::function<void(AttemptId id, AttemptResult attemptResult)> onAttemptEnd;
    };

    static std::unique_ptr<UpstreamClient> make(LwsLoop &loop, Events events);
    ~UpstreamClient();

    // Starts an attempt. Its events follow after the call has returned; the last is onAttemptEnd.
    AttemptId startAttempt(const Address &address, UpstreamRequest request);
    // Signals that takeRequestBody can return more of the body.
    void notifyBodyAvailable(AttemptId id);
    // Pauses or resumes reading of the response.
    void setReadPaused(AttemptId id, bool paused);
    // Aborts an attempt without further events. The upstream sees the connection close.
    void cancel(AttemptId id);

    // Reports the attempts that failed in startAttempt(). Must be called at each tick.
    void reportFailedAttempts();
    std::size_t openAttempts() const { return m_attempts.size(); }

private:
    struct Attempt;

    UpstreamClient(LwsLoop &loop, Events events);
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int dispatch(lws *connection, Attempt &attempt, int reason, void *in, std::size_t length);
    static int writeHead(lws *connection, Attempt &attempt);
    int writeBody(lws *connection, Attempt &attempt);
    int receive(lws *connection, Attempt &attempt, std::string_view bytes);
    void finish(AttemptId id, AttemptResult attemptResult);

    LwsLoop &m_loop;
    Events m_events;
    lws_vhost *m_vhost = nullptr;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> m_attempts;
    std::vector<AttemptId> m_failedAttempts;
    AttemptId m_nextId = 1;
};

} // namespace basildeck
