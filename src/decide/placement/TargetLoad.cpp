#include "decide/placement/TargetLoad.h"

#include <algorithm>
#include <cmath>

namespace basildeck {

double TargetLoad::factorOf(const LoadReport &report)
{
    return report.speedPercent.value_or(usualSpeedPercent) / static_cast<double>(usualSpeedPercent);
}

void TargetLoad::record(const LoadReport &report, Time now)
{
    m_reportFactor = factorOf(report);
    m_speedPercent = report.speedPercent;
    m_isQueueing = report.waiting > 0;
    m_reportedAt = now;
}

void TargetLoad::recordRun(double ratio, Time now)
{
    const double memory = std::exp(-toSeconds(now - m_ranAt) / toSeconds(runMemory));
    const double known = 1 + (m_runRatio - 1) * memory;
    m_runRatio = known + smoothingFactor * (std::clamp(ratio, 0.0, maxRunRatio) - known);
    m_ranAt = now;
}

double TargetLoad::factor(Time now) const
{
    const double weight
            = std::clamp(1 - toSeconds(now - m_reportedAt) / toSeconds(reportLifetime), 0.0, 1.0);
    const double memory = std::exp(-toSeconds(now - m_ranAt) / toSeconds(runMemory));
    return (1 + (m_reportFactor - 1) * weight) * (1 + (m_runRatio - 1) * memory);
}

std::optional<int> TargetLoad::speedPercent(Time now) const
{
    return now - m_reportedAt < reportLifetime ? m_speedPercent : std::nullopt;
}

} // namespace basildeck
