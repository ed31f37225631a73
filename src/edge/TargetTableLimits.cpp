// The part of TargetTable that follows the request rates that targets name.

#include "edge/TargetTable.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "targets";
// Bounds the size of heartbeats.
constexpr std::size_t maxLimitReports = 64;

} // namespace

void TargetTable::noteLimit(TargetState &target, const LimitNotice &notice, Time now)
{
    TargetLimit &limit = target.notice.limit;
    const bool wasLimited = limit.isLimited();
    if (!limit.observe(notice.requestsPerSecond, now))
        return;
    updateLimitShare(target, now);
    if (limit.isLimited() == wasLimited)
        return;
    handleLimitChange(target);
    m_onLimitChanged();
}

void TargetTable::learnLimit(const TargetLimitReport &report, Time now)
{
    TargetState *target = find(report.target);
    if (target == nullptr)
        return;
    const bool wasLimited = target->notice.limit.isLimited();
    if (!target->notice.limit.learn(report, now))
        return;
    updateLimitShare(*target, now);
    if (target->notice.limit.isLimited() != wasLimited)
        handleLimitChange(*target);
}

void TargetTable::handleLimitChange(TargetState &target)
{
    const TargetLimit &limit = target.notice.limit;
    countLimited();
    BASILDECK_INFO(logComponent) << (limit.isLimited() ? "target names a request rate"
                                                       : "target no longer names a request rate")
                                 << " target=" << target.registration.id
                                 << " service=" << target.registration.service
                                 << " per_s=" << limit.rate().value_or(0);
    if (limit.isLimited() && m_onUnavailable)
        m_onUnavailable(target);
}

void TargetTable::updateLimitShare(TargetState &target, Time now)
{
    TargetLimit &limit = target.notice.limit;
    if (!limit.isLimited())
        return;
    limit.setShare(targetLimitShare(m_settings.vmName, m_vmRegions, target.registration.id,
                                    target.region, *limit.rate()),
                   now);
}

void TargetTable::countLimited()
{
    m_limitedCount = static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) {
                return entry.second->notice.limit.isLimited();
            }));
}

void TargetTable::setFleet(std::map<std::string, std::string> vmRegions, Time now)
{
    if (m_vmRegions == vmRegions)
        return;
    m_vmRegions = std::move(vmRegions);
    for (auto &[id, target] : m_targets)
        updateLimitShare(*target, now);
    updateColdShares(now);
}

void TargetTable::setRegionVmCount(std::size_t count)
{
    if (std::exchange(m_regionVmCount, std::max<std::size_t>(1, count)) != count)
        updateColdShares(m_loop.now());
}

std::size_t TargetTable::coldShareCount() const
{
    if (m_vmRegions.empty())
        return std::max(unknownRegionVmCount, m_regionVmCount);
    const auto others = std::count_if(m_vmRegions.begin(), m_vmRegions.end(), [&](const auto &vm) {
        return vm.first != m_settings.vmName && vm.second == m_settings.region;
    });
    return std::max(static_cast<std::size_t>(others) + 1, m_regionVmCount);
}

void TargetTable::updateColdShares(Time now)
{
    for (auto &[id, target] : m_targets) {
        if (target->coldLimiter)
            limitColdTarget(*target, now);
    }
}

void TargetTable::limitColdTarget(TargetState &target, Time now)
{
    const auto service = m_services.find(target.registration.service);
    if (service == m_services.end())
        return;
    const double rate = service->second.coldRequestsPerSecond;
    if (rate <= 0) {
        target.coldUntil = {};
        target.coldLimiter.reset();
        return;
    }
    const double share = rate / static_cast<double>(coldShareCount());
    if (target.coldLimiter)
        target.coldLimiter->setRate(share, now);
    else
        target.coldLimiter.emplace(share, now);
}

void TargetTable::expireLimits(Time now)
{
    for (auto &[id, target] : m_targets) {
        if (target->notice.limit.expire(now))
            handleLimitChange(*target);
    }
}

std::vector<TargetLimitReport> TargetTable::limitReports(Time now) const
{
    std::vector<TargetLimitReport> reports;
    for (const auto &[id, target] : m_targets) {
        auto report = target->notice.limit.report(id, now);
        if (report && reports.size() < maxLimitReports)
            reports.push_back(std::move(*report));
    }
    return reports;
}

bool TargetTable::isWithinLimit(const TargetState &target, Time now) const
{
    const TargetLimit &limit = target.notice.limit;
    return !limit.isLimited() || (limit.hasPermit(now) && target.concurrencyLimiter.hasCapacity());
}

} // namespace basildeck
