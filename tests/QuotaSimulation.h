#pragma once

#include "decide/quota/QuotaManager.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace basildeck::test {

constexpr Duration heartbeatPeriod = milliseconds(250);
constexpr Duration step = milliseconds(5);
// The maximum delay of a datagram without faults: the latency between two regions plus 10%.
constexpr Duration steadyMaxDelay = milliseconds(60);
constexpr QuotaLimit limit{ 200, 100 };
constexpr const char *organisation = "o-1";
constexpr double overshoot = 0.1;
constexpr double slack = 20;

constexpr Duration window = seconds(5);

// The platform's limit: at most (rate * 5 + burst) * 1.1 + 20 requests in any window of 5 s.
constexpr double maxInWindowOf(const QuotaLimit &of)
{
    return (of.rate * 5 + of.burst) * (1 + overshoot) + slack;
}

constexpr double maxInWindow = maxInWindowOf(limit);

// The number of VMs of a fleet and the limit of its organisation.
struct FleetSize
{
    std::size_t vms = 7;
    QuotaLimit limit = basildeck::test::limit;

    Duration heartbeatInterval() const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                static_cast<double>(vms - 1) / PeerTable::maxHeartbeatsPerSecond));
    }

    std::map<std::string, std::string> vmRegions() const
    {
        std::map<std::string, std::string> regions;
        for (std::size_t i = 0; i < vms; ++i)
            regions["vm-" + std::to_string(i)] = "";
        return regions;
    }
};

// A message in transit.
struct Datagram
{
    Time arrival;
    std::size_t to;
    std::variant<Heartbeat, QuotaLoanRequest, QuotaLoan> content;
};

struct Vm
{
    Vm(const std::string &name, std::uint64_t incarnation, const FleetSize &size, Time now)
        : quotas(name)
        , peers(name)
    {
        heartbeat.vm = heartbeat.gossipAddress = name;
        heartbeat.incarnation = incarnation;
        quotas.setLimits({ { organisation, size.limit.withOvershoot(overshoot, slack, window) } },
                         now);
        quotas.setFleet({ size.vmRegions(), size.vms, {} }, now);
    }

    QuotaManager quotas;
    PeerTable peers;
    Heartbeat heartbeat;
    Time nextHeartbeat;
};

// Simulates VMs that report their demand to each other. At random, VMs are partitioned, paused or
// restarted.
class Fleet
{
public:
    // With equal shares, the baseline, every VM always uses the same fraction of the limit.
    explicit Fleet(std::uint64_t seed, bool equalShares = false, FleetSize size = {})
        : m_size(size)
        , m_heartbeatPeriod(std::max(heartbeatPeriod, size.heartbeatInterval()))
        , m_regions(size.vmRegions())
        , m_random(seed)
        , m_equalShares(equalShares)
    {
        for (std::size_t i = 0; i < m_size.vms; ++i) {
            m_vms.push_back(makeVm(i));
            m_vms.back().nextHeartbeat = m_now + m_heartbeatPeriod * i / m_size.vms;
        }
    }

    void setMaxDelay(Duration maxDelay) { m_maxDelay = maxDelay; }

    // Simulates a period with a demand in requests per second. Returns the largest number of
    // requests admitted in a window.
    double simulate(Duration length, double demand, bool withFaults, bool callersMove = true)
    {
        std::size_t peak = 0;
        double arrivalCredit = 0;
        const Time end = m_now + length;
        Time nextFault = m_now;
        while (m_now < end) {
            if (withFaults && m_now >= nextFault) {
                nextFault = m_now + heartbeatPeriod;
                injectFault();
            }
            exchangeMessages();
            // The VM that receives most requests changes from time to time.
            if (pick(400) == 0)
                m_hotVm = pick(m_size.vms);
            for (arrivalCredit += demand * toSeconds(step); arrivalCredit >= 1; arrivalCredit -= 1)
                offerRequest(callersMove && pick(2) == 0 ? m_hotVm : pick(m_size.vms));
            while (!m_admittedInWindow.empty() && m_admittedInWindow.front() < m_now - window)
                m_admittedInWindow.pop_front();
            peak = std::max(peak, m_admittedInWindow.size());
            m_now += step;
        }
        return static_cast<double>(peak);
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < m_size.vms; ++i)
            m_vms[i] = makeVm(i);
        m_inTransit.clear();
    }

    double sumOfRateFractions()
    {
        double sum = 0;
        for (Vm &vm : m_vms)
            sum += vm.quotas.find(organisation)->rateFraction();
        return sum;
    }

    // Requests that wait for a token belong to the period in which they arrived.
    void startCounting()
    {
        resolveAllWaiting();
        m_offered = m_admitted = 0;
    }
    double admittedFraction()
    {
        resolveAllWaiting();
        return m_admitted / m_offered;
    }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    Vm makeVm(std::size_t index)
    {
        return { "vm-" + std::to_string(index), ++m_incarnations, m_size, m_now };
    }

    void offerRequest(std::size_t index)
    {
        ++m_offered;
        Vm &vm = m_vms[index];
        if (m_paused[index])
            return;
        const QuotaDecision answer = vm.quotas.admit(organisation, ++m_requests, m_now);
        if (answer == QuotaDecision::Admitted)
            recordAdmitted();
        if (vm.quotas.isRequestDue(m_now))
            requestTokens(index);
    }

    void recordAdmitted()
    {
        ++m_admitted;
        m_admittedInWindow.push_back(m_now);
    }

    void resolveAllWaiting() { simulate(2 * QuotaManager::maxBorrowerWait, 0, false, false); }

    void resolveWaiting(Vm &vm)
    {
        for (const auto &[request, answer] : vm.quotas.resolveWaiting(m_now)) {
            if (answer == QuotaDecision::Admitted)
                recordAdmitted();
        }
    }

    void requestTokens(std::size_t index)
    {
        Vm &vm = m_vms[index];
        for (const auto &[lender, loanRequest] : vm.quotas.makeRequests(m_now))
            send(index, lender, loanRequest);
    }

    void injectFault()
    {
        const std::size_t roll = pick(20);
        if (roll == 0) {
            m_partitioned[pick(m_size.vms)] = true;
        } else if (roll == 1) {
            std::fill(m_partitioned.begin(), m_partitioned.end(), false);
            std::fill(m_paused.begin(), m_paused.end(), false);
        } else if (roll == 2) {
            const std::size_t vm = pick(m_size.vms);
            m_vms[vm] = makeVm(vm);
        } else if (roll == 3) {
            m_paused[pick(m_size.vms)] = true;
        }
    }

    template <typename Content>
    void send(std::size_t from, const std::string &toName, Content content)
    {
        const std::size_t to = std::stoul(toName.substr(3));
        if (m_equalShares || m_partitioned[from] || m_partitioned[to])
            return;
        const auto steps = static_cast<std::size_t>(m_maxDelay / step);
        m_inTransit.push_back({ m_now + step * (1 + pick(steps)), to, std::move(content) });
    }

    // A paused VM receives its messages when it resumes.
    void exchangeMessages()
    {
        std::vector<Datagram> undelivered;
        for (Datagram &datagram : std::exchange(m_inTransit, {})) {
            if (datagram.arrival > m_now || m_paused[datagram.to])
                undelivered.push_back(std::move(datagram));
            else
                receive(datagram);
        }
        m_inTransit.insert(m_inTransit.end(), undelivered.begin(), undelivered.end());
        for (std::size_t i = 0; i < m_size.vms; ++i) {
            Vm &vm = m_vms[i];
            if (m_paused[i])
                continue;
            resolveWaiting(vm);
            if (vm.quotas.isRequestDue(m_now))
                requestTokens(i);
            if (m_now < vm.nextHeartbeat)
                continue;
            vm.nextHeartbeat = m_now + m_heartbeatPeriod;
            vm.quotas.setFleet({ m_regions, m_size.vms, vm.peers.reachable(m_now) }, m_now);
            vm.quotas.fillDemands(vm.heartbeat, m_now);
            ++vm.heartbeat.sequence;
            for (const Vm &other : m_vms) {
                if (&other != &vm)
                    send(i, other.heartbeat.vm, vm.heartbeat);
            }
        }
    }

    void receive(const Datagram &datagram)
    {
        Vm &vm = m_vms[datagram.to];
        if (const auto *heartbeat = std::get_if<Heartbeat>(&datagram.content))
            vm.peers.recordHeartbeat(*heartbeat, m_now);
        else if (const auto *loanRequest = std::get_if<QuotaLoanRequest>(&datagram.content))
            send(datagram.to, loanRequest->borrower, vm.quotas.lend(*loanRequest, m_now));
        else
            vm.quotas.borrow(std::get<QuotaLoan>(datagram.content), m_now);
    }

    FleetSize m_size;
    Duration m_heartbeatPeriod;
    std::map<std::string, std::string> m_regions;
    std::mt19937_64 m_random;
    bool m_equalShares;
    Duration m_maxDelay = heartbeatPeriod;
    std::uint64_t m_incarnations = 0;
    Time m_now = Time() + seconds(1000);
    std::vector<Vm> m_vms;
    std::vector<Datagram> m_inTransit;
    std::vector<bool> m_partitioned = std::vector<bool>(m_size.vms, false);
    std::vector<bool> m_paused = std::vector<bool>(m_size.vms, false);
    std::deque<Time> m_admittedInWindow; // admitted requests of the last window
    std::size_t m_hotVm = 0;
    std::uint64_t m_requests = 0;
    double m_offered = 0;
    double m_admitted = 0;
};

} // namespace basildeck::test
