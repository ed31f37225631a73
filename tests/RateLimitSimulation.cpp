#include "RateLimitSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace basildeck::test {

namespace {

constexpr Duration requestTimeout = seconds(5);
constexpr long heartbeatIntervalMs = 200;
constexpr long proposalIntervalMs = 1000;
constexpr Duration unreachableTimeout = milliseconds(2200);

long millisecondsOf(Time now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

} // namespace

RateLimitSimulation::RateLimitSimulation(const Line &options)
    : m_limit{ options.option("rate", 700), options.option("burst", 700) }
    , m_network(static_cast<unsigned>(options.option("seed", 1)))
    , m_random(static_cast<unsigned>(options.option("seed", 1)) + 1)
{
    m_lends = options.option("loans", 1) != 0;
    m_network.lossProbability = options.option("loss", 0);
    m_network.duplicateProbability = options.option("repeat", 0);
    const double drift = options.option("drift", 0);
    const int count = static_cast<int>(options.option("vms", 7));
    for (int i = 1; i <= count; ++i) {
        Vm &vm = m_vms["vm" + std::to_string(i)];
        // The clocks have different offsets, and their rates differ by `drift`.
        vm.clockRate = 1 + (i > 1 ? drift / 2 : -drift / 2);
        vm.clockOffset = seconds(1000 * i);
    }
    for (auto &[name, vm] : m_vms)
        start(name, Time{});
}

Time RateLimitSimulation::local(const Vm &vm, Time now) const
{
    return Time{} + vm.clockOffset
           + std::chrono::duration_cast<Duration>(now.time_since_epoch() * vm.clockRate);
}

bool RateLimitSimulation::isRunning(const std::string &name, Time now) const
{
    const Vm &vm = m_vms.at(name);
    return vm.node && vm.pausedUntil <= now;
}

void RateLimitSimulation::start(const std::string &name, Time now)
{
    Vm &vm = m_vms[name];
    vm.node = std::make_unique<Node>(name, m_limit, (++m_starts) << 32, local(vm, now));
    vm.arrived.clear();
    vm.leaving = false;
    m_gone.erase(name);
}

void RateLimitSimulation::command(const Line &line, Time now)
{
    const std::string &verb = line.word(0);
    if (verb == "measure") {
        m_measuring = line.words.size() < 2 || line.word(1) == "on";
        return;
    }
    if (verb == "store") {
        m_storeUp = line.word(1) == "up";
        return;
    }
    if (verb == "copy") {
        m_copiedTable = m_storedTable;
        return;
    }
    if (verb == "restore") {
        m_storedTable = m_copiedTable;
        ++m_era;
        return;
    }
    const std::string &name = line.word(1);
    Vm &vm = m_vms[name];
    if (verb == "traffic")
        vm.traffic = parseQuantity(line.word(2));
    else if (verb == "burst")
        vm.arrivalCredit += parseQuantity(line.word(2));
    else if (verb == "kill")
        vm.node.reset();
    else if (verb == "restart" || verb == "join")
        start(name, now);
    else if (verb == "pause")
        vm.pausedUntil = now + milliseconds(static_cast<long>(parseQuantity(line.word(2)) * 1000));
    else if (verb == "cut")
        m_network.partition(name);
    else if (verb == "heal")
        m_network.heal(name);
    else if (verb == "gone")
        m_gone.insert(name);
    else if (verb == "leave")
        vm.leaving = true;
    else
        FAIL("unknown command " << line.text);
}

void RateLimitSimulation::step(Time now)
{
    deliver(now);
    const long ms = millisecondsOf(now);
    if (ms % heartbeatIntervalMs == 0)
        heartbeat(now);
    if (ms % proposalIntervalMs == 0)
        propose(now);
    for (auto &[name, vm] : m_vms) {
        if (!isRunning(name, now))
            continue;
        offerTraffic(vm, now);
        for (const RateLimiter::Decision &decision : vm.node->limiter.poll(local(vm, now)))
            recordDecision(vm, decision, now);
        const Time localNow = local(vm, now);
        if (!m_lends)
            continue;
        for (const auto &outgoing :
             vm.node->limiter.share().dueRequests(vm.node->limiter.waiting(), localNow)) {
            ++m_messages;
            m_network.send(name, outgoing.holder, outgoing.request, now);
        }
    }
}

void RateLimitSimulation::offerTraffic(Vm &vm, Time now)
{
    vm.arrivalCredit += vm.traffic / 1000;
    for (; vm.arrivalCredit >= 1; vm.arrivalCredit -= 1) {
        const RateLimiter::RequestId id = m_nextRequest++;
        vm.arrived[id] = now;
        m_offered += m_measuring ? 1 : 0;
        const Time localNow = local(vm, now);
        const auto verdict = vm.node->limiter.admit(id, localNow, localNow + requestTimeout);
        if (verdict != RateLimiter::Verdict::Waiting)
            recordDecision(vm, { id, verdict }, now);
    }
}

void RateLimitSimulation::recordDecision(Vm &vm, const RateLimiter::Decision &decision, Time now)
{
    if (decision.verdict == RateLimiter::Verdict::Admitted) {
        m_admittedAt.push_back(now);
        m_admittedMeasured += m_measuring ? 1 : 0;
        m_totalWait += m_measuring ? now - vm.arrived[decision.id] : Duration(0);
    } else {
        m_refused += m_measuring ? 1 : 0;
    }
    vm.arrived.erase(decision.id);
}

void RateLimitSimulation::deliver(Time now)
{
    const auto arrived = m_network.arrived(
            now, [&](const std::string &name) { return m_vms.at(name).pausedUntil <= now; });
    for (const auto &delivery : arrived) {
        Vm &vm = m_vms[delivery.to];
        if (!vm.node)
            continue;
        TokenBucketShare &share = vm.node->limiter.share();
        const Time localNow = local(vm, now);
        if (const auto *request = std::get_if<TokenLeaseRequest>(&delivery.message)) {
            ++m_messages;
            m_network.send(delivery.to, delivery.from,
                           share.grantLease(delivery.from, *request, localNow), now);
        } else {
            share.acceptLease(delivery.from, std::get<TokenLease>(delivery.message), localNow);
        }
    }
}

// Exchanges the table and the acknowledged versions between VMs that reach each other.
void RateLimitSimulation::heartbeat(Time now)
{
    for (auto &[name, vm] : m_vms) {
        if (!isRunning(name, now))
            continue;
        for (auto &[otherName, other] : m_vms) {
            if (!isRunning(otherName, now) || !m_network.connected(name, otherName))
                continue;
            vm.node->holders.setTable(other.node->holders.table());
            vm.node->holders.acknowledge(otherName, other.node->acknowledged);
        }
        if (m_storeUp && m_network.connected(name, "store") && m_storedTable.version.era == m_era)
            vm.node->holders.setTable(m_storedTable);
        applyTable(name, vm, now);
    }
}

void RateLimitSimulation::applyTable(const std::string &name, Vm &vm, Time now)
{
    const Time localNow = local(vm, now);
    HolderView &holders = vm.node->holders;
    TokenBucketShare &share = vm.node->limiter.share();
    share.setFraction(holders.fraction(), localNow);
    std::vector<std::string> others = holders.holders();
    std::erase(others, name);
    share.setHolders(others);
    if (share.isWithinFraction(localNow)) {
        vm.node->acknowledged = holders.table().version;
        holders.acknowledgeOwn();
    }
}

// The first VM that reaches the store acts as the proposer and writes the next table.
void RateLimitSimulation::propose(Time now)
{
    if (!m_storeUp)
        return;
    for (auto &[name, vm] : m_vms) {
        if (!isRunning(name, now) || !m_network.connected(name, "store")
            || (m_storedTable.version.era == m_era
                && vm.node->holders.table().version != m_storedTable.version))
            continue;
        HolderCandidates candidates;
        candidates.gone = m_gone;
        for (const auto &[listedName, listed] : m_vms) {
            if (!m_gone.contains(listedName))
                candidates.listed.insert(listedName);
        }
        for (auto &[otherName, other] : m_vms) {
            const bool isReachable
                    = isRunning(otherName, now) && m_network.connected(name, otherName);
            if (isReachable)
                other.unreachableSince.reset();
            else if (!other.unreachableSince)
                other.unreachableSince = now;
            if (isReachable || now - *other.unreachableSince < unreachableTimeout)
                candidates.live.insert(otherName);
            if (other.leaving)
                candidates.leaving.insert(otherName);
        }
        const HolderTable known = std::max(
                m_storedTable, vm.node->holders.table(),
                [](const HolderTable &a, const HolderTable &b) { return a.version < b.version; });
        const bool complete
                = known.version == vm.node->holders.table().version && vm.node->holders.complete();
        std::optional<HolderTable> table;
        if (known.version.exists() && known.version.era < m_era)
            table = confirmHolders(known, complete, candidates);
        else
            table = proposeHolders(known, complete, candidates);
        if (!table)
            return;
        table->version = { m_era, m_storedTable.version.revision + 1 };
        m_storedTable = *table;
        return;
    }
}

double RateLimitSimulation::overAdmission() const
{
    constexpr double tolerance = 1e-6;
    double tokens = m_limit.burst;
    double over = 0;
    Time last{};
    for (const Time at : m_admittedAt) {
        tokens = std::min(m_limit.burst, tokens + m_limit.rate * toSeconds(at - last));
        last = at;
        tokens -= 1;
        if (tokens < -tolerance) {
            over += 1;
            tokens = std::max(tokens, -1.0);
        }
    }
    return over;
}

double RateLimitSimulation::meanWaitMs() const
{
    if (m_admittedMeasured == 0)
        return 0;
    return toSeconds(m_totalWait) * 1000 / static_cast<double>(m_admittedMeasured);
}

void RateLimitSimulation::check(const Line &expectation)
{
    const std::string &what = expectation.word(0);
    if (what == "over-admission") {
        CHECK(overAdmission() == parseQuantity(expectation.word(1)));
        CHECK(!m_admittedAt.empty());
        MESSAGE("admitted " << m_admittedAt.size() << "; measured: offered " << m_offered
                            << ", refused " << m_refused << ", mean wait " << meanWaitMs()
                            << " ms; messages " << m_messages);
    } else if (what == "refused") {
        REQUIRE(m_offered > 0);
        const double refusedFraction
                = static_cast<double>(m_refused) / static_cast<double>(m_offered);
        const double bound = parseQuantity(expectation.word(2));
        CHECK((expectation.word(1) == "below" ? refusedFraction <= bound
                                              : refusedFraction >= bound));
    } else if (what == "admitted") {
        CHECK(static_cast<double>(m_admittedAt.size()) >= parseQuantity(expectation.word(2)));
    } else if (what == "holders") {
        CHECK(static_cast<double>(m_storedTable.after.size())
              == parseQuantity(expectation.word(1)));
    } else {
        FAIL("unknown expectation");
    }
}

std::unique_ptr<Simulation> makeRateLimitSimulation(const Line &options)
{
    return std::make_unique<RateLimitSimulation>(options);
}

} // namespace basildeck::test
