#pragma once

#include "basildeck/Time.h"
#include "decide/RetryBudget.h"
#include "decide/hedge/HedgeDelay.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// Why a request that took longer than its hedge delay gets no second attempt.
enum class HedgeDenial { Attempts, Suspect, Waiting, NoRoom, Share, NoTarget, RetryBudget };

// "attempts", "suspect", "waiting", "no-room", "share", "no-target" or "retry-budget".
std::string_view hedgeDenialName(HedgeDenial denial);

// How a request with a second attempt went on.
enum class HedgeEnd {
    FirstWon,
    SecondWon,
    SecondFailed, // the first attempt goes on, or had failed before
    CallerLeft,
    Deadline,
    Leaving,    // this process ends its requests
    Partitioned // the request is forwarded through a peer instead
};

// "first-won", "second-won", "second-failed", "caller-left", "deadline", "leaving" or
// "partitioned".
std::string_view hedgeEndName(HedgeEnd end);

// A request that takes longer than its hedge delay.
struct HedgeRequest
{
    std::string service;
    int sends = 0; // so far
    int maxSends = 0;
    bool isSuspect = false;      // of crashing targets
    std::size_t waitingHere = 0; // requests for the service that wait at this VM
};

// A target that may get the second attempt.
struct HedgeCandidate
{
    // It takes a request at once: it is below its limit, and neither this VM nor the target itself
    // has requests waiting for it.
    bool hasRoom = false;
    bool isCold = false; // its request rate is limited
    Duration expectedRun{ 0 };
};

// Returns the index of the target for a second attempt, or nothing if none serves: the first one,
// in order of preference, that has room and is expected to end in time.
std::optional<std::size_t> chooseHedgeTarget(const std::vector<HedgeCandidate> &candidates,
                                             Duration untilDeadline);

// Decides whether second attempts of slow requests may start. They are limited to a share of the
// requests of a service, and to times at which its targets have room. Every VM observes the same
// share, so the fleet does too.
class HedgePolicy
{
public:
    static constexpr int maxPercent = 20;
    // A rejection by a target of the service rules out second attempts for this time.
    static constexpr Duration rejectionPause = seconds(1);
    // Second attempts are ruled out while more than this share of the responses of a service
    // reports requests that wait at the target. The weight of a response is that of the moving
    // average, so that it covers the last 20 or so.
    static constexpr double maxQueueingShare = 0.1;
    static constexpr double smoothingFactor = 0.05;

    // Of 100 requests of each service, at most so many get a second attempt.
    void setPercent(int percent) { m_percent = percent; }
    bool isEnabled() const { return m_percent > 0; }
    // Counts a request towards the share, first attempts only.
    void recordRequest(const std::string &service);
    // Records a response, and whether it reports waiting requests at its target.
    void recordAnswer(const std::string &service, bool isQueueing);
    // A target rejected a request.
    void recordRejection(const std::string &service, Time now);
    // Returns why the request gets no second attempt; nothing if it may get one.
    std::optional<HedgeDenial> denial(const HedgeRequest &request, Time now) const;
    // Takes a second attempt from the share of a service. Returns false if there is none.
    bool takeShare(const std::string &service);

    HedgeDelay &delays() { return m_delays; }
    const HedgeDelay &delays() const { return m_delays; }

private:
    struct ServiceState
    {
        RetryBudget share; // empty at first
        double queueingShare = 0;
        std::optional<Time> rejectedAt;
    };
    ServiceState &state(const std::string &service);

    int m_percent = 0;
    std::map<std::string, ServiceState> m_services;
    HedgeDelay m_delays;
};

} // namespace basildeck
