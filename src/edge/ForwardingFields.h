#pragma once

#include "basildeck/ErrorKind.h"
#include "basildeck/Time.h"
#include "http/HttpParser.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// What a VM that is partitioned from the targets has decided about a request, for the peer that
// sends it to a target. Passed in header fields.
struct ForwardingTerms
{
    std::string vm; // that forwards the request
    std::string route;
    std::string organisation; // empty on open routes
    std::string service;
    Duration untilObjective{ 0 };
    Duration untilDeadline{ 0 };
    int attempts = 1; // number of targets that the peer may send the request to
    int priority = 0;
    std::uint64_t placementHash = 0;
    std::vector<std::string> triedTargets;
};

// Why a peer does not take a forwarded request. A request that is not taken has not run.
enum class ForwardingDecline {
    Partitioned,      // the peer reaches no targets either
    Leaving,          // the peer shuts down
    Busy,             // the peer has taken as many requests as it may
    NotConfigured,    // the peer's configuration does not know the route, service or organisation
    RegionNotAllowed, // the request must not be handled in the peer's region
    Invalid,          // the request cannot be read
};

constexpr std::size_t forwardingDeclineCount
        = static_cast<std::size_t>(ForwardingDecline::Invalid) + 1;

// Returns "partitioned", "leaving", "busy", "not-configured", "region-not-allowed" or "invalid".
std::string_view forwardingDeclineName(ForwardingDecline decline);

// What a peer did with a forwarded request. Passed in header fields of its response, which is a
// target's unless the request was declined or refused.
struct ForwardingOutcome
{
    int attempts = 0; // number of targets that the request was sent to
    std::vector<std::string> triedTargets;
    std::optional<ForwardingDecline> decline;
    std::optional<ErrorKind> refusal;
    Duration retryAfter{ 0 }; // of a refusal

    bool isTargetResponse() const { return !decline && !refusal; }
};

// Whether a header field is one of those by which VMs describe forwarded requests. They are never
// passed on to targets or callers.
bool isForwardingField(std::string_view name);

// Limits the size of the header fields that describe a forwarded request.
constexpr std::size_t maxForwardingFieldBytes = 4096;

// Return header lines, each of which ends with CRLF.
std::string serializeForwardingTerms(const ForwardingTerms &terms);
std::string serializeForwardingOutcome(const ForwardingOutcome &outcome);

// Return nothing if a field is missing or invalid.
std::optional<ForwardingTerms> parseForwardingTerms(const HeaderFields &fields);
std::optional<ForwardingOutcome> parseForwardingOutcome(const HeaderFields &fields);

} // namespace basildeck
