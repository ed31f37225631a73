#include "decide/CrashQuarantine.h"

#include <algorithm>

namespace basildeck {

void CrashQuarantine::removeExpired(Time now)
{
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.second.openRuns == 0 && now - entry.second.lastReportAt > retention;
    });
}

bool CrashQuarantine::mayRun(std::uint64_t fingerprint, Time now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return true;
    const Suspect &suspect = found->second;
    if (now - suspect.lastReportAt > retention)
        return true;
    return suspect.targets.size() < quarantineThreshold && suspect.openRuns == 0;
}

void CrashQuarantine::runStarted(std::uint64_t fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        ++found->second.openRuns;
}

void CrashQuarantine::runFinished(std::uint64_t fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && found->second.openRuns > 0)
        --found->second.openRuns;
}

bool CrashQuarantine::addReport(const CrashReport &report, Time now)
{
    removeExpired(now);
    if (m_suspects.size() >= maxFingerprints && !m_suspects.contains(report.fingerprint)) {
        const auto oldest = std::min_element(
                m_suspects.begin(), m_suspects.end(), [](const auto &a, const auto &b) {
                    return a.second.lastReportAt < b.second.lastReportAt;
                });
        m_suspects.erase(oldest);
    }
    Suspect &suspect = m_suspects[report.fingerprint];
    const Time started = now - milliseconds(report.ranForMs);
    if (!suspect.targets.empty() && started <= suspect.lastReportAt)
        return false;
    suspect.lastReportAt = now;
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
    removeExpired(now);
    std::vector<CrashReport> result;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const std::string &target : suspect.targets)
            result.push_back({ fingerprint, target, 0 });
    }
    return result;
}

std::size_t CrashQuarantine::quarantinedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_suspects.begin(), m_suspects.end(), [](const auto &entry) {
                return entry.second.targets.size() >= quarantineThreshold;
            }));
}

} // namespace basildeck
