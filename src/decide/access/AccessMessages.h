#pragma once

#include "decide/ConcurrencyLimiter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace basildeck {

// The version of the permit messages, as told in heartbeats. VMs of builds without them tell 0.
constexpr std::uint8_t currentPermitProtocol = 1;

// Asks the coordinator of a target for a permit to send one request to it.
struct PermitRequest
{
    std::string vm;           // that asks
    std::uint64_t number = 0; // chosen by the VM, different for each of its permits
    std::string target;
    std::int32_t priority = 0; // 0 is the most urgent
    std::string organisation;
    std::uint32_t mayWaitMs = 0;     // the permit is useless after this time
    std::uint32_t expectedRunMs = 0; // 0 if unknown
    std::uint32_t expiresInMs = 0;   // the request ends within this time
};

// Response of a coordinator to a PermitRequest.
struct PermitReply
{
    std::uint64_t number = 0; // of the request
    bool isGranted = false;
    std::uint32_t retryAfterMs = 0; // if declined: when capacity is expected
    std::uint16_t running = 0;      // permits in use and other requests at the target
    std::uint16_t waiting = 0;      // requests that wait at the coordinator
    std::uint16_t speedPercent = 0; // as reported last by the target, 0 if unknown
};

// Returns a permit, or withdraws a request for one.
struct PermitRelease
{
    std::string vm;
    std::uint64_t number = 0;
    std::string target;
    std::optional<LoadReport> load; // as reported by the target with its response
    std::uint32_t ranForMs = 0;     // 0 if the request did not run to its end
    bool isShed = false;            // the target rejected the request unexecuted
};

using AccessMessage = std::variant<PermitRequest, PermitReply, PermitRelease>;

// A reply and the VM to which it is due.
struct PermitDecision
{
    std::string vm;
    PermitReply reply;
};

using PermitDecisions = std::vector<PermitDecision>;

} // namespace basildeck
