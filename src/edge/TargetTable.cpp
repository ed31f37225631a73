#include "edge/TargetTable.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "targets";

// Whether two entries of one id may describe the same instance of the target. An unknown start time
// does not show another one.
bool mayBeSameInstance(const RegisteredTarget &first, const RegisteredTarget &second)
{
    return first.address == second.address && first.service == second.service
           && (first.startedAtUnixMs == second.startedAtUnixMs || first.startedAtUnixMs == 0
               || second.startedAtUnixMs == 0);
}

} // namespace

TargetState::TargetState(EventLoop &loop, RegisteredTarget target, std::string targetRegion)
    : registration(std::move(target))
    , region(std::move(targetRegion))
    , concurrencyLimiter(registration.slots)
    , connections(loop, registration.address)
{}

TargetTable::TargetTable(EventLoop &loop, const EdgeSettings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_vmRegions({ { settings.vmName, settings.region } })
    , m_storeReachableSince(loop.now())
{}

void TargetTable::setServices(const FleetConfig &config)
{
    m_services.clear();
    for (const Service &service : config.services)
        m_services[service.name] = service;
    // Targets may be listed before the configuration.
    for (auto &[id, target] : m_targets) {
        if (isCold(*target, m_loop.now()))
            limitColdTarget(*target, m_loop.now());
    }
}

TargetState *TargetTable::find(std::string_view id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.get();
}

void TargetTable::registerTarget(const RegisteredTarget &target, Time now)
{
    const auto region = m_settings.zoneRegions.find(target.zone);
    if (region == m_settings.zoneRegions.end()) {
        BASILDECK_WARNING(logComponent)
                << "entry ignored, unknown zone target=" << target.id << " zone=" << target.zone;
        return;
    }
    TargetState *known = find(target.id);
    const bool isSameInstance = known != nullptr && known->registration.address == target.address
                                && known->registration.service == target.service
                                && known->registration.startedAtUnixMs == target.startedAtUnixMs;
    if (known != nullptr && !isSameInstance) {
        removeNow(target.id);
        known = nullptr;
    }
    if (known == nullptr) {
        auto made = std::make_unique<TargetState>(m_loop, target, region->second);
        known = made.get();
        restoreNotice(*known);
        m_targets[target.id] = std::move(made);
        countLimited();
    }
    const bool wasLeaving = known->registration.leaving;
    known->registration = target;
    known->concurrencyLimiter.setSlots(target.slots);
    known->removeAt.reset();
    m_placements.erase(target.service);
    if (target.coldRemaining.count() > 0)
        startColdPhase(*known, target.coldRemaining, now);
    BASILDECK_INFO(logComponent) << "registered target=" << target.id
                                 << " service=" << target.service << " zone=" << target.zone
                                 << " leaving=" << target.leaving
                                 << " cold_ms=" << target.coldRemaining.count();
    if (target.leaving && !wasLeaving && m_onUnavailable)
        m_onUnavailable(*known);
}

void TargetTable::restoreNotice(TargetState &target)
{
    const auto kept = m_keptNotices.find(target.registration.id);
    if (kept != m_keptNotices.end()
        && mayBeSameInstance(kept->second.registration, target.registration))
        target.notice = kept->second.notice;
    updateLimitShare(target, m_loop.now());
}

void TargetTable::noteLeaving(TargetState &target)
{
    if (target.notice.isLeaving)
        return;
    target.notice.isLeaving = true;
    m_placements.erase(target.registration.service);
    BASILDECK_INFO(logComponent) << "target says in a response that it is leaving target="
                                 << target.registration.id
                                 << " service=" << target.registration.service;
    if (!target.registration.leaving && m_onUnavailable)
        m_onUnavailable(target);
}

void TargetTable::holdOff(TargetState &target, Duration duration, Time now)
{
    const bool wasHeldOff = target.notice.isHeldOff(now);
    target.notice.heldOffUntil = std::max(target.notice.heldOffUntil, now + duration);
    BASILDECK_INFO(logComponent) << "target requests a hold-off target=" << target.registration.id
                                 << " service=" << target.registration.service << " hold_off_ms="
                                 << std::chrono::duration_cast<milliseconds>(duration).count();
    if (!wasHeldOff && m_onUnavailable)
        m_onUnavailable(target);
}

void TargetTable::noteLoad(TargetState &target, const LoadReport &report, Time now)
{
    target.load.record(report, now);
    if (!report.speedPercent)
        return;
    const std::string &service = target.registration.service;
    if (!reportsSpeed(service, now))
        BASILDECK_INFO(logComponent)
                << "targets report their speed, placing by expected completion service=" << service;
    m_speedReportedAt[service] = now;
}

bool TargetTable::reportsSpeed(const std::string &service, Time now) const
{
    const auto found = m_speedReportedAt.find(service);
    return found != m_speedReportedAt.end() && now - found->second < speedReportLifetime;
}

std::optional<Duration> TargetTable::holdOffLeft(const std::string &service,
                                                 const std::vector<std::string> &allowedRegions,
                                                 Time now) const
{
    std::optional<Duration> left;
    for (const auto &[id, target] : m_targets) {
        const bool isAllowed
                = allowedRegions.empty()
                  || std::find(allowedRegions.begin(), allowedRegions.end(), target->region)
                             != allowedRegions.end();
        if (target->registration.service != service || !isAllowed || isDraining(*target))
            continue;
        if (!target->notice.isHeldOff(now) && !target->notice.limit.isLimited())
            return std::nullopt;
        const Duration own = std::max<Duration>(target->notice.heldOffUntil - now,
                                                target->notice.limit.untilPermit(now));
        left = std::min(left.value_or(own), own);
    }
    return left;
}

std::size_t TargetTable::leavingCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(), [](const auto &entry) {
                return entry.second->registration.leaving || entry.second->notice.isLeaving;
            }));
}

std::size_t TargetTable::heldOffCount(Time now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_targets.begin(), m_targets.end(),
                          [&](const auto &entry) { return entry.second->notice.isHeldOff(now); }));
}

void TargetTable::startColdPhase(TargetState &target, Duration coldRemaining, Time now)
{
    target.coldUntil = std::max(target.coldUntil, now + coldRemaining);
    target.coldLimiter.reset();
    limitColdTarget(target, now);
}

void TargetTable::remove(const std::string &id, Time now)
{
    TargetState *target = find(id);
    if (target == nullptr)
        return;
    const bool mayHaveExpired = !target->registration.leaving && !target->notice.isLeaving
                                && storeReachableFor(now) < expiryGrace
                                && m_storeReachableFromPeers < outageWindow;
    if (mayHaveExpired) {
        // The grace starts now rather than when this VM reaches the store again, because another
        // VM's snapshot may have reported the removal.
        target->removeAt = now + expiryGrace;
        BASILDECK_INFO(logComponent)
                << "entry expired, target kept for the grace period target=" << id;
        return;
    }
    BASILDECK_INFO(logComponent) << "target gone target=" << id
                                 << " service=" << target->registration.service;
    removeNow(id);
}

void TargetTable::removeNow(const std::string &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    m_placements.erase(found->second->registration.service);
    auto target = std::move(found->second);
    m_targets.erase(found);
    countLimited();
    const Time now = m_loop.now();
    if (target->notice.isLeaving || target->notice.isHeldOff(now)
        || target->notice.limit.isLimited())
        m_keptNotices.insert_or_assign(id, KeptNotice{ target->registration, target->notice, now });
    if (m_onUnavailable)
        m_onUnavailable(*target);
    m_loop.deleteLater(std::move(target));
}

void TargetTable::setEvacuated(const std::string &zone, bool evacuated, Time now)
{
    const bool changed
            = evacuated ? m_evacuatedZones.insert(zone).second : m_evacuatedZones.erase(zone) > 0;
    if (!changed)
        return;
    BASILDECK_INFO(logComponent) << (evacuated ? "zone is evacuated"
                                               : "zone is no longer evacuated")
                                 << " zone=" << zone;
    m_placements.clear();
    for (auto &[id, target] : m_targets) {
        if (target->registration.zone != zone)
            continue;
        if (evacuated) {
            if (m_onUnavailable)
                m_onUnavailable(*target);
            continue;
        }
        const auto service = m_services.find(target->registration.service);
        if (service != m_services.end())
            startColdPhase(*target, service->second.coldStart, now);
    }
}

void TargetTable::setStoreReachable(bool reachable, Time now)
{
    if (reachable && !m_isStoreReachable)
        m_storeReachableSince = now;
    m_isStoreReachable = reachable;
}

Duration TargetTable::storeReachableFor(Time now) const
{
    return m_isStoreReachable ? now - m_storeReachableSince : Duration::zero();
}

void TargetTable::tick(Time now)
{
    std::erase_if(m_keptNotices, [&](const auto &entry) {
        const KeptNotice &kept = entry.second;
        return now - kept.removedAt > noticeLifetime && !kept.notice.isHeldOff(now);
    });
    expireLimits(now);
    std::erase_if(m_speedReportedAt,
                  [&](const auto &entry) { return now - entry.second >= speedReportLifetime; });
    std::vector<std::string> gone;
    for (auto &[id, target] : m_targets) {
        target->connections.closeExpired(now);
        if (target->coldLimiter && !isCold(*target, now))
            target->coldLimiter.reset();
        if (target->removeAt && now >= *target->removeAt)
            gone.push_back(id);
    }
    for (const std::string &id : gone) {
        BASILDECK_INFO(logComponent)
                << "entry did not return within the grace period target=" << id;
        removeNow(id);
    }
}

bool TargetTable::isDraining(const TargetState &target) const
{
    return target.registration.leaving || target.notice.isLeaving
           || m_evacuatedZones.contains(target.registration.zone);
}

const Placement &TargetTable::placement(const std::string &service)
{
    const auto made = m_placements.find(service);
    if (made != m_placements.end())
        return made->second;
    std::vector<PlacementTarget> placed;
    for (const auto &[id, target] : m_targets) {
        if (target->registration.service == service && !isDraining(*target))
            placed.push_back({ id, target->region, target->registration.slots });
    }
    Placement &placement = m_placements[service];
    placement.setTargets(std::move(placed));
    return placement;
}

std::vector<const TargetState *> TargetTable::probeCandidates(Time now) const
{
    std::vector<const TargetState *> candidates;
    for (const auto &[id, target] : m_targets) {
        if (!isDraining(*target) && !isCold(*target, now) && !target->removeAt)
            candidates.push_back(target.get());
    }
    return candidates;
}

void TargetTable::clearFailures()
{
    for (auto &[id, target] : m_targets) {
        target->outlierDetector = OutlierDetector();
        target->lostRuns.clear();
        target->isCrashReportHeld = false;
    }
}

bool TargetTable::isMajorityEjected(const std::string &service, Time now) const
{
    std::size_t ejected = 0;
    std::size_t all = 0;
    for (const auto &[id, target] : m_targets) {
        if (target->registration.service != service || isDraining(*target))
            continue;
        ++all;
        ejected += target->outlierDetector.isEjected(now) ? 1 : 0;
    }
    return ejected * 2 > all;
}

bool TargetTable::isEligible(const TargetState &target, Time now) const
{
    if (isDraining(target) || (target.removeAt && now >= *target.removeAt))
        return false;
    // A hold-off holds also where the ejection of most targets is disregarded.
    if (target.notice.isHeldOff(now))
        return false;
    if (target.outlierDetector.isEjected(now)
        && !isMajorityEjected(target.registration.service, now))
        return false;
    // The request rate of a cold target is divided among the VMs of its region only.
    return !isCold(target, now) || !target.coldLimiter || target.region == m_settings.region;
}

bool TargetTable::acquireColdPermit(TargetState &target, Time now) const
{
    return !isCold(target, now) || !target.coldLimiter || target.coldLimiter->tryAcquire(now);
}

} // namespace basildeck
