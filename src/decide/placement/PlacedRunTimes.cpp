#include "decide/placement/PlacedRunTimes.h"

#include <algorithm>
#include <cmath>

namespace basildeck {

namespace {

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

constexpr int enoughSamples = static_cast<int>(PlacedRunTimes::initialStep / PlacedRunTimes::step);

constexpr std::size_t indexOf(ObjectPlace place)
{
    return static_cast<std::size_t>(place);
}

} // namespace

void PlacedRunTimes::record(const std::string &kind, ObjectPlace place, const std::string &region,
                            Duration run, Time now)
{
    Estimate &estimate = m_estimates[kind].at(indexOf(place))[region];
    const double sample = toSeconds(run);
    if (estimate.samples == 0)
        estimate.seconds = sample;
    estimate.samples = std::min(estimate.samples + 1, enoughSamples);
    const double quantile = place == ObjectPlace::Elsewhere ? elsewhereQuantile : placedQuantile;
    const double change = 2 * initialStep / estimate.samples;
    estimate.seconds
            *= sample > estimate.seconds ? 1 + change * quantile : 1 - change * (1 - quantile);
    estimate.updatedAt = now;
}

const PlacedRunTimes::Estimate *PlacedRunTimes::find(const ByRegion &regions,
                                                     std::string_view region)
{
    const auto known = regions.find(region);
    if (known != regions.end())
        return &known->second;
    const auto slowest
            = std::max_element(regions.begin(), regions.end(), [](const auto &a, const auto &b) {
                  return a.second.seconds < b.second.seconds;
              });
    return slowest == regions.end() ? nullptr : &slowest->second;
}

Duration PlacedRunTimes::typicalRun(const std::string &kind, ObjectPlace place,
                                    std::string_view region, Time now) const
{
    const auto places = m_estimates.find(kind);
    if (places == m_estimates.end())
        return Duration::zero();
    const auto estimateFor
            = [&](ObjectPlace other) { return find(places->second.at(indexOf(other)), region); };
    const Estimate *own = estimateFor(place);
    const Estimate *placed = estimateFor(ObjectPlace::Placed);
    if (place == ObjectPlace::Elsewhere && placed != nullptr) {
        const double assumed = assumedColdFactor * placed->seconds;
        if (own == nullptr)
            return fromSeconds(assumed);
        const double weight
                = std::exp(-toSeconds(now - own->updatedAt) / toSeconds(elsewhereMemory));
        return fromSeconds(weight * own->seconds + (1 - weight) * assumed);
    }
    // Without a run of the same place, one of another place is a better guess than none.
    for (const ObjectPlace other : { ObjectPlace::Elsewhere, ObjectPlace::NoObject }) {
        if (own == nullptr)
            own = estimateFor(other);
    }
    if (own == nullptr)
        own = placed;
    return own == nullptr ? Duration::zero() : fromSeconds(own->seconds);
}

Duration PlacedRunTimes::slowRun(const std::string &kind, std::string_view region, Time now) const
{
    const auto places = m_estimates.find(kind);
    if (places == m_estimates.end())
        return Duration::max();
    const bool isKnown = std::any_of(
            places->second.begin(), places->second.end(), [&](const ByRegion &regions) {
                const Estimate *estimate = find(regions, region);
                return estimate != nullptr && estimate->samples >= enoughSamples;
            });
    if (!isKnown)
        return Duration::max();
    const Duration placed = typicalRun(kind, ObjectPlace::Placed, region, now);
    const Duration cold
            = std::max(typicalRun(kind, ObjectPlace::Elsewhere, region, now),
                       std::chrono::duration_cast<Duration>(assumedColdFactor * placed));
    return cold * slowRunFactor;
}

} // namespace basildeck
