#pragma once

#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "decide/ClaimRegistry.h"
#include "decide/TargetPool.h"
#include "http/ProxyServer.h"
#include "http/RequestHead.h"
#include "http/UpstreamClient.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace basildeck {

// The stages of a request, by what it waits for.
enum class Stage {
    Rate,      // a rate limit token of its organisation
    Body,      // the rest of a small request body
    Claim,     // the claim on its idempotency key
    Queue,     // a free slot of a target
    Running,   // the head of the upstream's response
    Answering, // the rest of the upstream's response
};

// Returns "rate", "body", "claim", "queue", "running" or "answering".
std::string_view stageName(Stage stage);

// The state of a caller's request, from its head to the end of the response.
struct Exchange
{
    ProxyServer::RequestId id = 0;
    RequestHead head;
    std::shared_ptr<const FleetConfig> config; // owns route and service
    const Route *route = nullptr;
    const Service *service = nullptr;
    std::string organisation; // empty on open routes if the request has no known API key
    std::string keyHash;
    Stage stage = Stage::Rate;
    Time receivedAt;
    Time deadline; // for the response head; afterwards for the next part of the response
    bool idempotent = false;

    std::string body;              // the received bytes that may still be sent, or sent again
    std::size_t bodyBytesSent = 0; // bytes of `body` that the current attempt has sent
    bool bodyComplete = false;
    bool bodyDiscarded = false; // a sent part was freed, so the request cannot be retried
    std::size_t bodyBytesReceived = 0;

    std::optional<UpstreamClient::AttemptId> attempt;
    TargetPool::Choice slot;
    Time attemptStartedAt;
    std::set<std::string> triedTargets;
    int attemptCount = 0;
    bool mayHaveRun = false; // an upstream may have run one of the attempts

    std::optional<ClaimId> claim;
    std::string claimKey;
    bool claimGranted = false;
    Time claimSentAt;
    ClaimOutcome outcome; // the response received so far

    std::uint64_t fingerprint = 0;
    bool pausedForCaller = false; // reading is paused because the caller reads too slowly
    bool pausedForLink = false; // reading is paused because the link between regions has no tokens
    bool linkReadPermitted = false; // one read over the link is permitted and outstanding
    bool bodyWaitsForLink = false; // the next part of the request body waits for tokens of the link
};

} // namespace basildeck
