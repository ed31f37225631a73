#pragma once

#include "basildeck/Time.h"
#include "core/Metrics.h"
#include "decide/ConcurrencyLimiter.h"
#include "edge/ForwardingFields.h"
#include "edge/HttpClientConnection.h"
#include "edge/RoutingTable.h"
#include "edge/SharedBody.h"
#include "edge/WireNames.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Receives the response to a request. The calls are head, body any number of times, and then
// either finish or abort.
struct ResponseSink
{
    // The status line and header fields, without the terminating empty line.
    std::function<void(const std::string &)> head;
    std::function<void(std::string_view)> body;
    // The response is complete. closesConnection tells that it is delimited by the end of the
    // connection, or that the connection cannot be reused.
    std::function<void(bool closesConnection)> finish;
    // The response, which has begun and is the next one, cannot be completed. This must be visible
    // to the caller: if the response is delimited by the end of the connection, only a reset shows
    // it, which may discard earlier responses that the caller has not received yet.
    std::function<void(bool isDelimitedByClose)> abort;
    // Whether so much output is buffered that reading the response should be paused.
    std::function<bool()> isCongested;
    // Whether all earlier responses of the connection are complete, so that this one is sent as it
    // is written. Until then it can still be replaced by another response.
    std::function<bool()> isNext;
};

// A complete request from a caller.
struct IncomingRequest
{
    MessageHead head;
    SharedBody body;
    Time connectedAt; // when the caller's connection was accepted
    Time receivedAt;  // when the first byte arrived
    ResponseSink sink;
};

// The part of a target's response that has arrived.
struct TargetResponse
{
    MessageHead head;
    std::string body;             // buffered so far
    MemoryCharge charge;          // of body
    std::size_t droppedBytes = 0; // of a body that cannot go to the caller
    bool notExecuted = false;     // the target reports that it did not execute the request
    bool isMisdirected = false;   // the address belongs to another target
    // Has no request id although the connection was used before, so it may be a repetition of the
    // response to an earlier request.
    bool isUnidentified = false;
    bool isStreaming = false;   // the head was sent to the caller
    bool isRunRecorded = false; // the run has ended for the target, which only has to send the rest
    std::optional<ForwardingOutcome> outcome; // as told by the peer that sent this response

    void dropBody()
    {
        body = {};
        charge = {};
    }
};

// The failure of a first attempt whose request waits for its second attempt.
struct FailedFirstAttempt
{
    RetryReason reason; // of a retry, should the second attempt fail as well
    ErrorKind kind;     // of the refusal, if there is no retry
};

// What links a request to its second attempt, which is a request of its own.
struct HedgeLink
{
    // In the first request.
    std::unique_ptr<Timer> timer; // starts the second attempt
    Duration delay{ 0 };          // after which it starts
    std::uint64_t second = 0;     // the open second attempt; 0 if there is none
    bool isUsed = false;          // there is or was a second attempt
    bool isSecondWinner = false;
    std::optional<FailedFirstAttempt> failure;
    // In the second one.
    std::uint64_t first = 0;
    // In both.
    Duration expectedRun{ 0 }; // when it was sent; zero if it was unknown
};

// The state of a request that this VM forwards.
struct ForwardedRequest
{
    std::uint64_t id = 0;
    IncomingRequest incoming;
    std::string callerRequestId;
    std::shared_ptr<RoutingTable> routing; // in effect when the request arrived
    const Route *route = nullptr;
    const Organisation *organisation = nullptr; // null on open routes
    std::string service;
    std::vector<std::string> allowedRegions;
    std::uint64_t placementHash = 0; // selects the targets for the request
    std::uint64_t fingerprint = 0;   // identical for repetitions of a request
    // Where the object of the request is placed; empty if it has none, or before the first choice.
    std::string homeTarget;
    bool isLate = false; // sent, or queued, without a prospect of meeting the objective
    int priority = 0;
    Time submittedAt; // when the request had been read completely
    Time softDeadline;
    Time deadline;

    int maxAttempts = 1;  // number of targets that it may be sent to
    int attemptCount = 0; // how often the request was sent
    std::vector<std::string> triedTargets;
    std::string takenFor; // the VM that forwarded it to this one; empty if it came from a caller
    std::string peer;     // through which it is sent; empty if to a target directly
    int peerAttempts = 0; // part of attemptCount that the peer may use
    std::vector<std::string> triedPeers;
    bool staysWithPeers = false; // not to be sent to a target directly
    bool mayHaveRun = false;
    std::string targetId;            // for which it is queued or to which it was sent
    bool isWaitingForToken = false;  // from its organisation's quota
    bool isQueued = false;           // in the target's queue
    bool isWaitingForPermit = false; // from the target's coordinator
    std::uint64_t permitNumber = 0;  // of the permit that it waits for or holds, 0 if none
    std::string localTarget;         // whose coordinator did not reply to it
    std::vector<std::string> decliningTargets; // whose coordinators declined it
    Duration declineRetryAfter{ 0 };           // as told by the last of them
    bool isInFlight = false;                   // sent, or about to be sent on a new connection
    bool isReadingPaused = false;      // because the caller reads too slowly or for lack of memory
    bool isDispatchedWhenNext = false; // waits until its response is the next of its connection
    Time sentAt;
    std::unique_ptr<HttpClientConnection> connection;
    bool isConnectionReused = false; // it carried earlier requests
    TargetResponse response;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> connectTimer;
    std::unique_ptr<Timer> queueTimer; // limits the time in the queue
    HedgeLink hedge;

    // Whether this is the second attempt of another request, to which its response goes.
    bool isSecondAttempt() const { return hedge.first != 0; }
    bool isIdempotent() const { return route->idempotence == Idempotence::Always; }
};

// Returns the head of the request as sent to a target. The body is sent from where it is held.
std::string serializeTargetHead(const ForwardedRequest &request, const WireNames &names, Time now);

// Returns the head of the request as sent to a peer, with what this VM has decided about it.
std::string serializePeerHead(const ForwardedRequest &request, const WireNames &names,
                              const ForwardingTerms &terms);

// Returns the status line and header fields of a target's response for the caller. If the body size
// is unknown, the response is chunked, or delimited by the end of the connection for HTTP/1.0.
std::string serializeResponseHead(const ForwardedRequest &request, const WireNames &names,
                                  std::optional<std::size_t> bodySize);

// A response generated by basildeck itself.
struct LocalReply
{
    std::string head;
    std::string body;
};
LocalReply makeRefusal(ErrorKind kind, int status, const std::string &requestIdName,
                       const std::string &requestId, Duration retryAfter);

} // namespace basildeck
