#pragma once

#include "basildeck/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace basildeck {

// Tells after which time without a response a second attempt of a request starts: a high quantile
// of the run time of its kind at its target.
//
// A VM of a large fleet sends too few requests to each target to measure a quantile there. So the
// quantile is that of the runs of a kind at all targets, each divided by the run time that was
// expected at its target when it was sent, and is multiplied by the run time expected now.
class HedgeDelay
{
public:
    // Slower runs are the tail. A higher quantile lies within a tail of 3 in 100 runs as soon as a
    // few more are slow, and would then no longer tell it from the usual run times.
    static constexpr double quantile = 0.95;
    // Runs of a kind that are remembered, how long, and how many of them an estimate needs. With
    // fewer the quantile is that of one or two runs.
    static constexpr std::size_t maxSamples = 256;
    static constexpr Duration sampleLifetime = seconds(30);
    static constexpr std::size_t minSamples = 20;
    // Shorter delays are within the variation of the network and of timers.
    static constexpr Duration minDelay = milliseconds(10);

    // Records a complete run. The expected run time is that at its start; zero if it was unknown.
    void record(const std::string &kind, Duration run, Duration expectedRun, Time now);
    // Records a run that was cancelled. It is a lower bound of the run time: it counts only if it
    // is above the current quantile, as a run that is known to be slower.
    void recordCancelled(const std::string &kind, Duration ranFor, Duration expectedRun, Time now);
    // Returns nothing while too few runs of the kind are known, or if no run time is expected.
    std::optional<Duration> delay(const std::string &kind, Duration expectedRun, Time now) const;

private:
    struct Sample
    {
        double ratio = 0; // of the run time to the expected one
        Time at;
    };
    void add(const std::string &kind, double ratio, Time now);
    // Returns the quantile of the ratios.
    std::optional<double> ratioQuantile(const std::string &kind, Time now) const;

    std::map<std::string, std::deque<Sample>> m_samples; // by kind, oldest first
};

} // namespace basildeck
