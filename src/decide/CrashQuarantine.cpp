#include "decide/CrashQuarantine.h"

#include <algorithm>

namespace basildeck {

void CrashQuarantine::expire(Time now)
{
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.second.running == 0 && now - entry.second.last > retention;
    });
}

bool CrashQuarantine::mayRun(std::uint64_t fingerprint, Time now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return true;
    const Suspect &suspect = found->second;
    if (now - suspect.last > retention)
        return true;
    return suspect.targets.size() < quarantineThreshold && suspect.running == 0;
}

void CrashQuarantine::runStarted(std::uint64_t fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        ++found->second.running;
}

void CrashQuarantine::runFinished(std::uint64_t fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && found->second.running > 0)
        --found->second.running;
}

bool CrashQuarantine::addReport(const CrashReport &report, Time now)
{
    expire(now);
    if (m_suspects.size() >= maxFingerprints && !m_suspects.contains(report.fingerprint)) {
        const auto oldest = std::min_element(
                m_suspects.begin(), m_suspects.end(),
                [](const auto &a, const auto &b) { return a.second.last < b.second.last; });
        m_suspects.erase(oldest);
    }
    Suspect &suspect = m_suspects[report.fingerprint];
    const Time started = now - milliseconds(report.ranForMs);
    if (!suspect.targets.empty() && started <= suspect.last)
        return false;
    suspect.last = now;
    return suspect.targets.insert(report.target).second;
}

void CrashQuarantine::clearSuspicion(std::uint64_t fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && found->second.targets.size() < quarantineThreshold)
        m_suspects.erase(found);
}

std::vector<CrashReport> CrashQuarantine::reports(Time now)
{
    expire(now);
    std::vector<CrashReport> reports;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const std::string &target : suspect.targets)
            reports.push_back({ fingerprint, target, 0 });
    }
    return reports;
}

std::size_t CrashQuarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto &entry) {
                return entry.second.targets.size() >= quarantineThreshold;
            }));
}

} // namespace basildeck
