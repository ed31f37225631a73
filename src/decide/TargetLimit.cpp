#include "decide/TargetLimit.h"

#include "core/Hash.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

namespace basildeck {

namespace {

// The VMs that share a target's rate have at least one request each in this time.
constexpr double maxSecondsPerRequest = 2;

std::size_t maxSharers(double requestsPerSecond, std::size_t vms)
{
    const double sharers = requestsPerSecond * maxSecondsPerRequest;
    if (sharers >= static_cast<double>(vms))
        return vms;
    return std::max<std::size_t>(1, static_cast<std::size_t>(sharers));
}

std::vector<std::string_view> vmsOf(const std::map<std::string, std::string> &vmRegions,
                                    const std::string &region)
{
    std::vector<std::string_view> vms;
    for (const auto &[vm, vmRegion] : vmRegions) {
        if (vmRegion == region)
            vms.push_back(vm);
    }
    if (vms.empty()) {
        for (const auto &[vm, vmRegion] : vmRegions)
            vms.push_back(vm);
    }
    return vms;
}

} // namespace

bool TargetLimit::observe(std::optional<double> requestsPerSecond, Time now)
{
    // What a target does not say need not be told to others, unless it said otherwise before.
    if (!requestsPerSecond && !m_rate)
        return false;
    m_ownObservedAt = now;
    return setRate(requestsPerSecond, now, now);
}

bool TargetLimit::learn(const TargetLimitReport &report, Time now)
{
    const Time observedAt = now - milliseconds(report.ageMs);
    const bool isLimited = report.requestsPerSecond > 0;
    if (!isLimited && !m_rate)
        return false;
    const Duration tolerance
            = isLimited == m_rate.has_value() ? Duration::zero() : reorderTolerance;
    if (now - observedAt > lifetime || (m_observedAt && observedAt <= *m_observedAt + tolerance))
        return false;
    return setRate(isLimited ? std::optional(report.requestsPerSecond) : std::nullopt, observedAt,
                   now);
}

bool TargetLimit::setRate(std::optional<double> requestsPerSecond, Time observedAt, Time now)
{
    m_observedAt = observedAt;
    if (requestsPerSecond)
        requestsPerSecond = std::max(*requestsPerSecond, minRequestsPerSecond);
    if (requestsPerSecond == m_rate)
        return false;
    if (m_rate) {
        refill(now);
    } else {
        m_tokens = 0;
        m_refilledAt = now;
    }
    m_rate = requestsPerSecond;
    return true;
}

bool TargetLimit::expire(Time now)
{
    if (!m_rate || now - *m_observedAt <= lifetime)
        return false;
    m_rate.reset();
    return true;
}

std::optional<TargetLimitReport> TargetLimit::report(const std::string &target, Time now) const
{
    if (!m_ownObservedAt || now - *m_ownObservedAt > reportTime)
        return std::nullopt;
    const auto age = std::chrono::duration_cast<milliseconds>(now - *m_ownObservedAt);
    return TargetLimitReport{ target, m_rate.value_or(0), static_cast<std::uint32_t>(age.count()) };
}

void TargetLimit::setShare(double share, Time now)
{
    refill(now);
    m_share = share;
}

double TargetLimit::tokens(Time now) const
{
    const double maxTokens = std::max(1.0, ownRate() * toSeconds(burstTime));
    return std::min(maxTokens, m_tokens + ownRate() * toSeconds(now - m_refilledAt));
}

void TargetLimit::refill(Time now)
{
    m_tokens = tokens(now);
    m_refilledAt = now;
}

void TargetLimit::takePermit(Time now)
{
    if (!m_rate)
        return;
    refill(now);
    assert(m_tokens >= 1);
    m_tokens -= 1;
}

Duration TargetLimit::untilPermit(Time now) const
{
    if (hasPermit(now))
        return Duration::zero();
    const double missing = m_share > 0 ? (1 - tokens(now)) / m_share : 1;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / *m_rate));
}

double targetLimitShare(const std::string &vm, const std::map<std::string, std::string> &vmRegions,
                        const std::string &target, const std::string &targetRegion,
                        double requestsPerSecond)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (const std::string_view candidate : vmsOf(vmRegions, targetRegion))
        ranked.emplace_back(stableHash(target, candidate), candidate);
    const std::size_t sharers = maxSharers(requestsPerSecond, ranked.size());
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    for (std::size_t i = 0; i < std::min(sharers, ranked.size()); ++i) {
        if (ranked[i].second == vm)
            return 1.0 / static_cast<double>(sharers);
    }
    return 0;
}

} // namespace basildeck
