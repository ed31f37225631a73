#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// A report that a request ended in a dead connection at a target.
struct CrashReport
{
    std::uint64_t fingerprint = 0;
    std::string target;
    std::uint32_t ranForMs = 0; // from the start of the run to its loss
};

// Finds requests that crash each upstream that runs them.
//
// A fingerprint that lost connections at several distinct targets, one after the other, is refused.
// Losses at the same time count once: they come from a zone that fails, not from the request. While
// one run of a suspected fingerprint is open, no second one starts, so that a sender's repeats
// cannot reach more targets than the limit. Reports of other VMs count like own ones.
class CrashQuarantine
{
public:
    // Distinct targets after which a fingerprint is refused.
    static constexpr std::size_t quarantineThreshold = 2;
    static constexpr Duration retention = seconds(300);
    static constexpr std::size_t maxFingerprints = 10'000;

    // True if a request may run now.
    bool mayRun(std::uint64_t fingerprint, Time now);
    void runStarted(std::uint64_t fingerprint);
    void runFinished(std::uint64_t fingerprint);
    // A whole answer clears a suspected fingerprint.
    void clearSuspicion(std::uint64_t fingerprint);

    // Takes in a report, own or foreign. Returns true if it counts.
    bool addReport(const CrashReport &report, Time now);
    // Reports to pass on to other VMs.
    std::vector<CrashReport> reports(Time now);
    std::size_t quarantinedCount() const;

private:
    struct Suspect
    {
        std::set<std::string> targets;
        int running = 0;
        Time last;
    };

    void expire(Time now);

    std::map<std::uint64_t, Suspect> m_suspects;
};

} // namespace basildeck
