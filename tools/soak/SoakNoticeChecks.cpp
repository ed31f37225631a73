#include "soak/SoakNoticeChecks.h"

#include <algorithm>
#include <deque>

namespace basildeck::soak {

namespace {

constexpr Duration settlingTime = seconds(4);
constexpr Duration drainBound = milliseconds(2500);
// Requests that were under way when a target requested a hold-off may reach it until then.
constexpr Duration holdOffSlack = milliseconds(500);
constexpr int maxArrivalsInHoldOff = 2;
constexpr Duration limitWindow = seconds(4);

class NoticeChecks
{
public:
    explicit NoticeChecks(const SoakRecords &records)
        : m_records(records)
    {}

    // What a target says in its responses binds the VM that passed the response on, unless the VM
    // was restarted or paused, or the target's link was disturbed. After a fault of the store, a VM
    // may know targets by the addresses of another VM for a while, as if they were other targets.
    std::vector<std::string> run()
    {
        for (const SoakTargets::Notice &notice : m_records.targets.notices()) {
            const auto request = m_records.callers.requests().find(notice.requestId);
            const bool wasPassedOn = request != m_records.callers.requests().end()
                                     && request->second.status != 0
                                     && isSentByItself(request->second.vm, notice.time)
                                     && !wasStoreDisturbed(notice.time - settlingTime,
                                                           notice.time + notice.holdOff)
                                     && !m_records.targets.wasLinkDisturbed(
                                             notice.target, notice.time - settlingTime,
                                             notice.time + notice.holdOff + holdOffSlack);
            if (!wasPassedOn)
                continue;
            if (notice.holdOff == Duration::zero())
                checkLeavingNotice(notice, request->second.vm);
            else
                checkHoldOff(notice, request->second.vm);
        }
        for (const auto &[target, since] : m_records.targets.limitedSince())
            checkLimit(target, since);
        return m_violations;
    }

private:
    // Counts the requests that VMs without faults sent to a target that names a rate.
    void checkLimit(const std::string &target, Time since)
    {
        const double maxInWindow = SoakTargets::limitPerSecond * toSeconds(limitWindow) * 1.5 + 5;
        std::deque<Time> inWindow;
        for (const SoakTargets::Arrival &arrival : m_records.targets.arrivals(target)) {
            const auto request = m_records.callers.requests().find(arrival.requestId);
            const Time calmSince = arrival.time - settlingTime;
            if (arrival.time < since + settlingTime || request == m_records.callers.requests().end()
                || !isSentByItself(request->second.vm, arrival.time)
                || wasInterrupted(request->second.vm, calmSince, arrival.time)
                || wasStoreDisturbed(calmSince, arrival.time)
                || m_records.targets.wasLinkDisturbed(target, calmSince, arrival.time))
                continue;
            inWindow.push_back(arrival.time);
            while (inWindow.front() <= arrival.time - limitWindow)
                inWindow.pop_front();
            if (static_cast<double>(inWindow.size()) <= maxInWindow)
                continue;
            m_violations.push_back(target + " received " + std::to_string(inWindow.size())
                                   + " requests in 4 s, the last " + arrival.requestId
                                   + ", although it names a rate of "
                                   + std::to_string(SoakTargets::limitPerSecond) + " a second");
            return;
        }
    }

    void checkLeavingNotice(const SoakTargets::Notice &notice, std::size_t vm)
    {
        for (const SoakTargets::Arrival &arrival : m_records.targets.arrivals(notice.target)) {
            const auto request = m_records.callers.requests().find(arrival.requestId);
            if (request == m_records.callers.requests().end() || request->second.vm != vm
                || request->second.sentAt <= notice.time + drainBound
                || !isSentByItself(vm, arrival.time) || wasStoreDisturbed(notice.time, arrival.time)
                || wasInterrupted(vm, notice.time, arrival.time))
                continue;
            m_violations.push_back(arrival.requestId + " was sent by vm-" + std::to_string(vm + 1)
                                   + " to " + notice.target + " "
                                   + std::to_string(toSeconds(arrival.time - notice.time))
                                   + " s after the target had said in the response to "
                                   + notice.requestId + " that it was leaving");
            return;
        }
    }

    void checkHoldOff(const SoakTargets::Notice &notice, std::size_t vm)
    {
        const Time end = notice.time + notice.holdOff;
        const auto &arrivals = m_records.targets.arrivals(notice.target);
        const auto count = std::count_if(
                arrivals.begin(), arrivals.end(), [&](const SoakTargets::Arrival &arrival) {
                    const auto request = m_records.callers.requests().find(arrival.requestId);
                    return request != m_records.callers.requests().end() && request->second.vm == vm
                           && isSentByItself(vm, arrival.time)
                           && arrival.time > notice.time + holdOffSlack && arrival.time < end;
                });
        if (count > maxArrivalsInHoldOff && !wasInterrupted(vm, notice.time, end))
            m_violations.push_back("vm-" + std::to_string(vm + 1) + " sent " + std::to_string(count)
                                   + " requests to " + notice.target + " in the hold-off of "
                                   + std::to_string(toSeconds(notice.holdOff))
                                   + " s for which the response to " + notice.requestId + " asked");
    }

    bool wasStoreDisturbed(Time from, Time to) const
    {
        const auto &disturbances = m_records.storeFaults.disturbances();
        return std::any_of(disturbances.begin(), disturbances.end(),
                           [&](const StoreDisturbance &disturbance) {
                               return disturbance.from <= to && disturbance.until >= from;
                           });
    }

    // Whether the requests that a VM takes are sent to targets by itself at a time. Another VM
    // sends them while the VM is cut from the targets, and for a while afterwards.
    bool isSentByItself(std::size_t vm, Time time) const
    {
        return !m_records.partitions.wasPartitioned(vm, time - settlingTime, time);
    }

    // Whether a VM was paused or its process was replaced in a period.
    bool wasInterrupted(std::size_t vm, Time from, Time to) const
    {
        for (std::size_t i = 0; i <= m_records.vms.currentProcess(vm); ++i) {
            const auto exitTime = m_records.vms.process(vm, i).exitTime;
            if (exitTime && *exitTime >= from && *exitTime <= to)
                return true;
        }
        return m_records.vms.wasKilledOrPaused(vm, from - settlingTime, to);
    }

    const SoakRecords &m_records;
    std::vector<std::string> m_violations;
};

} // namespace

std::vector<std::string> checkNotices(const SoakRecords &records)
{
    return NoticeChecks(records).run();
}

} // namespace basildeck::soak
