#pragma once

#include "config/FleetConfig.h"
#include "decide/memory/MemoryBudget.h"
#include "edge/ForwardedRequest.h"
#include "edge/TcpStream.h"
#include "http/HttpParser.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basildeck {

// The functions that handle the requests of a server.
struct RequestHandler
{
    using RequestId = std::uint64_t;

    // Handles a complete request. The response may be written before this returns.
    std::function<RequestId(IncomingRequest)> submit;
    // Writes a refusal for a request that is invalid, too large or incomplete.
    std::function<void(const ResponseSink &, ErrorKind)> refuseUnreadable;
    // The caller of a request has disconnected.
    std::function<void(RequestId)> callerDisconnected;
    // The output buffer of a request's connection has been drained.
    std::function<void(RequestId)> callerOutputDrained;
    // The response to a request is the next one of its connection (see ResponseSink::isNext).
    std::function<void(RequestId)> responseIsNext = [](RequestId) {};
};

// The state shared by the connections of one server.
struct CallerContext
{
    EventLoop &loop;
    RequestHandler handler;
    CallerLimits limits;
    MemoryBudget &memory;
    bool closeAfterResponse = false; // close connections after their responses
    std::size_t memoryWaits = 0;     // connections whose body waits for memory
    // Called when the first connection waits. checkMemoryWait() is to be called until none does.
    std::function<void()> onMemoryWait = {};
};

// The server side of an HTTP/1.1 connection. Reads requests, which may be pipelined, and writes the
// responses in the order of the requests.
class CallerConnection
{
public:
    // Maximum number of requests of a connection that are processed at the same time.
    static constexpr std::size_t maxPipelinedRequests = 16;
    // How long to wait for the caller's end of stream after the last response.
    static constexpr Duration lingerTimeout = milliseconds(1000);

    CallerConnection(CallerContext &context, int descriptor, std::function<void()> onClosed);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Enforces the header and idle timeouts. An idle connection is closed without reading input
    // that arrives meanwhile, so the caller cannot take a request in that input for an accepted
    // one.
    void tick(Time now);
    // Continues to read a body that waits for memory, or refuses it when it has waited too long.
    void checkMemoryWait(Time now);
    // Reads no further requests if some are pending, and closes once those are answered. Without a
    // pending request, or behind a response that has begun without telling of the close, a request
    // that is in transit is still read, and answered by the handler; the connection closes after
    // that response, or when it has been idle for the linger timeout.
    void stopAcceptingRequests(Time now);
    // Output that the kernel has not taken yet.
    std::size_t unsentBytes() const { return m_stream->pendingOutput(); }

private:
    struct PendingResponse
    {
        std::uint64_t id = 0;
        RequestHandler::RequestId request = 0;
        bool hasHead = false;
        bool isDone = false;
        bool closesConnection = false;
        std::string output; // buffered until earlier responses are complete
    };

    void handleData(std::string_view bytes);
    void parseInput();
    void handleHead(MessageHead head);
    void handleBody(std::string_view bytes);
    // Pauses reading until a body may take this many bytes. It takes them at once if it may.
    void requestMemory(std::size_t bytes);
    // Releases the body that is being read.
    void dropBody();
    void endMemoryWait();
    void updateReading();
    // The number of requests after which reading pauses; fewer if memory is short.
    std::size_t maxPending() const;
    // Counts the output that waits for earlier responses or for the caller.
    void countOutput();
    void submitRequest();
    void refuseInput(ErrorKind kind);

    ResponseSink makeSink(std::uint64_t id);
    PendingResponse *findPending(std::uint64_t id);
    PendingResponse &addPending();
    void writeResponseHead(std::uint64_t id, const std::string &head);
    void writeResponseBody(std::uint64_t id, std::string_view bytes);
    void finishResponse(std::uint64_t id, bool closesConnection);
    void abortResponse(bool isDelimitedByClose);
    void flushResponses();

    void closeAfterOutput();
    void closeNow();

    CallerContext &m_context;
    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    std::function<void()> m_onClosed;
    std::string m_input; // not yet parsed
    IncomingRequest m_incoming;
    std::string m_incomingBody;
    MemoryCharge m_bodyCharge;
    MemoryCharge m_outputCharge;
    // A body that may not be read on until memory is free.
    struct MemoryWait
    {
        MemoryBudget::WaitId id = 0;
        std::size_t bytes = 0; // that the body needs
        Time until{};
    };
    std::optional<MemoryWait> m_memoryWait;
    bool m_expectsContinue = false; // the caller sends the body when told to
    std::deque<PendingResponse> m_pendingResponses;
    std::uint64_t m_nextId = 1;
    Time m_connectedAt;
    Time m_lastInput;
    Time m_idleSince; // the last input or the end of the last response, whichever is later
    Time m_messageStart;
    Time m_lingerUntil;
    bool m_acceptsInput = true; // false once the connection is about to close
    bool m_closesWhenIdle = false;
    bool m_hasDiscardedInput = false;
    bool m_isLingering = false;
    bool m_isClosed = false;
};

} // namespace basildeck
