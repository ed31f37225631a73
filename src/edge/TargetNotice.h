#pragma once

#include "basildeck/Time.h"
#include "decide/ConcurrencyLimiter.h"
#include "decide/TargetLimit.h"
#include "edge/WireNames.h"
#include "http/HttpParser.h"

#include <optional>

namespace basildeck {

// What a target has said of itself in its responses to this VM. It holds for one instance of the
// target and ends with it: the entry in the store may be older than the response.
struct TargetNotice
{
    bool isLeaving = false;
    Time heldOffUntil{}; // the target wants no requests from this VM before

    TargetLimit limit;

    bool isHeldOff(Time now) const { return now < heldOffUntil; }
};

// What a response says about the request rate that its target takes.
struct LimitNotice
{
    std::optional<double> requestsPerSecond; // nothing if it names none
};

// Upper limit of a hold-off that a target requests.
constexpr Duration maxHoldOff = std::chrono::hours(1);

// Returns whether a target's response says that the target is leaving.
bool saysLeaving(const MessageHead &head, const WireNames &names);

// Returns what a response says about its target's request rate. Nothing if the response is not the
// target's, or names an invalid rate; the lowest of several rates counts.
std::optional<LimitNotice> limitNotice(const MessageHead &head, const WireNames &names);

// Returns the load that a response reports as "running,waiting,slots,speed". A speed that is not a
// positive whole number of at most 10,000 is left out, like one that is missing; nothing is
// returned if another figure is invalid.
std::optional<LoadReport> reportedLoad(const MessageHead &head, const WireNames &names);

// Returns for how long the target wants no requests from this VM, if its response says so.
std::optional<Duration> requestedHoldOff(const MessageHead &head);

} // namespace basildeck
