#pragma once

#include "basildeck/Time.h"
#include "decide/SlotLoans.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// A target as one VM may use it.
struct TargetSpec
{
    std::string name;
    std::string region;
    std::string zone;
    int slots = 0;       // slots that this VM may use
    bool closed = false; // leaving or drained: gets no new work
};

// How a run on a target ended, as this VM saw it.
enum class RunOutcome { Answered, Shed, ConnectFailed, Lost, Cancelled };

// Chooses targets of one service from what this VM observed itself. Reports of targets are not
// used for more than a tie.
class TargetPool
{
public:
    // A target that fails this often in a row is set aside.
    static constexpr int ejectionThreshold = 3;
    static constexpr Duration baseEjectionTime = milliseconds(1000);
    static constexpr Duration maxEjectionTime = seconds(30);
    // A new target is given one slot, then one more in each of these steps.
    static constexpr Duration slowStartStep = milliseconds(1000);

    TargetPool(std::string region, std::string zone, std::uint64_t nonceSeed)
        : m_region(std::move(region))
        , m_zone(std::move(zone))
        , m_borrower(nonceSeed)
    {}

    // Replaces the list. What was observed of targets that stay is kept. Targets of the first list
    // are not ramped.
    void setTargets(const std::vector<TargetSpec> &specs, Time now);

    // A slot for a request: one of this VM, or a borrowed one.
    struct Choice
    {
        std::string target;
        SlotBorrower::SlotId borrowed = 0; // 0: a slot of this VM
    };
    // The slot for the next request that may run until a time, on another target than the given
    // ones; nothing if all usable slots are taken.
    std::optional<Choice> choose(const std::set<std::string> &without, Time until, Time now) const;
    void started(const Choice &choice);
    void finished(const Choice &choice, RunOutcome outcome, Duration took, Time now);
    // Until when the slot of a running request may be used.
    std::optional<Time> usableUntil(const Choice &choice) const;

    // Lends free slots of open targets to another VM. Nothing is lent while own requests wait.
    SlotGrant lend(const std::string &borrower, const SlotAsk &ask, bool ownWaiting, Time now);
    void takeBack(const std::string &borrower, const SlotReturn &back);
    // The borrowing side.
    SlotBorrower &borrower() { return m_borrower; }
    void expireLoans(Time now) { m_lender.expire(now); }

    // True if some target is open, whether or not it has a free slot.
    bool hasOpenTarget() const;
    // In-flight requests do not exceed the slots of any target.
    bool isWithinSlots() const;
    int inFlight() const;
    int slots() const;
    // Expected duration of a request.
    Duration averageDuration() const { return m_typical; }

    // What this VM believes of a target, for status pages.
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
    struct State
    {
        TargetSpec spec;
        int inFlight = 0; // on slots of this VM
        int failuresInRow = 0;
        int ejections = 0;
        Time ejectedUntil;
        Time firstSeen;
        bool ramped = false;
        double latencySeconds = 0;
    };

    const State *find(const std::string &name) const;
    State *find(const std::string &name);
    int usableSlots(const State &state, Time now) const;
    int distance(const State &state) const;
    bool mayEject() const;

    std::string m_region;
    std::string m_zone;
    std::vector<State> m_states;
    Duration m_typical{ 0 };
    bool m_filled = false;
    SlotLender m_lender;
    SlotBorrower m_borrower;
};

} // namespace basildeck
