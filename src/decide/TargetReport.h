#pragma once

#include "basildeck/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace basildeck {

// Why a VM tells the others not to use a target for a while.
enum class TargetTrouble : std::uint8_t {
    Unreachable, // no connection could be made
    Slow,        // a run took several times as long as is typical
};

// Returns "unreachable" or "slow".
constexpr std::string_view targetTroubleName(TargetTrouble trouble)
{
    constexpr std::array<std::string_view, 2> names = { "unreachable", "slow" };
    const auto index = static_cast<std::size_t>(trouble);
    return index < names.size() ? names[index] : "unknown";
}

// Tells the other VMs about a target. In a large fleet each VM sends few requests to a target, so
// it would find out too late by itself. In a smaller one a VM knows its targets by itself, and long
// runs and reset connections are mostly due to a queue at the target: ejecting targets at all VMs
// would take capacity when load is at its worst.
struct TargetReport
{
    std::string target;
    TargetTrouble trouble = TargetTrouble::Unreachable;
};

// VMs of the smallest fleet in which VMs report targets.
constexpr std::size_t minVmsReportingTargets = 60;

// How long a reported target is ejected: about as long as it takes to find out again, so that it is
// used again soon after it has recovered.
constexpr Duration ejectionTime(TargetTrouble trouble)
{
    return trouble == TargetTrouble::Slow ? seconds(4) : milliseconds(1500);
}

} // namespace basildeck
