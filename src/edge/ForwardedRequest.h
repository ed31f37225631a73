#pragma once

#include "basildeck/Time.h"
#include "decide/ConcurrencyLimiter.h"
#include "edge/ClientConnection.h"
#include "edge/RoutingTable.h"
#include "edge/WireNames.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Where the answer to a request goes. Calls come in this order: head, any number of bodies, and
// finish or cut.
struct AnswerSink
{
    // Status line and fields, without the empty line behind them.
    std::function<void(const std::string &)> head;
    std::function<void(std::string_view)> body;
    // The answer is whole; the connection may have to end with it.
    std::function<void(bool endsConnection)> finish;
    // The answer cannot be completed: the caller must see that.
    std::function<void()> cut;
    // Output has piled up: the answer is to be read more slowly.
    std::function<bool()> isCongested;
};

// A whole request of a caller.
struct IncomingRequest
{
    MessageHead head;
    std::string body;
    Time received;
    AnswerSink sink;
};

// The answer of a target as far as it has arrived.
struct TargetAnswer
{
    MessageHead head;
    std::string body;         // held back so far
    bool notRun = false;      // the target says that it did not run the request
    bool wrongTarget = false; // another target has the address
    bool streaming = false;   // the caller has got the head
};

// A request on its way through this VM.
struct ForwardedRequest
{
    std::uint64_t id = 0;
    IncomingRequest incoming;
    std::string callerRequestId;
    std::shared_ptr<RoutingTable> routing; // in force when the request came
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; // null on open routes
    std::string service;
    std::vector<std::string> allowedRegions;
    std::uint64_t object = 0;      // hash that places the request
    std::uint64_t fingerprint = 0; // equal for repeats of the same request
    int priority = 0;
    Time objective;
    Time deadline;

    int sends = 0; // targets that the request was sent to
    std::vector<std::string> tried;
    bool mayHaveRun = false;
    std::string target;         // that it waits for or runs on
    bool waitsForToken = false; // of its organisation's quota
    bool isWaiting = false;     // in the queue of the target's gate
    bool isRunning = false;     // sent, or about to be sent on a new connection
    bool isCongested = false;   // reading from the target is stopped
    Time sentAt;
    std::unique_ptr<ClientConnection> connection;
    TargetAnswer answer;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> connectTimer;
    std::unique_ptr<Timer> waitTimer; // ends a wait that would make the request late

    bool isIdempotent() const { return route->idempotence == Idempotence::Always; }
};

// The bytes that are sent to a target.
std::string targetRequest(const ForwardedRequest &request, const WireNames &names, Time now);

// Status line and fields of a target's answer for the caller, with the framing of a body of the
// given size, or chunked where it is not known. HTTP/1.0 callers get no chunks.
std::string callerAnswerHead(const ForwardedRequest &request, std::optional<std::size_t> bodySize);

// Status line and fields of an answer that basildeck makes itself.
struct OwnAnswer
{
    std::string head;
    std::string body;
};
OwnAnswer refusalAnswer(ErrorKind kind, int status, const std::string &requestIdName,
                        const std::string &requestId, Duration retryAfter);

} // namespace basildeck
