#pragma once

#include "core/Hash.h"

#include <map>
#include <string>
#include <vector>

namespace basildeck {

// Selects the coordinator of each target in this VM's region by rendezvous hashing over the VMs
// that can coordinate. When one of them goes, only its targets get another coordinator.
class CoordinatorSelection
{
public:
    // Bounds the results that are kept. Targets that are gone leave theirs behind.
    static constexpr std::size_t maxKept = 1024;

    // Sets the names of the VMs, in ascending order.
    void setVms(std::vector<std::string> vms)
    {
        if (vms == m_vms)
            return;
        m_vms = std::move(vms);
        m_kept.clear();
    }

    // Returns an empty name if no VM can coordinate.
    const std::string &coordinatorOf(const std::string &target) const
    {
        static const std::string none;
        if (m_vms.empty())
            return none;
        const auto kept = m_kept.find(target);
        if (kept != m_kept.end())
            return m_vms[kept->second];
        if (m_kept.size() >= maxKept)
            m_kept.clear();
        return m_vms[m_kept[target] = rendezvousPick(target, m_vms)];
    }

private:
    std::vector<std::string> m_vms;
    mutable std::map<std::string, std::size_t> m_kept; // index of the VM, by target
};

} // namespace basildeck
