#include "edge/TargetTable.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *part = "targets";

} // namespace

TargetState::TargetState(EventLoop &loop, RegisteredTarget target, std::string targetRegion)
    : info(std::move(target))
    , region(std::move(targetRegion))
    , gate(info.slots)
    , connections(loop, info.address)
{}

TargetTable::TargetTable(EventLoop &loop, const EdgeSettings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_storeBackAt(loop.now())
{}

void TargetTable::setServices(const FleetConfig &config)
{
    m_services.clear();
    for (const Service &service : config.services)
        m_services[service.name] = service;
}

TargetState *TargetTable::find(std::string_view id)
{
    const auto found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : found->second.get();
}

void TargetTable::store(const RegisteredTarget &target, Time now)
{
    const auto region = m_settings.zoneRegions.find(target.zone);
    if (region == m_settings.zoneRegions.end()) {
        BASILDECK_WARNING(part) << "entry in an unknown zone target=" << target.id
                                << " zone=" << target.zone;
        return;
    }
    TargetState *known = find(target.id);
    const bool sameRun = known != nullptr && known->info.address == target.address
                         && known->info.service == target.service
                         && known->info.startedAtUnixMs == target.startedAtUnixMs;
    if (known != nullptr && !sameRun) {
        drop(target.id);
        known = nullptr;
    }
    if (known == nullptr) {
        auto made = std::make_unique<TargetState>(m_loop, target, region->second);
        known = made.get();
        m_targets[target.id] = std::move(made);
    }
    const bool wasLeaving = known->info.leaving;
    known->info = target;
    known->gate.setSlots(target.slots);
    known->removeAt.reset();
    m_placements.erase(target.service);
    if (target.coldFor.count() > 0)
        markCold(*known, target.coldFor, now);
    BASILDECK_INFO(part) << "registered target=" << target.id << " service=" << target.service
                         << " zone=" << target.zone << " leaving=" << target.leaving
                         << " cold_ms=" << target.coldFor.count();
    if (target.leaving && !wasLeaving && m_onClosed)
        m_onClosed(*known);
}

void TargetTable::markCold(TargetState &target, Duration coldFor, Time now)
{
    const auto service = m_services.find(target.info.service);
    if (service == m_services.end() || service->second.coldRequestsPerSecond <= 0)
        return;
    target.coldUntil = std::max(target.coldUntil, now + coldFor);
    target.coldLimit.emplace(
            service->second.coldRequestsPerSecond / static_cast<double>(m_vmsInRegion), now);
}

void TargetTable::remove(const std::string &id, Time now)
{
    TargetState *target = find(id);
    if (target == nullptr)
        return;
    const bool mayHaveLapsed = !target->info.leaving && storeReachedFor(now) < lapseGrace
                               && m_storeReachedElsewhere < outageMemory;
    if (mayHaveLapsed) {
        // Not until this VM's own store access returns: another VM's copy may bring the news.
        target->removeAt = now + lapseGrace;
        BASILDECK_INFO(part) << "entry lapsed, target kept for a while target=" << id;
        return;
    }
    BASILDECK_INFO(part) << "gone target=" << id << " service=" << target->info.service;
    drop(id);
}

void TargetTable::drop(const std::string &id)
{
    const auto found = m_targets.find(id);
    if (found == m_targets.end())
        return;
    m_placements.erase(found->second->info.service);
    auto target = std::move(found->second);
    m_targets.erase(found);
    if (m_onClosed)
        m_onClosed(*target);
    m_loop.destroyLater(std::move(target));
}

void TargetTable::setEvacuated(const std::string &zone, bool evacuated, Time now)
{
    const bool changed
            = evacuated ? m_evacuatedZones.insert(zone).second : m_evacuatedZones.erase(zone) > 0;
    if (!changed)
        return;
    BASILDECK_INFO(part) << (evacuated ? "zone is evacuated" : "zone is taken back")
                         << " zone=" << zone;
    m_placements.clear();
    for (auto &[id, target] : m_targets) {
        if (target->info.zone != zone)
            continue;
        if (evacuated) {
            if (m_onClosed)
                m_onClosed(*target);
            continue;
        }
        const auto service = m_services.find(target->info.service);
        if (service != m_services.end())
            markCold(*target, service->second.coldStart, now);
    }
}

void TargetTable::setStoreReached(bool reached, Time now)
{
    if (reached && !m_storeReached)
        m_storeBackAt = now;
    m_storeReached = reached;
}

Duration TargetTable::storeReachedFor(Time now) const
{
    return m_storeReached ? now - m_storeBackAt : Duration::zero();
}

void TargetTable::tick(Time now)
{
    std::vector<std::string> gone;
    for (auto &[id, target] : m_targets) {
        target->connections.closeIdle(now);
        if (target->coldLimit && !isCold(*target, now))
            target->coldLimit.reset();
        if (target->removeAt && now >= *target->removeAt)
            gone.push_back(id);
    }
    for (const std::string &id : gone) {
        BASILDECK_INFO(part) << "entry did not come back target=" << id;
        drop(id);
    }
}

bool TargetTable::isClosed(const TargetState &target) const
{
    return target.info.leaving || m_evacuatedZones.contains(target.info.zone);
}

const Placement &TargetTable::placement(const std::string &service)
{
    const auto made = m_placements.find(service);
    if (made != m_placements.end())
        return made->second;
    std::vector<PlacementTarget> placed;
    for (const auto &[id, target] : m_targets) {
        if (target->info.service == service && !isClosed(*target))
            placed.push_back({ id, target->region, target->info.slots });
    }
    Placement &placement = m_placements[service];
    placement.setTargets(std::move(placed));
    return placement;
}

bool TargetTable::tooManyEjected(const std::string &service, Time now) const
{
    std::size_t ejected = 0;
    std::size_t all = 0;
    for (const auto &[id, target] : m_targets) {
        if (target->info.service != service || isClosed(*target))
            continue;
        ++all;
        ejected += target->outlier.isEjected(now) ? 1 : 0;
    }
    return ejected * 2 > all;
}

bool TargetTable::mayUse(const TargetState &target, Time now) const
{
    if (isClosed(target) || (target.removeAt && now >= *target.removeAt))
        return false;
    if (target.outlier.isEjected(now) && !tooManyEjected(target.info.service, now))
        return false;
    // Only the VMs of its region share what a cold target bears.
    return !isCold(target, now) || !target.coldLimit || target.region == m_settings.region;
}

bool TargetTable::takeColdPart(TargetState &target, Time now) const
{
    return !isCold(target, now) || !target.coldLimit || target.coldLimit->take(now);
}

} // namespace basildeck
