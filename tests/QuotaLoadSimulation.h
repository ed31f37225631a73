#pragma once

#include "QuotaSimulation.h"
#include "edge/PeerMessages.h"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <numbers>
#include <numeric>
#include <queue>
#include <set>

namespace basildeck::test {

// Organisations of the same usual rate, over the whole fleet.
struct LoadClass
{
    double rate = 0; // requests per second of each organisation
    int organisations = 0;

    // The limits of the deployments: 1.6 times the usual rate on average, a burst of one second.
    QuotaLimit limit() const { return { rate * 1.6, rate * 1.6 }; }
    std::string organisation(int index) const
    {
        return "o-" + std::to_string(static_cast<int>(rate)) + "-" + std::to_string(index);
    }
};

// Small organisations are more numerous, so that each class has enough requests to be measured.
inline const std::vector<LoadClass> loadClasses{ { 1, 24 }, { 3, 8 },   { 10, 4 },
                                                 { 40, 2 }, { 150, 1 }, { 400, 1 } };

// What happened to the requests of the organisations of one class.
struct LoadResult
{
    double offered = 0;
    double refused = 0;
    double late = 0;          // admitted after more than `acceptedWait`
    double largestWindow = 0; // of any of the organisations, over its limit for a window
    double lateRefused = 0;   // refused after more than `acceptedWait`

    static constexpr Duration acceptedWait = milliseconds(30);

    double refusedFraction() const { return refused / offered; }
    double lateFraction() const { return late / offered; }
};

// Datagrams for loans, with the headers of UDP and IP.
struct LoanTraffic
{
    double datagrams = 0;
    double bytes = 0;
    double bytesBetweenRegions = 0;
};

struct LoadOptions
{
    std::size_t vms = 31;
    std::uint64_t seed = 1;
    double demandFactor = 1;  // of the usual rates
    double lostDatagrams = 0; // fraction
    // Every other VM neither sends nor reads the fields that came last into the messages.
    bool withEarlierBuilds = false;
    bool withFaults = false; // VMs and regions are partitioned, VMs paused and restarted
};

// Simulates a fleet of three regions with two zones each, in which many organisations have few
// requests each that arrive at random VMs while the demand of each region swings. Events are
// processed in the order of their time, because a round trip in a zone takes less than a
// millisecond.
class LoadFleet
{
public:
    static constexpr std::size_t regionCount = 3;
    static constexpr std::size_t zonesPerRegion = 2;
    static constexpr Duration swingPeriod = seconds(36);
    static constexpr double swing = 0.55;                         // of each region's demand
    static constexpr Duration tickPeriod = milliseconds(250);     // of EdgeProcess
    static constexpr Duration tokenPollPeriod = milliseconds(20); // of Forwarder
    static constexpr double datagramHeaderBytes = 28;

    explicit LoadFleet(const LoadOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_cutRegion(regionCount)
    {
        for (const LoadClass &each : loadClasses) {
            for (int i = 0; i < each.organisations; ++i) {
                m_limits[each.organisation(i)]
                        = each.limit().withOvershoot(overshoot, slack, window);
                m_organisations.push_back({ each.organisation(i), &each - loadClasses.data() });
            }
        }
        m_results.resize(loadClasses.size());
        for (std::size_t i = 0; i < options.vms; ++i) {
            m_vmRegions[nameOf(i)] = regionNameOf(i);
            m_registered[nameOf(i)] = { nameOf(i), nameOf(i), regionNameOf(i), 0 };
            m_vms.push_back(makeVm(i));
        }
        for (std::size_t i = 0; i < options.vms; ++i) {
            schedule(randomDelay(m_vms[i]->peers.heartbeatInterval()), [this, i] { beat(i); });
            schedule(randomDelay(tickPeriod), [this, i] { tick(i); });
        }
        for (std::size_t i = 0; i < m_organisations.size(); ++i)
            scheduleArrival(i);
        if (options.withFaults)
            schedule(heartbeatPeriod, [this] { injectFault(); });
    }

    void simulate(Duration length)
    {
        const Time end = m_now + length;
        while (!m_events.empty() && m_events.top().at <= end) {
            const auto action = m_events.top().action;
            m_now = m_events.top().at;
            m_events.pop();
            action();
        }
        m_now = end;
    }

    void startCounting()
    {
        m_results.assign(loadClasses.size(), {});
        m_traffic = {};
        m_countedFrom = m_now;
    }
    const std::vector<LoadResult> &results() const { return m_results; }
    const LoanTraffic &traffic() const { return m_traffic; }
    void setDemandFactor(double factor) { m_options.demandFactor = factor; }
    // Ends a VM for good.
    void kill(std::size_t index) { m_vms[index]->isAlive = false; }
    // The best ranked holder of an organisation in the first region.
    std::size_t holderOf(const std::string &name) const
    {
        return std::stoul(QuotaHolders(m_vmRegions).of(name).front().substr(3));
    }

private:
    static std::size_t regionOf(std::size_t vm) { return vm % regionCount; }
    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };
    struct Organisation
    {
        std::string name;
        std::ptrdiff_t loadClass = 0;
        std::deque<Time> admitted; // in the last window
    };
    struct Pending
    {
        std::size_t organisation = 0;
        Time arrivedAt;
    };
    struct LoadVm
    {
        LoadVm(const std::string &name, const std::string &region)
            : quotas(name, region)
            , peers(name)
        {}
        QuotaManager quotas;
        PeerTable peers;
        Heartbeat heartbeat;
        std::map<std::uint64_t, Pending> pending;
        std::vector<std::function<void()>> held; // datagrams that arrive while it is paused
        bool isPolling = false;
        bool isAlive = true;
        bool isPaused = false;
        bool isCut = false;
    };

    static std::string nameOf(std::size_t vm) { return "vm-" + std::to_string(vm); }
    static std::string regionNameOf(std::size_t vm) { return "r-" + std::to_string(regionOf(vm)); }
    static std::size_t zoneOf(std::size_t vm) { return vm / regionCount % zonesPerRegion; }

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({ m_now + delay, ++m_eventNumber, std::move(action) });
    }
    double random(double from, double to)
    {
        return std::uniform_real_distribution(from, to)(m_random);
    }
    std::size_t pick(std::size_t count) { return m_random() % count; }
    static Duration toDuration(double inSeconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(inSeconds));
    }
    Duration randomDelay(Duration longest) { return toDuration(random(0, toSeconds(longest))); }

    std::unique_ptr<LoadVm> makeVm(std::size_t index)
    {
        auto vm = std::make_unique<LoadVm>(nameOf(index), regionNameOf(index));
        vm->heartbeat.vm = vm->heartbeat.gossipAddress = nameOf(index);
        vm->heartbeat.incarnation = ++m_incarnations;
        vm->peers.setRegistered(m_registered, m_now);
        vm->quotas.setLimits(m_limits, m_now);
        vm->quotas.setFleet({ m_vmRegions, m_options.vms, {} }, m_now);
        return vm;
    }

    Duration latency(std::size_t from, std::size_t to)
    {
        if (regionOf(from) != regionOf(to))
            return toDuration(random(0.055, 0.056));
        return zoneOf(from) == zoneOf(to) ? microseconds(200) : toDuration(random(0.0009, 0.0034));
    }

    bool isConnected(std::size_t from, std::size_t to) const
    {
        const bool isSplit = regionOf(from) != regionOf(to)
                             && (regionOf(from) == m_cutRegion || regionOf(to) == m_cutRegion);
        return !isSplit && !m_vms[from]->isCut && !m_vms[to]->isCut;
    }

    static void withoutNewFields(QuotaLoanRequest &loanRequest) { loanRequest.urgent.clear(); }
    static void withoutNewFields(QuotaLoan &loan) { loan.exhausted.clear(); }

    template <typename Content>
    void send(std::size_t from, const std::string &toName, Content content)
    {
        const std::size_t to = std::stoul(toName.substr(3));
        if (m_options.withEarlierBuilds && (from % 2 == 1 || to % 2 == 1))
            withoutNewFields(content);
        const double bytes
                = static_cast<double>(serializeMessage(content).size()) + datagramHeaderBytes;
        ++m_traffic.datagrams;
        m_traffic.bytes += bytes;
        m_traffic.bytesBetweenRegions += regionOf(from) == regionOf(to) ? 0 : bytes;
        if (!isConnected(from, to) || random(0, 1) < m_options.lostDatagrams)
            return;
        schedule(latency(from, to), [this, to, content = std::move(content)] {
            deliver(to, [this, to, content] { receive(to, content); });
        });
    }

    void deliver(std::size_t to, std::function<void()> action)
    {
        if (m_vms[to]->isPaused)
            m_vms[to]->held.push_back(std::move(action));
        else if (m_vms[to]->isAlive)
            action();
    }

    void receive(std::size_t to, const QuotaLoanRequest &loanRequest)
    {
        const QuotaLoan loan = m_vms[to]->quotas.lend(loanRequest, m_now);
        if (!loan.tokens.empty())
            send(to, loanRequest.borrower, loan);
        requestTokens(to);
    }

    void receive(std::size_t to, const QuotaLoan &loan)
    {
        m_vms[to]->quotas.borrow(loan, m_now);
        resolveWaiting(to);
        requestTokens(to);
    }

    void requestTokens(std::size_t index)
    {
        QuotaManager &quotas = m_vms[index]->quotas;
        if (!quotas.isRequestDue(m_now))
            return;
        for (auto &[lender, loanRequest] : quotas.makeRequests(m_now)) {
            loanRequest.gossipAddress = "127.0.0.1:27573"; // its bytes count
            send(index, lender, loanRequest);
        }
    }

    void resolveWaiting(std::size_t index)
    {
        LoadVm &vm = *m_vms[index];
        for (const auto &[request, decision] : vm.quotas.resolveWaiting(m_now)) {
            const Pending pending = vm.pending.at(request);
            vm.pending.erase(request);
            record(pending, decision == QuotaDecision::Admitted);
        }
        if (vm.quotas.isAnyWaiting() && !vm.isPolling) {
            vm.isPolling = true;
            schedule(tokenPollPeriod, [this, index, incarnation = vm.heartbeat.incarnation] {
                LoadVm &polled = *m_vms[index];
                if (polled.heartbeat.incarnation != incarnation)
                    return;
                polled.isPolling = false;
                if (polled.isAlive && !polled.isPaused) {
                    resolveWaiting(index);
                    requestTokens(index);
                }
            });
        }
    }

    void record(const Pending &pending, bool isAdmitted)
    {
        Organisation &organisation = m_organisations[pending.organisation];
        LoadResult &result = m_results[static_cast<std::size_t>(organisation.loadClass)];
        if (pending.arrivedAt >= m_countedFrom) {
            ++result.offered;
            result.refused += isAdmitted ? 0 : 1;
            if (m_now - pending.arrivedAt > LoadResult::acceptedWait)
                ++(isAdmitted ? result.late : result.lateRefused);
        }
        if (!isAdmitted)
            return;
        organisation.admitted.push_back(m_now);
        while (organisation.admitted.front() < m_now - window)
            organisation.admitted.pop_front();
        const LoadClass &loadClass = loadClasses[static_cast<std::size_t>(organisation.loadClass)];
        result.largestWindow
                = std::max(result.largestWindow, static_cast<double>(organisation.admitted.size())
                                                         / maxInWindowOf(loadClass.limit()));
    }

    // The demand of each region swings around a third of the organisation's rate; the swings add up
    // to zero.
    std::array<double, regionCount> demandsOf(std::size_t organisation) const
    {
        const auto loadClass = static_cast<std::size_t>(m_organisations[organisation].loadClass);
        const double mean = m_options.demandFactor * loadClasses[loadClass].rate / regionCount;
        std::array<double, regionCount> demands{};
        for (std::size_t region = 0; region < regionCount; ++region) {
            const double turn = toSeconds(m_now - Time()) / toSeconds(swingPeriod)
                                + static_cast<double>(region) / regionCount;
            demands[region] = mean * (1 + swing * std::sin(2 * std::numbers::pi * turn));
        }
        return demands;
    }

    void scheduleArrival(std::size_t organisation)
    {
        const auto demands = demandsOf(organisation);
        const double rate = std::accumulate(demands.begin(), demands.end(), 0.0);
        const double delay = std::exponential_distribution<double>(rate)(m_random);
        schedule(toDuration(delay), [this, organisation] {
            arrive(organisation);
            scheduleArrival(organisation);
        });
    }

    void arrive(std::size_t organisation)
    {
        const auto demands = demandsOf(organisation);
        const std::size_t region
                = std::discrete_distribution<std::size_t>(demands.begin(), demands.end())(m_random);
        const std::size_t inRegion = (m_options.vms + regionCount - 1 - region) / regionCount;
        const std::size_t index = region + regionCount * pick(inRegion);
        LoadVm &vm = *m_vms[index];
        if (!vm.isAlive || vm.isPaused)
            return;
        const Pending pending{ organisation, m_now };
        const std::uint64_t request = ++m_requests;
        const QuotaDecision decision
                = vm.quotas.admit(m_organisations[organisation].name, request, m_now);
        if (decision == QuotaDecision::Waiting)
            vm.pending[request] = pending;
        else
            record(pending, decision == QuotaDecision::Admitted);
        requestTokens(index);
        resolveWaiting(index);
    }

    void tick(std::size_t index)
    {
        schedule(tickPeriod, [this, index] { tick(index); });
        LoadVm &vm = *m_vms[index];
        if (!vm.isAlive || vm.isPaused)
            return;
        vm.peers.tick(m_now);
        vm.quotas.setFleet({ m_vmRegions, vm.peers.knownVmCount(), vm.peers.reachable(m_now) },
                           m_now);
        requestTokens(index);
    }

    void beat(std::size_t index)
    {
        LoadVm &vm = *m_vms[index];
        schedule(vm.peers.heartbeatInterval(), [this, index] { beat(index); });
        if (!vm.isAlive || vm.isPaused)
            return;
        vm.quotas.fillDemands(vm.heartbeat, m_now);
        ++vm.heartbeat.sequence;
        const auto sent = std::make_shared<const Heartbeat>(vm.heartbeat);
        // One event for each region: the delays within a region do not matter to heartbeats.
        for (std::size_t region = 0; region < regionCount; ++region) {
            const Duration delay = milliseconds(region == regionOf(index) ? 2 : 55);
            schedule(delay, [this, index, region, sent] {
                for (std::size_t to = region; to < m_vms.size(); to += regionCount) {
                    if (to == index || !isConnected(index, to)
                        || random(0, 1) < m_options.lostDatagrams)
                        continue;
                    deliver(to,
                            [this, to, sent] { m_vms[to]->peers.recordHeartbeat(*sent, m_now); });
                }
            });
        }
    }

    void injectFault()
    {
        schedule(heartbeatPeriod, [this] { injectFault(); });
        const std::size_t roll = pick(20);
        const std::size_t index = pick(m_vms.size());
        if (roll == 0) {
            m_vms[index]->isCut = true;
        } else if (roll == 1) {
            m_cutRegion = pick(regionCount);
        } else if (roll == 2) {
            m_vms[index] = makeVm(index);
        } else if (roll == 3) {
            m_vms[index]->isPaused = true;
        } else if (roll == 4) {
            m_cutRegion = regionCount;
            for (std::size_t i = 0; i < m_vms.size(); ++i) {
                m_vms[i]->isCut = m_vms[i]->isPaused = false;
                for (const auto &action : std::exchange(m_vms[i]->held, {}))
                    action();
                resolveWaiting(i);
            }
        }
    }

    LoadOptions m_options;
    std::mt19937_64 m_random;
    Time m_now = Time() + seconds(1000);
    Time m_countedFrom = m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventNumber = 0;
    std::map<std::string, QuotaLimit> m_limits;
    std::map<std::string, std::string> m_vmRegions;
    std::map<std::string, RegisteredVm> m_registered;
    std::vector<std::unique_ptr<LoadVm>> m_vms;
    std::vector<Organisation> m_organisations;
    std::vector<LoadResult> m_results;
    LoanTraffic m_traffic;
    std::size_t m_cutRegion; // partitioned from the other regions
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_requests = 0;
};

} // namespace basildeck::test
