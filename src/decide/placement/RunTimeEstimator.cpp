#include "decide/placement/RunTimeEstimator.h"

namespace basildeck {

namespace {

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

void RunTimeEstimator::record(const std::string &kind, const std::string &region, Duration run)
{
    const double sample = toSeconds(run);
    const auto [known, isNew] = m_estimates[kind].try_emplace(region, Estimate{ sample, sample });
    if (isNew)
        return;
    Estimate &estimate = known->second;
    estimate.average += smoothingFactor * (sample - estimate.average);
    estimate.median *= sample > estimate.median ? 1 + medianStep : 1 - medianStep;
}

void RunTimeEstimator::recordCancelled(const std::string &kind, const std::string &region,
                                       Duration ranFor)
{
    const auto regions = m_estimates.find(kind);
    if (regions == m_estimates.end())
        return;
    const auto known = regions->second.find(region);
    if (known == regions->second.end())
        return;
    const double bound = toSeconds(ranFor);
    Estimate &estimate = known->second;
    if (bound > estimate.average)
        estimate.average += smoothingFactor * (bound - estimate.average);
    if (bound > estimate.median)
        estimate.median *= 1 + medianStep;
}

const RunTimeEstimator::Estimate *RunTimeEstimator::find(const std::string &kind,
                                                         std::string_view region) const
{
    const auto regions = m_estimates.find(kind);
    if (regions == m_estimates.end())
        return nullptr;
    const auto known = regions->second.find(region);
    if (known != regions->second.end())
        return &known->second;
    const Estimate *slowest = nullptr;
    for (const auto &[other, estimate] : regions->second) {
        if (slowest == nullptr || estimate.average > slowest->average)
            slowest = &estimate;
    }
    return slowest;
}

Duration RunTimeEstimator::typicalRun(const std::string &kind, std::string_view region) const
{
    const Estimate *estimate = find(kind, region);
    return estimate == nullptr ? Duration::zero() : fromSeconds(estimate->average);
}

Duration RunTimeEstimator::slowRun(const std::string &kind, std::string_view region) const
{
    const Estimate *estimate = find(kind, region);
    return estimate == nullptr ? Duration::max() : fromSeconds(estimate->median * slowRunFactor);
}

} // namespace basildeck
