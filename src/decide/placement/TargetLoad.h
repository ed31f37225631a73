#pragma once

#include "basildeck/Time.h"
#include "decide/ConcurrencyLimiter.h"

#include <optional>

namespace basildeck {

// How much longer than usual a run takes at one target, going by the load that it reported and by
// the latest runs there.
//
// The speed changes many times a second, so a report loses its weight evenly over its lifetime.
// Then the usual speed is assumed: a target that was slow a second ago is probably not slow now.
class TargetLoad
{
public:
    static constexpr Duration reportLifetime = seconds(1);
    static constexpr int usualSpeedPercent = 100;
    // Weight of a new run in the average of what the reports do not account for, and the time
    // constant with which that average loses its weight.
    static constexpr double smoothingFactor = 0.2;
    static constexpr Duration runMemory = seconds(3);
    // Limits what a single run counts, because some runs take several times as long by themselves.
    static constexpr double maxRunRatio = 3;

    // The factor by which runs take longer, going by the speed of the target's machine. The
    // requests that wait at the target are not part of it: their number says little about the wait
    // of the next one, and counting it moved warm objects away.
    static double factorOf(const LoadReport &report);

    void record(const LoadReport &report, Time now);
    // Records a run by its share of the expected run time, after both were divided by the factor of
    // the report that came with it.
    void recordRun(double ratio, Time now);

    // The factor by which runs that start now are expected to take longer than usual.
    double factor(Time now) const;
    // Whether requests waited at the target, going by its last report.
    bool isQueueing(Time now) const { return m_isQueueing && now - m_reportedAt < reportLifetime; }
    // The speed last reported if it still carries information, in percent.
    std::optional<int> speedPercent(Time now) const;

private:
    double m_reportFactor = 1;
    std::optional<int> m_speedPercent;
    bool m_isQueueing = false;
    Time m_reportedAt{};
    double m_runRatio = 1;
    Time m_ranAt{};
};

} // namespace basildeck
