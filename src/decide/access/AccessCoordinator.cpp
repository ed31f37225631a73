#include "decide/access/AccessCoordinator.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace basildeck {

PermitDecisions AccessCoordinator::handle(const PermitRequest &request, std::optional<int> slots,
                                          Time now)
{
    PermitDecisions decisions;
    if (!slots) {
        PermitReply reply;
        reply.number = request.number;
        reply.isGranted = true;
        ++m_counters.granted;
        decisions.push_back({ request.vm, reply });
        return decisions;
    }
    TargetPermits &permits
            = m_targets.try_emplace(request.target, *slots, m_counters).first->second;
    permits.setSlots(*slots);
    permits.request(request, now, decisions);
    return decisions;
}

PermitDecisions AccessCoordinator::handle(const PermitRelease &release, Time now)
{
    PermitDecisions decisions;
    const auto found = m_targets.find(release.target);
    if (found != m_targets.end())
        found->second.release(release, now, decisions);
    return decisions;
}

PermitDecisions AccessCoordinator::setReachable(std::set<std::string> vms, Time now)
{
    PermitDecisions decisions;
    for (const std::string &vm : m_reachable) {
        if (vms.contains(vm))
            continue;
        for (auto &[id, permits] : m_targets)
            permits.endPermitsOf(vm, now, decisions);
    }
    m_reachable = std::move(vms);
    return decisions;
}

PermitDecisions AccessCoordinator::tick(Time now)
{
    PermitDecisions decisions;
    for (auto &[id, permits] : m_targets)
        permits.tick(now, decisions);
    std::erase_if(m_targets, [&](const auto &entry) {
        return entry.second.isIdle() && now - entry.second.lastUsedAt() > idleLifetime;
    });
    return decisions;
}

bool AccessCoordinator::isActive() const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [](const auto &entry) { return !entry.second.isIdle(); });
}

std::size_t AccessCoordinator::heldCount() const
{
    return std::accumulate(
            m_targets.begin(), m_targets.end(), std::size_t{ 0 },
            [](std::size_t sum, const auto &entry) { return sum + entry.second.heldCount(); });
}

std::size_t AccessCoordinator::waitingCount() const
{
    return std::accumulate(
            m_targets.begin(), m_targets.end(), std::size_t{ 0 },
            [](std::size_t sum, const auto &entry) { return sum + entry.second.waitingCount(); });
}

std::size_t AccessCoordinator::unpermittedCount() const
{
    return std::accumulate(m_targets.begin(), m_targets.end(), std::size_t{ 0 },
                           [](std::size_t sum, const auto &entry) {
                               return sum + static_cast<std::size_t>(entry.second.unpermitted());
                           });
}

} // namespace basildeck
