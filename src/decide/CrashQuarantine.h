#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// Reports that the connection to a target was lost while a request ran there.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string target;
    std::uint32_t ranForMs = 0; // from the start of the run to the loss of the connection
};

// Quarantines requests that crash every upstream that runs them.
//
// A fingerprint that lost connections at several distinct targets, one after the other, is refused.
// Simultaneous losses count once: they indicate a failing zone rather than a harmful request. While
// a suspected fingerprint is running, no second run starts, so that a client's retries cannot reach
// more targets than the threshold. Reports of other VMs count like local ones.
class CrashQuarantine
{
public:
    // Number of distinct targets after which a fingerprint is refused.
    static constexpr std::size_t quarantineThreshold = 2;
    static constexpr Duration retention = seconds(300);
    static constexpr std::size_t maxFingerprints = 10'000;

    // Returns whether a request with this fingerprint may run now.
    bool mayRun(std::uint64_t fingerprint, Time now);
    void runStarted(std::uint64_t fingerprint);
    void runFinished(std::uint64_t fingerprint);
    // Called on a complete response. Clears a suspected fingerprint, but not a quarantined one.
    void clearSuspicion(std::uint64_t fingerprint);

    // Adds a report of this VM or of another one. Returns true if it counts.
    bool addReport(const CrashReport &report, Time now);
    // Returns all current reports, for other VMs to take over.
    std::vector<CrashReport> reports(Time now);
    std::size_t quarantinedCount() const;

private:
    struct Suspect
    {
        std::set<std::string> targets;
        int openRuns = 0;
        Time lastReportAt;
    };

    void removeExpired(Time now);

    std::map<std::uint64_t, Suspect> m_suspects;
};

} // namespace basildeck
