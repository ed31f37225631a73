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
// long. The typical run time is the estimate for targets without a recent run. Whether a run is
// slow is told by the median, which stays the same while less than half of the targets are slow.
class RunTimeEstimator
{
public:
    // Weight of a new sample in the exponential moving average.
    static constexpr double smoothingFactor = 0.05;
    // Fraction by which each sample moves the estimate of the median.
    static constexpr double medianStep = 0.03;
    // A run that takes this many times the typical run time shows that its target is slow: more
    // than an object that is not warm, or a full queue at the target, accounts for.
    static constexpr int slowRunFactor = 5;

    void record(const std::string &kind, const std::string &region, Duration run);
    // Records a run that was cancelled, whose run time is at least this. It says something only
    // where it exceeds the estimates.
    void recordCancelled(const std::string &kind, const std::string &region, Duration ranFor);
    // Returns the typical run time in a region, or in the slowest known region if none is known
    // there; zero if no run of the kind has ended yet.
    Duration typicalRun(const std::string &kind, std::string_view region) const;
    // A longer run, which may still be going on, shows that its target is slow. The maximum if no
    // run of the kind has ended yet.
    Duration slowRun(const std::string &kind, std::string_view region) const;

private:
    // In seconds.
    struct Estimate
    {
        double average = 0;
        double median = 0;
    };
    // The estimate of a kind in a region, or in the slowest known region; null if there is none.
    const Estimate *find(const std::string &kind, std::string_view region) const;

    std::map<std::string, std::map<std::string, Estimate, std::less<>>> m_estimates; // by kind
};

} // namespace basildeck
