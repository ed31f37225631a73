#pragma once

#include "basildeck/Time.h"
#include "decide/SlotLoans.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// A target and the share of its slots that one VM may use.
struct TargetSpec
{
    std::string name;
    std::string region;
    std::string zone;
    int slots = 0;       // that this VM may use
    bool closed = false; // leaving or drained: gets no new requests
};

// How a run on a target ended, as observed by this VM.
enum class RunOutcome { Answered, Shed, ConnectFailed, Lost, Cancelled };

// Chooses targets of one service by this VM's own observations: the requests in flight, the
// distance and, between equal targets, the average latency. Load that targets report is not
// considered.
class TargetPool
{
public:
    // Consecutive failures after which a target is ejected.
    static constexpr int ejectionThreshold = 3;
    static constexpr Duration baseEjectionTime = milliseconds(1000);
    static constexpr Duration maxEjectionTime = seconds(30);
    // Slow start: a new target gets one slot, and one more after each step.
    static constexpr Duration slowStartStep = milliseconds(1000);

    TargetPool(std::string region, std::string zone, std::uint64_t nonceSeed)
        : m_region(std::move(region))
        , m_zone(std::move(zone))
        , m_borrower(nonceSeed)
    {}

    // Replaces the targets. Observations of targets that stay are kept. Targets of the first call
    // have no slow start.
    void setTargets(const std::vector<TargetSpec> &specs, Time now);

    // A slot for a request: a slot of this VM, or a borrowed one.
    struct Choice
    {
        std::string target;
        SlotBorrower::SlotId borrowed = 0; // 0: a slot of this VM
    };
    // Chooses a slot for a request that may run until the given time, on a target that is not
    // excluded. Empty if all usable slots are taken.
    std::optional<Choice> choose(const std::set<std::string> &excluded, Time until, Time now) const;
    void started(const Choice &choice);
    void finished(const Choice &choice, RunOutcome outcome, Duration took, Time now);
    // Time until which the borrowed slot of a running request may be used; empty for a slot of this
    // VM.
    std::optional<Time> usableUntil(const Choice &choice) const;

    // Lends free slots of open targets to another VM, unless requests of this VM are waiting.
    SlotGrant lend(const std::string &borrower, const SlotRequest &slotRequest, bool ownWaiting,
                   Time now);
    void acceptReturn(const std::string &borrower, const SlotReturn &slotReturn);
    // Slots that this VM borrowed from others.
    SlotBorrower &borrower() { return m_borrower; }
    void expireLoans(Time now) { m_lender.expire(now); }

    // Returns whether a target is open, even if it has no free slot.
    bool hasOpenTarget() const;
    // Returns whether no target has more requests in flight than slots.
    bool isWithinSlots() const;
    int inFlight() const;
    int slots() const;
    // Exponential moving average of the duration of requests.
    Duration averageDuration() const { return m_averageDuration; }

    // State of a target as seen by this VM, for status pages.
    struct TargetStatus
    {
        std::string name;
        int inFlight;
        int slots;
        int lent;
        bool closed;
        bool ejected;
    };
    std::vector<TargetStatus> targetStatuses(Time now) const;

private:
    struct TargetRecord
    {
        TargetSpec spec;
        int inFlight = 0; // on slots of this VM
        int consecutiveFailures = 0;
        int ejections = 0;
        Time ejectedUntil;
        Time addedAt;
        bool slowStartDone = false;
        double latencySeconds = 0;
    };

    const TargetRecord *find(const std::string &name) const;
    TargetRecord *find(const std::string &name);
    int usableSlots(const TargetRecord &record, Time now) const;
    // 0 in the same zone, 1 in the same region, 2 elsewhere.
    int distance(const TargetRecord &record) const;
    bool mayEject() const;

    std::string m_region;
    std::string m_zone;
    std::vector<TargetRecord> m_records;
    Duration m_averageDuration{ 0 };
    bool m_isInitialized = false;
    SlotLender m_lender;
    SlotBorrower m_borrower;
};

} // namespace basildeck
