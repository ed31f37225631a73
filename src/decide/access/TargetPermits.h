#pragma once

#include "decide/FairQueue.h"
#include "decide/access/AccessMessages.h"

#include <compare>
#include <map>
#include <optional>
#include <string>

namespace basildeck {

// What a coordinator has decided, over all targets.
struct AccessCounters
{
    std::uint64_t granted = 0;
    std::uint64_t declined = 0;
    std::uint64_t displaced = 0; // part of declined: for the sake of another request
    std::uint64_t expired = 0;   // permits that were not returned
    Duration queued{ 0 };        // total time that granted requests waited
};

// The permits of one target that its coordinator has granted, and the requests that wait for one.
//
// Permits are granted while the requests at the target are below its slots. Requests that the
// target reports beyond those with a permit count as well: they were sent by VMs of other regions,
// by VMs of earlier builds or by VMs that decided locally.
class TargetPermits
{
public:
    // Requests that may wait for each slot. The wait for a longer queue exceeds any objective that
    // is a few run times long.
    static constexpr std::size_t waitingPerSlot = 4;
    // An older report tells nothing about the requests without a permit: they have ended, or others
    // have come. Before the first report only half the slots are granted, as in a VM's own limiter.
    static constexpr Duration reportLifetime = seconds(1);
    // Bounds of the time after which declined requests are to be repeated. A caller that retries
    // before the lower bound finds the same queue.
    static constexpr Duration minRetryAfter = milliseconds(100);
    static constexpr Duration maxRetryAfter = seconds(2);
    // A permit whose request is not at the target after this time was returned by a message that
    // got lost, or its grant was. It then takes no slot any more, long before it expires. If the
    // request is only late, as a large one may be, the target gets one more than its slots.
    static constexpr Duration arrivalTime = milliseconds(100);
    // Added to the lifetime of a permit for the time that messages are on their way.
    static constexpr Duration expiryMargin = milliseconds(250);

    TargetPermits(int slots, AccessCounters &counters);

    void setSlots(int slots);
    // A repeated request gets the same reply.
    void request(const PermitRequest &request, Time now, PermitDecisions &decisions);
    void release(const PermitRelease &release, Time now, PermitDecisions &decisions);
    // Ends the permits of a VM that is gone, and forgets its waiting requests.
    void endPermitsOf(const std::string &vm, Time now, PermitDecisions &decisions);
    // Ends the permits that have expired, and declines requests that have waited too long.
    void tick(Time now, PermitDecisions &decisions);

    std::size_t heldCount() const { return m_held.size(); }
    std::size_t waitingCount() const { return m_waiting.size(); }
    // The requests at the target that have no permit, by its last report.
    int unpermitted() const { return m_unpermitted; }
    bool isIdle() const { return m_held.empty() && m_waiting.empty(); }
    Time lastUsedAt() const { return m_lastUsedAt; }

private:
    struct PermitId
    {
        std::string vm;
        std::uint64_t number = 0;
        auto operator<=>(const PermitId &) const = default;
    };

    struct Held
    {
        Time grantedAt;
        Time expiresAt;
    };

    // A request that waits for a permit.
    struct Waiting
    {
        PermitId id;
        int priority = 0;
        std::string organisation;
        Time since;
        Time startBy;
        Time expiresAt;
    };

    using Ticket = FairQueue::RequestId;

    // The number of permits that may be in use.
    std::size_t capacity(Time now) const;
    bool hasFreeSlot(Time now) const;
    Duration meanRun() const;
    // The time until a request can start that has a number of others ahead.
    Duration expectedStart(std::size_t ahead, Time now) const;
    // The number of waiting requests that are served before a new one.
    std::size_t countAhead(int priority, const std::string &organisation) const;
    std::size_t countOf(int priority, const std::string &organisation) const;
    // The waiting request that has to give way to a new one of a full queue, if any.
    std::optional<Ticket> displacedBy(const PermitRequest &request) const;
    // Declines the waiting requests less urgent than a priority that cannot start in time any more.
    void declineOverdue(int priority, Time now, PermitDecisions &decisions);
    Waiting take(Ticket ticket);
    void grant(const PermitId &id, Time expiresAt, Time now, PermitDecisions &decisions);
    void decline(const PermitId &id, std::size_t ahead, Time now, PermitDecisions &decisions);
    void grantWaiting(Time now, PermitDecisions &decisions);
    std::optional<Ticket> findWaiting(const PermitId &id) const;
    void recordLoad(const LoadReport &load, Time now);
    PermitReply makeReply(std::uint64_t number) const;

    int m_slots;
    AccessCounters &m_counters;
    std::map<PermitId, Held> m_held;
    std::map<Ticket, Waiting> m_waiting;
    std::map<int, FairQueue> m_queues; // by priority
    Ticket m_lastTicket = 0;
    int m_unpermitted = 0;
    int m_absent = 0; // permits whose requests are not at the target
    int m_speedPercent = 0;
    std::optional<Time> m_reportedAt;
    double m_runSeconds = 0; // moving average
    Time m_pausedUntil{};    // after the target rejected a request
    Time m_nextRetryAt{};    // of the next declined request
    Time m_lastUsedAt{};
};

} // namespace basildeck
