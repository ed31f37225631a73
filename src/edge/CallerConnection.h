#pragma once

#include "config/FleetConfig.h"
#include "edge/ForwardedRequest.h"
#include "edge/HttpParser.h"
#include "edge/TcpStream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace basildeck {

// Who answers the requests of a server.
struct RequestHandler
{
    using RequestId = std::uint64_t;

    // Takes a whole request. The answer may come before this returns.
    std::function<RequestId(IncomingRequest)> submit;
    // Answers what could not be read as a request.
    std::function<void(const ResponseSink &, ErrorKind)> refuseIncomplete;
    // The caller of a request has gone.
    std::function<void(RequestId)> callerDisconnected;
    // The connection of a request takes output again.
    std::function<void(RequestId)> callerOutputDrained;
};

// What the connections of one server have in common.
struct CallerContext
{
    EventLoop &loop;
    RequestHandler handler;
    CallerLimits limits;
    bool closeAfterResponse = false;      // answers end their connections
    std::size_t bufferedBodyBytes = 0;    // of requests that are being read
    std::size_t maxBufferedBodyBytes = 0; // of all requests that are being read together
};

// A caller's HTTP/1.1 connection: reads requests, also pipelined ones, and answers them in order.
class CallerConnection
{
public:
    // Requests of one connection that are worked on at the same time.
    static constexpr std::size_t maxPipelinedRequests = 16;
    // How long the caller's end of stream is awaited after the last answer.
    static constexpr Duration lingerTimeout = milliseconds(1000);

    CallerConnection(CallerContext &context, int descriptor, std::function<void()> ended);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Ends connections whose caller is too slow, or idle for too long.
    void tick(Time now);
    // Takes no further requests and ends once those that were taken are answered.
    void stopAcceptingRequests(Time now);

private:
    struct Pending
    {
        std::uint64_t number = 0;
        RequestHandler::RequestId request = 0;
        bool hasHead = false;
        bool isDone = false;
        bool endsConnection = false;
        std::string output; // held back behind earlier answers
    };

    void takeBytes(std::string_view bytes);
    void parseInput();
    void takeHead(MessageHead head);
    void takeBody(std::string_view bytes);
    void takeRequest();
    void refuseInput(ErrorKind kind);

    ResponseSink makeSink(std::uint64_t number);
    Pending *find(std::uint64_t number);
    Pending &addPending();
    void answerHead(std::uint64_t number, const std::string &head);
    void answerBody(std::uint64_t number, std::string_view bytes);
    void answerDone(std::uint64_t number, bool endsConnection);
    void cut();
    void flushAnswers();

    // Ends a connection without requests. One that was idle for long is closed at once: input that
    // crosses that is left unread, so it cannot pass for a request that was taken.
    void endIdle(Time now);
    void endAfterOutput();
    void end();

    CallerContext &m_context;
    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    std::function<void()> m_ended;
    std::string m_input; // not parsed yet
    IncomingRequest m_reading;
    std::size_t m_readingBody = 0;
    std::deque<Pending> m_pending;
    std::uint64_t m_nextNumber = 1;
    Time m_lastInput;
    Time m_idleSince; // the last input, or the end of the last answer if that came later
    Time m_messageBegan;
    Time m_lingerUntil;
    bool m_takesInput = true; // false once the connection is about to end
    bool m_lingers = false;
    bool m_hasEnded = false;
};

} // namespace basildeck
