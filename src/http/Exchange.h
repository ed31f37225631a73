#pragma once

#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "decide/ClaimBook.h"
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

// What a request is waiting for.
enum class Stage {
    Rate,      // a token of its organisation
    Body,      // the rest of a small body
    Claim,     // the right to run under its idempotency key
    Queue,     // a free slot of a target
    Running,   // the head of the upstream's answer
    Answering, // the rest of the answer
};

// "rate", "body", "claim", "queue", "running" or "answering".
std::string_view stageName(Stage stage);

// One request of a caller, from its head to the end of its answer.
struct Exchange
{
    ProxyServer::RequestId id = 0;
    RequestHead head;
    std::shared_ptr<const FleetConfig> config; // keeps route and service alive
    const Route *route = nullptr;
    const Service *service = nullptr;
    std::string organisation; // empty on open routes without a key
    std::string keyHash;
    Stage stage = Stage::Rate;
    Time arrived;
    Time deadline; // for the head of the answer; later for each further part of it
    bool idempotent = false;

    std::string body;          // received and not yet discarded
    std::size_t bodyTaken = 0; // bytes of it that the current attempt has taken
    bool bodyEnded = false;
    bool bodyDiscarded = false; // a part is gone, so that the request cannot be sent again
    std::size_t bodyReceived = 0;

    std::optional<UpstreamClient::AttemptId> attempt;
    TargetPool::Choice slot;
    Time attemptStarted;
    std::set<std::string> triedTargets;
    int attempts = 0;
    bool mayHaveRun = false; // some attempt may have been run by its upstream

    std::optional<ClaimId> claim;
    std::string claimKey;
    bool claimGranted = false;
    Time claimSent;
    ClaimOutcome outcome; // of the answer that is under way

    std::uint64_t fingerprint = 0;
    bool answerPaused = false;  // the caller is slow
    bool linkPaused = false;    // the link between regions has no tokens
    bool linkPermitted = false; // one read over the link may come
    bool bodyPaced = false;     // a part of the request body waits for tokens of the link
};

} // namespace basildeck
