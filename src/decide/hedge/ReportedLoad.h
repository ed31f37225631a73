#pragma once

#include "basildeck/Time.h"

#include <optional>
#include <string_view>

namespace basildeck {

// What a target said last about its machine: how long work currently takes there, and whether
// requests wait. It changes many times a second, so it holds for a short time only.
class ReportedLoad
{
public:
    static constexpr Duration lifetime = seconds(1);
    // The usual speed figure, and the largest one that is taken for a figure at all.
    static constexpr double usualSpeed = 100;
    static constexpr double maxSpeed = 10'000;

    // Records a report of the form "running,waiting,slots,speed", in which the speed may be absent.
    void record(std::string_view report, Time now);
    // The factor on the usual run time, if it is known.
    std::optional<double> slowdown(Time now) const;
    // Whether requests were waiting at the target.
    bool isQueueing(Time now) const;

private:
    std::optional<double> m_slowdown;
    bool m_isQueueing = false;
    Time m_at{};
};

} // namespace basildeck
