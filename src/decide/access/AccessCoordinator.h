#pragma once

#include "decide/access/TargetPermits.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace basildeck {

// The coordinator's side of the access to targets: the permits of all targets that this VM
// coordinates. VMs that have just taken over a target begin without permits, and learn from the
// target's reports what runs there.
class AccessCoordinator
{
public:
    // The permits of a target are forgotten after this time without a request for one.
    static constexpr Duration idleLifetime = seconds(10);

    // A target unknown to this VM has no slots to count: the permit is granted uncounted, because
    // the VM that asks knows the target better.
    PermitDecisions handle(const PermitRequest &request, std::optional<int> slots, Time now);
    PermitDecisions handle(const PermitRelease &release, Time now);
    // Ends the permits of VMs that are not reachable any more. A VM that was not reachable before
    // may just have started: its permits end by their time.
    PermitDecisions setReachable(std::set<std::string> vms, Time now);
    PermitDecisions tick(Time now);

    // Whether permits are in use or waited for.
    bool isActive() const;
    std::size_t heldCount() const;
    std::size_t waitingCount() const;
    // The requests without a permit that the targets report.
    std::size_t unpermittedCount() const;
    const AccessCounters &counters() const { return m_counters; }

private:
    AccessCounters m_counters;
    std::map<std::string, TargetPermits> m_targets; // by id
    std::set<std::string> m_reachable;
};

} // namespace basildeck
