#include "soak/SoakChecks.h"

#include "soak/SoakNoticeChecks.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace basildeck::soak {

namespace {

// The platform's bounds, with the values that its settings have.
constexpr Duration settlingTime = seconds(4);
constexpr Duration configBound = milliseconds(2500);
constexpr Duration drainBound = milliseconds(2500);
constexpr Duration quotaWindow = seconds(5);
// Around a shutdown: until when requests are checked, until when the target's work excuses nothing,
// and the last time of sending for which work at a target after that is an excuse.
constexpr Duration shutdownCheckEnd = SoakVms::shutdownGrace + seconds(1);
constexpr Duration lateWorkStart = SoakVms::shutdownGrace - SoakVms::shutdownGrace / 6;
constexpr Duration excusedSendingEnd = seconds(3);
// The timeout of the routes with long runs, and the time budget of their requests, are not shorter.
constexpr Duration longRouteTimeout = milliseconds(7900);
// The least fraction of the requests without a quota that is served after the recovery.
constexpr double minServedRatio = 0.95;

// While a VM is cut from all targets: the least fraction of the others' rate at which it serves
// first attempts, or else how many of all may fail there.
constexpr double minPartitionedRatio = 2.0 / 3;
constexpr double maxPartitionedFailures = 10;
constexpr double maxPartitionedFailureRatio = 1.0 / 50;

std::string_view habitName(CallerHabit habit)
{
    static constexpr std::array<std::string_view, 4> names
            = { "plain", "pipelined", "split body", "slow reading" };
    return names.at(static_cast<std::size_t>(habit));
}

class SoakChecks
{
public:
    explicit SoakChecks(const SoakRecords &records)
        : m_records(records)
    {}

    std::vector<std::string> run()
    {
        for (const auto *violations :
             { &m_records.targets.violations(), &m_records.callers.violations(),
               &m_records.longCallers.violations(), &m_records.vms.violations(),
               &m_records.partitions.violations() })
            m_violations.insert(m_violations.end(), violations->begin(), violations->end());
        const std::vector<std::string> noticeViolations = checkNotices(m_records);
        m_violations.insert(m_violations.end(), noticeViolations.begin(), noticeViolations.end());
        checkExecutions();
        checkQuota();
        checkDraining();
        checkShutdown();
        checkConfig();
        checkUnwatchedChanges();
        checkRefusals();
        checkRecovery();
        checkPartitions();
        return m_violations;
    }

private:
    void checkExecutions()
    {
        for (const auto &[id, execution] : m_records.targets.executions()) {
            const auto &requests = m_records.callers.requests();
            const auto &longRequests = m_records.longCallers.requests();
            const auto request = requests.find(id);
            const auto longRequest = longRequests.find(id);
            if (request != requests.end())
                checkExecution(id, execution, request->second.unsafe, request->second.status);
            else if (longRequest != longRequests.end())
                checkExecution(id, execution, longRequest->second.unsafe,
                               longRequest->second.status);
            else if (!m_records.probes.probes().contains(id))
                m_violations.push_back(id + " was executed, but no caller sent it");
        }
    }

    void checkExecution(const std::string &id, const ExecutionRecord &execution, bool isUnsafe,
                        int status)
    {
        if (isUnsafe && execution.executionCount > 1)
            m_violations.push_back(id + " is not idempotent and was executed "
                                   + std::to_string(execution.executionCount) + " times");
        if (isUnsafe && (status == 429 || status == 503))
            m_violations.push_back(id + " was executed, but its caller was told that it was not");
    }

    void checkQuota()
    {
        std::vector<Time> startTimes;
        for (const auto &[id, execution] : m_records.targets.executions()) {
            if (execution.organisation == "limited")
                startTimes.push_back(execution.firstStart);
        }
        std::sort(startTimes.begin(), startTimes.end());
        const double maxInWindow
                = (SoakCallers::limitedRate * toSeconds(quotaWindow) + SoakCallers::limitedBurst)
                          * 1.1
                  + 20;
        for (std::size_t from = 0, to = 0; to < startTimes.size(); ++to) {
            while (startTimes[to] - startTimes[from] > quotaWindow)
                ++from;
            if (static_cast<double>(to - from + 1) > maxInWindow) {
                m_violations.push_back("quota exceeded: " + std::to_string(to - from + 1) + " of "
                                       + std::to_string(maxInWindow) + " in a window");
                return;
            }
        }
    }

    // Whether neither the VM, its store link nor the store was disturbed within settlingTime before
    // a time.
    bool isInTouch(std::size_t vm, Time time) const
    {
        const bool isStoreStable = std::none_of(
                m_records.storeFaults.disturbances().begin(),
                m_records.storeFaults.disturbances().end(),
                [&](const StoreDisturbance &disturbance) {
                    return disturbance.from <= time && time <= disturbance.until + settlingTime;
                });
        return isStoreStable && !m_records.vms.wasDisturbed(vm, time - settlingTime, time);
    }

    // What a VM sent before a cut may arrive after it. During a cut another VM has passed the
    // request on, which may be any.
    bool isExcusedByPartition(std::size_t vm, Time time) const
    {
        if (!m_records.partitions.wasPartitioned(vm, time - settlingTime, time))
            return false;
        bool areAllInTouch = m_records.partitions.wasPartitioned(vm, time, time);
        for (std::size_t other = 0; other < m_records.vms.count(); ++other)
            areAllInTouch = areAllInTouch && isInTouch(other, time);
        return !areAllInTouch;
    }

    // The bound applies to VMs that are in touch.
    void checkDraining()
    {
        for (const SoakTargets::DrainingArrival &arrival : m_records.targets.drainingArrivals()) {
            const auto request = m_records.callers.requests().find(arrival.requestId);
            if (arrival.sinceDraining <= drainBound
                || request == m_records.callers.requests().end())
                continue;
            if (isInTouch(request->second.vm, arrival.time)
                && !isExcusedByPartition(request->second.vm, arrival.time))
                m_violations.push_back(arrival.requestId + " reached a target "
                                       + std::to_string(toSeconds(arrival.sinceDraining))
                                       + " s after the target started to drain");
        }
    }

    // Around a SIGTERM, a request that was passed on to a target receives the target's response. A
    // VM that was killed, paused or cut from targets within the last settlingTime is exempt; the
    // targets of long runs do not break off.
    void checkShutdown()
    {
        for (const auto &[id, request] : m_records.longCallers.requests()) {
            const auto sigterm = m_records.vms.process(request.vm, request.process).sigtermTime;
            const auto execution = m_records.targets.executions().find(id);
            const bool isAnswered = request.status != 0 && request.isSealed;
            if (!sigterm || !request.endedAt || !request.lastByteAt || isAnswered
                || execution == m_records.targets.executions().end())
                continue;
            const Time endedAt = *request.endedAt;
            const bool isExempt = endedAt < *sigterm || endedAt > *sigterm + shutdownCheckEnd
                                  || endedAt - request.firstByteAt >= longRouteTimeout
                                  || isExcusedByLateWork(request, execution->second, *sigterm)
                                  || m_records.vms.wasKilledOrPaused(
                                          request.vm, request.firstByteAt - settlingTime, endedAt)
                                  || m_records.partitions.wasPartitioned(
                                          request.vm, request.firstByteAt - settlingTime, endedAt);
            if (!isExempt)
                m_violations.push_back(
                        describeLostRequest(id, request, execution->second, *sigterm));
        }
    }

    // Reading a response slowly keeps the target at work.
    static bool isExcusedByLateWork(const LongRequestRecord &request,
                                    const ExecutionRecord &execution, Time sigterm)
    {
        const bool isSlowlyRead
                = request.habit == CallerHabit::SlowReading && execution.lastCompleted;
        const Time workEnd
                = isSlowlyRead ? *request.endedAt : execution.lastEnd.value_or(Time::max());
        return *request.lastByteAt <= sigterm + excusedSendingEnd
               && workEnd >= sigterm + lateWorkStart;
    }

    std::string describeLostRequest(const std::string &id, const LongRequestRecord &request,
                                    const ExecutionRecord &execution, Time sigterm) const
    {
        std::ostringstream text;
        text.precision(3);
        text << std::fixed << id << " (" << habitName(request.habit)
             << (request.previousId.empty() ? "" : ", behind " + request.previousId) << ") ";
        if (request.status == 0)
            text << "ended without a response";
        else
            text << "was answered " << request.status << " in place of its target";
        text << " at vm-" << request.vm + 1 << "; after the SIGTERM: sent from "
             << toSeconds(request.firstByteAt - sigterm) << " to "
             << toSeconds(*request.lastByteAt - sigterm) << " s, at a target from "
             << toSeconds(execution.lastStart - sigterm) << " s";
        if (execution.lastEnd)
            text << " to " << toSeconds(*execution.lastEnd - sigterm) << " s ("
                 << (execution.lastCompleted ? "completed" : "broken off") << ")";
        text << ", ended at " << toSeconds(*request.endedAt - sigterm) << " s";
        const auto previous = m_records.longCallers.requests().find(request.previousId);
        if (previous != m_records.longCallers.requests().end() && previous->second.endedAt)
            text << "; " << previous->first << " was answered " << previous->second.status
                 << " and ended at " << toSeconds(*previous->second.endedAt - sigterm) << " s";
        return text.str();
    }

    // A VM that is in touch handles requests by a version soon after its acknowledgement. A process
    // that has shown the effect of a version does not go back to an older one.
    void checkConfig()
    {
        std::map<std::pair<std::size_t, std::size_t>, std::map<int, Time>> seenAt; // by VM, process
        for (const auto &[id, probe] : m_records.probes.probes()) {
            if (probe.status != 200)
                continue;
            Time &time = seenAt[{ probe.vm, probe.process }]
                                 .try_emplace(probe.version, probe.answeredAt)
                                 .first->second;
            time = std::min(time, probe.answeredAt);
        }
        for (const auto &[id, probe] : m_records.probes.probes()) {
            if (probe.status != 401 && probe.status != 404)
                continue;
            const auto &seen = seenAt[{ probe.vm, probe.process }];
            for (auto newer = seen.lower_bound(probe.version); newer != seen.end(); ++newer) {
                if (newer->second < probe.sentAt) {
                    m_violations.push_back(describeProbe(id, probe) + " after it had shown version "
                                           + std::to_string(newer->first));
                    break;
                }
            }
            const Duration age = probe.sentAt - probe.acknowledgedAt;
            if (age > configBound && isInTouch(probe.vm, probe.sentAt))
                m_violations.push_back(describeProbe(id, probe) + " "
                                       + std::to_string(toSeconds(age))
                                       + " s after its acknowledgement");
        }
    }

    // All VMs know a configuration within a bound though the watches for it were lost.
    void checkUnwatchedChanges()
    {
        for (const UnwatchedChange &change : m_records.storeFaults.unwatchedChanges()) {
            for (std::size_t vm = 0; vm < m_records.vms.count(); ++vm) {
                const Time shownAt = m_records.probes.shownAt(vm, change.version);
                if (shownAt <= change.time + change.bound)
                    continue;
                std::ostringstream text;
                text << "vm-" << vm + 1 << " did not know version " << change.version << " "
                     << toSeconds(change.bound) << " s after " << change.fault;
                if (shownAt != Time::max())
                    text << ", but after " << toSeconds(shownAt - change.time) << " s";
                m_violations.push_back(text.str());
            }
        }
    }

    static std::string describeProbe(const std::string &id, const ProbeRecord &probe)
    {
        return id + ": vm-" + std::to_string(probe.vm + 1) + " answered "
               + std::to_string(probe.status) + " on the route of version "
               + std::to_string(probe.version);
    }

    // No configuration of the soak lacks the callers' routes and keys.
    void checkRefusals()
    {
        const auto check = [&](const std::string &id, std::size_t vm, int status) {
            if (status == 401 || status == 403 || status == 404)
                m_violations.push_back(id + " was answered " + std::to_string(status) + " by vm-"
                                       + std::to_string(vm + 1));
        };
        for (const auto &[id, request] : m_records.callers.requests())
            check(id, request.vm, request.status);
        for (const auto &[id, request] : m_records.longCallers.requests())
            check(id, request.vm, request.status);
    }

    void checkRecovery()
    {
        double sent = 0;
        double served = 0;
        for (const auto &[id, request] : m_records.callers.requests()) {
            if (request.organisation == "limited" || request.sentAt < m_records.steadyPhaseStart
                || request.sentAt > m_records.steadyPhaseEnd)
                continue;
            sent += 1;
            served += request.status == 200 ? 1 : 0;
        }
        if (served < minServedRatio * sent || sent == 0)
            m_violations.push_back("after the recovery only " + std::to_string(served) + " of "
                                   + std::to_string(sent) + " requests were served");
    }

    struct ServedCount
    {
        double sent = 0;
        double served = 0;
    };

    // A VM that has been cut from all targets for detectionBound serves the first attempts of its
    // callers nearly as often as the others.
    void checkPartitions()
    {
        for (const Partition &partition : m_records.partitions.partitions()) {
            const Time from = partition.from + SoakPartitions::detectionBound;
            if (partition.until <= from)
                continue;
            ServedCount atVm;
            ServedCount atOthers;
            for (const auto &[id, request] : m_records.callers.requests()) {
                if (request.organisation == "limited" || request.sentAt < from
                    || request.sentAt > partition.until)
                    continue;
                const bool isAtOther = !m_records.partitions.wasPartitioned(
                        request.vm, request.sentAt, request.sentAt);
                if (request.vm != partition.vm && !isAtOther)
                    continue;
                ServedCount &count = isAtOther ? atOthers : atVm;
                count.sent += 1;
                count.served += request.status == 200 ? 1 : 0;
            }
            checkPartition(partition, atVm, atOthers);
        }
    }

    void checkPartition(const Partition &partition, const ServedCount &atVm,
                        const ServedCount &atOthers)
    {
        const double minServed
                = minPartitionedRatio * atOthers.served / std::max(1.0, atOthers.sent) * atVm.sent;
        const double maxFailed
                = maxPartitionedFailures + maxPartitionedFailureRatio * (atVm.sent + atOthers.sent);
        if (atVm.served >= minServed || atVm.sent - atVm.served <= maxFailed)
            return;
        std::ostringstream text;
        text << "vm-" << partition.vm + 1 << ", cut from all targets for "
             << toSeconds(partition.until - partition.from) << " s, served " << atVm.served
             << " of " << atVm.sent << " requests, the others " << atOthers.served << " of "
             << atOthers.sent;
        m_violations.push_back(text.str());
    }

    const SoakRecords &m_records;
    std::vector<std::string> m_violations;
};

} // namespace

std::vector<std::string> checkInvariants(const SoakRecords &records)
{
    return SoakChecks(records).run();
}

} // namespace basildeck::soak
