#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace basildeck::soak {

struct SoakOptions
{
    std::string program; // path of the program under test
    std::string folder;  // for the settings and logs of the processes
    std::uint64_t seed = 1;
    Duration faultDuration = seconds(10);
    std::size_t vmCount = 5;
};

struct SoakReport
{
    std::string summary;                 // counts of requests, injected faults and violations
    std::vector<std::string> violations; // descriptions of the violated invariants
};

// Runs the soak with one seed: starts the fleet, injects overlapping random faults, clears them
// and, after the recovery, checks invariants against what callers and targets recorded.
SoakReport runSoak(const SoakOptions &options);

} // namespace basildeck::soak
