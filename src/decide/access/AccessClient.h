#pragma once

#include "decide/access/AccessMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// The side of the access to targets of the VM that sends the requests: the permits that it has
// asked for or holds, and the coordinators that do not reply.
class AccessClient
{
public:
    using RequestId = std::uint64_t;

    // A coordinator replies within this time beyond the time that the request may wait.
    static constexpr Duration replyTimeout = milliseconds(60);
    // How long this VM decides by itself in place of a coordinator that did not reply.
    static constexpr Duration localDecisionTime = seconds(1);
    // The load that a reply tells is of use for this time. A target frees and fills slots all the
    // time, and an urgent request need not wait for the others.
    static constexpr Duration loadLifetime = milliseconds(250);

    // The numbers of a later process of the VM must differ from those of an earlier one.
    AccessClient(std::string vm, std::uint64_t firstNumber);

    // What a coordinator has to know about a request.
    struct Terms
    {
        RequestId request = 0;
        std::string target;
        int priority = 0;
        std::string organisation;
        Duration mayWait{ 0 };
        Duration expectedRun{ 0 };
        Duration expiresIn{ 0 };
    };

    struct Counters
    {
        std::uint64_t asked = 0;
        std::uint64_t granted = 0;
        std::uint64_t declined = 0;
        std::uint64_t unanswered = 0;
        std::uint64_t decidedLocally = 0; // for lack of a reply, to this request or another
        Duration waited{ 0 };             // total time until permits were granted
    };

    // The outcome of a request for a permit.
    struct Answer
    {
        RequestId request = 0;
        bool isGranted = false;
        Duration retryAfter{ 0 };
    };

    // A withdrawn or returned permit.
    struct Release
    {
        std::string coordinator;
        PermitRelease message;
    };

    // A request for a permit that was not answered in time, and the release to send in case the
    // reply was lost.
    struct Unanswered
    {
        RequestId request = 0;
        Release release;
    };

    // Whether requests are sent without asking the coordinator.
    bool decidesLocally(const std::string &coordinator, Time now) const;
    void countLocalDecision() { ++m_counters.decidedLocally; }
    PermitRequest ask(const std::string &coordinator, const Terms &terms, Time now);
    // Returns nothing if the reply is not expected any more.
    std::optional<Answer> handle(const PermitReply &reply, Time now);
    // Returns nothing if the permit is not known.
    std::optional<Release> release(std::uint64_t number, const std::optional<LoadReport> &load,
                                   Duration ranFor, bool isShed);
    std::vector<Unanswered> takeUnanswered(Time now);
    // The requests that wait for a permit of a target.
    std::vector<RequestId> waitingFor(const std::string &target) const;
    // The time that a request is expected to wait for a permit, by the last reply about the target.
    Duration expectedWait(const std::string &target, int slots, Duration run, Time now) const;

    bool isWaiting() const;
    const Counters &counters() const { return m_counters; }

private:
    struct Permit
    {
        RequestId request = 0;
        std::string coordinator;
        std::string target;
        bool isGranted = false;
        Time askedAt;
        Time replyBy;
    };

    struct TargetLoad
    {
        int running = 0;
        int waiting = 0;
        Time at;
    };

    std::string m_vm;
    std::uint64_t m_lastNumber;
    std::map<std::uint64_t, Permit> m_permits; // by number
    std::map<std::string, TargetLoad> m_loads; // by target
    std::map<std::string, Time> m_repliedAt;   // by coordinator
    std::map<std::string, Time> m_localUntil;  // by coordinator
    Counters m_counters;
};

} // namespace basildeck
