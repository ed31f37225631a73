#pragma once

#include "basildeck/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace basildeck {

// Typical run times by kind of request and region of the target, over all targets that this VM
// uses.
//
// In a large fleet a VM sends few requests to each target, so what it knows of a target is often
// outdated: a single run of an object that was not warm would keep it from using the target for
// long. The typical run time is the estimate for targets without a recent run.
class RunTimeEstimator
{
public:
    // Weight of a new sample in the exponential moving average.
    static constexpr double smoothingFactor = 0.05;

    void record(const std::string &kind, const std::string &region, Duration run);
    // Returns the typical run time in a region, or in the slowest known region if none is known
    // there; zero if no run of the kind has ended yet.
    Duration typicalRun(const std::string &kind, std::string_view region) const;

private:
    std::map<std::string, std::map<std::string, double, std::less<>>> m_secondsByRegion; // by kind
};

} // namespace basildeck
