#include "decide/RunTimeEstimator.h"

#include <algorithm>

namespace basildeck {

void RunTimeEstimator::record(const std::string &kind, const std::string &region, Duration run)
{
    const auto [estimate, isNew] = m_secondsByRegion[kind].try_emplace(region, toSeconds(run));
    if (!isNew)
        estimate->second *= toSeconds(run) > estimate->second ? 1 + stepFraction : 1 - stepFraction;
}

bool RunTimeEstimator::isSlow(const std::string &kind, std::string_view region, Duration run) const
{
    const Duration typical = typicalRun(kind, region);
    return typical > Duration::zero() && run > typical * slowRunFactor;
}

Duration RunTimeEstimator::typicalRun(const std::string &kind, std::string_view region) const
{
    const auto regions = m_secondsByRegion.find(kind);
    if (regions == m_secondsByRegion.end())
        return Duration::zero();
    const auto known = regions->second.find(region);
    double seconds = 0;
    if (known != regions->second.end()) {
        seconds = known->second;
    } else {
        for (const auto &[other, estimate] : regions->second)
            seconds = std::max(seconds, estimate);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace basildeck
