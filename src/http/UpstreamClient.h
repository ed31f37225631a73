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
    bool boundsReceiving = false; // the kernel keeps few unread bytes of the answer
};

// The head of an upstream's answer.
struct UpstreamHead
{
    int status = 0;
    std::vector<HttpHeader> headers;
    std::optional<std::size_t> contentLength;
    bool bodyless = false; // complete with the head
    bool framed = false;   // the end of the body can be told from a cut
    bool notRun = false;   // the upstream says that it did not run the request
};

// How an attempt ended.
enum class AttemptEnd {
    Whole,         // the answer arrived to its end
    ConnectFailed, // no byte of the request was sent
    Lost,          // the connection ended before the answer did
};

// The streaming client towards upstreams. An attempt is one request on a connection of its own. All
// calls are made on the loop's thread.
class UpstreamClient
{
public:
    using AttemptId = std::uint64_t;

    // A part of a request body; last is true if nothing follows it.
    struct BodyPart
    {
        std::string_view bytes;
        bool last = false;
    };

    struct Events
    {
        std::function<BodyPart(AttemptId id, std::size_t maxBytes)> takeBody;
        std::function<void(AttemptId id, const UpstreamHead &head)> onHead;
        std::function<void(AttemptId id, std::string_view bytes)> onData;
        std::function<void(AttemptId id, AttemptEnd end)> onEnd;
    };

    static std::unique_ptr<UpstreamClient> make(LwsLoop &loop, Events events);
    ~UpstreamClient();

    // Opens an attempt. Its events follow after the call has returned; onEnd is the last one.
    AttemptId open(const Address &address, UpstreamRequest request);
    // More of the request body can be taken.
    void bodyReady(AttemptId id);
    // Stops and restarts reading of the answer.
    void pause(AttemptId id, bool paused);
    // Ends an attempt without further events, so that the upstream sees its caller leave.
    void cancel(AttemptId id);

    // Reports attempts that failed while they were opened. Called at each tick.
    void reportFailed();
    std::size_t openAttempts() const { return m_attempts.size(); }

private:
    struct Attempt;

    UpstreamClient(LwsLoop &loop, Events events);
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int dispatch(lws *connection, Attempt &attempt, int reason, void *in, std::size_t length);
    static int appendHeaders(lws *connection, Attempt &attempt, void *in, std::size_t length);
    int writeBody(lws *connection, Attempt &attempt);
    int onHead(lws *connection, Attempt &attempt);
    int onReadable(lws *connection, Attempt &attempt);
    void finish(AttemptId id, AttemptEnd end);

    LwsLoop &m_loop;
    Events m_events;
    lws_vhost *m_vhost = nullptr;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::unordered_map<AttemptId, std::unique_ptr<Attempt>> m_attempts;
    std::vector<AttemptId> m_failed;
    AttemptId m_nextId = 1;
};

} // namespace basildeck
