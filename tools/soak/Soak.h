#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace basildeck::soak {

struct SoakOptions
{
    std::string program; // the program under test
    std::string folder;  // for settings and logs of the processes
    std::uint64_t seed = 1;
    Duration faultTime = seconds(10);
};

struct SoakReport
{
    std::string text;                // what was done and served
    std::vector<std::string> faults; // promises that were broken
};

// Plays one seed: starts the fleet, harms it for a while with overlapping faults, lets it recover
// and checks the promises from what callers and targets saw.
SoakReport runSoak(const SoakOptions &options);

} // namespace basildeck::soak
