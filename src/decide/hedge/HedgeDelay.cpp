#include "decide/hedge/HedgeDelay.h"

#include <algorithm>
#include <vector>

namespace basildeck {

void HedgeDelay::record(const std::string &kind, Duration run, Duration expectedRun, Time now)
{
    if (expectedRun > Duration::zero())
        add(kind, toSeconds(run) / toSeconds(expectedRun), now);
}

void HedgeDelay::recordCancelled(const std::string &kind, Duration ranFor, Duration expectedRun,
                                 Time now)
{
    if (expectedRun <= Duration::zero())
        return;
    const double ratio = toSeconds(ranFor) / toSeconds(expectedRun);
    const auto known = ratioQuantile(kind, now);
    if (known && ratio >= *known)
        add(kind, ratio, now);
}

void HedgeDelay::add(const std::string &kind, double ratio, Time now)
{
    std::deque<Sample> &samples = m_samples[kind];
    samples.push_back({ ratio, now });
    while (samples.size() > maxSamples || now - samples.front().at > sampleLifetime)
        samples.pop_front();
}

std::optional<double> HedgeDelay::ratioQuantile(const std::string &kind, Time now) const
{
    const auto found = m_samples.find(kind);
    if (found == m_samples.end())
        return std::nullopt;
    std::vector<double> ratios;
    ratios.reserve(found->second.size());
    for (const Sample &sample : found->second) {
        if (now - sample.at <= sampleLifetime)
            ratios.push_back(sample.ratio);
    }
    if (ratios.size() < minSamples)
        return std::nullopt;
    const auto rank = ratios.begin()
                      + static_cast<std::ptrdiff_t>(static_cast<double>(ratios.size()) * quantile);
    std::nth_element(ratios.begin(), rank, ratios.end());
    return *rank;
}

std::optional<Duration> HedgeDelay::delay(const std::string &kind, Duration expectedRun,
                                          Time now) const
{
    const auto ratio = ratioQuantile(kind, now);
    if (!ratio || expectedRun <= Duration::zero())
        return std::nullopt;
    const std::chrono::duration<double> delay(toSeconds(expectedRun) * *ratio);
    return std::max<Duration>(minDelay, std::chrono::duration_cast<Duration>(delay));
}

} // namespace basildeck
