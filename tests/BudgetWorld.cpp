#include "BudgetWorld.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace basildeck::test {

namespace {

constexpr Duration requestTimeout = seconds(5);
constexpr long heartbeatMs = 200;
constexpr long proposeMs = 1000;
constexpr Duration deadAfter = milliseconds(2200);

long millisecondsOf(Time now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

} // namespace

BudgetWorld::BudgetWorld(const Line &options)
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
        // Clocks run at rates that are `drift` apart and show different times.
        vm.clockRate = 1 + (i > 1 ? drift / 2 : -drift / 2);
        vm.clockOffset = seconds(1000 * i);
    }
    for (auto &[name, vm] : m_vms)
        start(name, Time{});
}

Time BudgetWorld::local(const Vm &vm, Time now) const
{
    return Time{} + vm.clockOffset
           + std::chrono::duration_cast<Duration>(now.time_since_epoch() * vm.clockRate);
}

bool BudgetWorld::listens(const std::string &name, Time now) const
{
    const Vm &vm = m_vms.at(name);
    return vm.node && vm.pausedUntil <= now;
}

void BudgetWorld::start(const std::string &name, Time now)
{
    Vm &vm = m_vms[name];
    vm.node = std::make_unique<Node>(name, m_limit, (++m_starts) << 32, local(vm, now));
    vm.arrived.clear();
    vm.leaving = false;
    m_gone.erase(name);
}

void BudgetWorld::command(const Line &line, Time now)
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
    const std::string &name = line.word(1);
    Vm &vm = m_vms[name];
    if (verb == "traffic")
        vm.traffic = parseQuantity(line.word(2));
    else if (verb == "burst")
        vm.due += parseQuantity(line.word(2));
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

void BudgetWorld::step(Time now)
{
    deliver(now);
    const long ms = millisecondsOf(now);
    if (ms % heartbeatMs == 0)
        heartbeat(now);
    if (ms % proposeMs == 0)
        propose(now);
    for (auto &[name, vm] : m_vms) {
        if (!listens(name, now))
            continue;
        offerTraffic(vm, now);
        for (const RateGate::Decision &decision : vm.node->gate.poll(local(vm, now)))
            settle(vm, decision, now);
        const Time here = local(vm, now);
        if (!m_lends)
            continue;
        for (const auto &ask : vm.node->gate.share().planAsks(vm.node->gate.waiting(), here)) {
            ++m_messages;
            m_network.send(name, ask.holder, ask.ask, now);
        }
    }
}

void BudgetWorld::offerTraffic(Vm &vm, Time now)
{
    vm.due += vm.traffic / 1000;
    for (; vm.due >= 1; vm.due -= 1) {
        const RateGate::RequestId id = m_nextRequest++;
        vm.arrived[id] = now;
        m_offered += m_measuring ? 1 : 0;
        const Time here = local(vm, now);
        const auto verdict = vm.node->gate.admit(id, here, here + requestTimeout);
        if (verdict != RateGate::Verdict::Waiting)
            settle(vm, { id, verdict }, now);
    }
}

void BudgetWorld::settle(Vm &vm, const RateGate::Decision &decision, Time now)
{
    if (decision.verdict == RateGate::Verdict::Admitted) {
        m_admitted.push_back(now);
        m_admittedMeasured += m_measuring ? 1 : 0;
        m_waited += m_measuring ? now - vm.arrived[decision.id] : Duration(0);
    } else {
        m_refused += m_measuring ? 1 : 0;
    }
    vm.arrived.erase(decision.id);
}

void BudgetWorld::deliver(Time now)
{
    const auto arrived = m_network.arrived(
            now, [&](const std::string &name) { return m_vms.at(name).pausedUntil <= now; });
    for (const auto &delivery : arrived) {
        Vm &vm = m_vms[delivery.to];
        if (!vm.node)
            continue;
        BudgetShare &share = vm.node->gate.share();
        const Time here = local(vm, now);
        if (const auto *ask = std::get_if<BudgetAsk>(&delivery.message)) {
            ++m_messages;
            m_network.send(delivery.to, delivery.from, share.answerAsk(delivery.from, *ask, here),
                           now);
        } else {
            share.acceptGrant(delivery.from, std::get<BudgetGrant>(delivery.message), here);
        }
    }
}

// Passes on the table and what each VM has acknowledged, between VMs that reach each other.
void BudgetWorld::heartbeat(Time now)
{
    for (auto &[name, vm] : m_vms) {
        if (!listens(name, now))
            continue;
        for (auto &[otherName, other] : m_vms) {
            if (!listens(otherName, now) || !m_network.connected(name, otherName))
                continue;
            vm.node->holders.setTable(other.node->holders.table());
            vm.node->holders.acknowledge(otherName, other.node->acknowledged);
        }
        if (m_storeUp && m_network.connected(name, "store"))
            vm.node->holders.setTable(m_stored);
        applyTable(name, vm, now);
    }
}

void BudgetWorld::applyTable(const std::string &name, Vm &vm, Time now)
{
    const Time here = local(vm, now);
    HolderView &holders = vm.node->holders;
    BudgetShare &share = vm.node->gate.share();
    share.setFraction(holders.fraction(), here);
    std::vector<std::string> others = holders.holders();
    std::erase(others, name);
    share.setHolders(others);
    if (share.fitsFraction(here)) {
        vm.node->acknowledged = holders.table().version;
        holders.acknowledgeOwn();
    }
}

// The first VM that reaches the store writes the next table, as the proposer does.
void BudgetWorld::propose(Time now)
{
    if (!m_storeUp)
        return;
    for (auto &[name, vm] : m_vms) {
        if (!listens(name, now) || !m_network.connected(name, "store")
            || vm.node->holders.table().version != m_stored.version)
            continue;
        HolderCandidates candidates;
        candidates.gone = m_gone;
        for (auto &[otherName, other] : m_vms) {
            const bool reached = listens(otherName, now) && m_network.connected(name, otherName);
            if (reached)
                other.unreachableSince.reset();
            else if (!other.unreachableSince)
                other.unreachableSince = now;
            if (reached || now - *other.unreachableSince < deadAfter)
                candidates.live.insert(otherName);
            if (other.leaving)
                candidates.leaving.insert(otherName);
        }
        auto table = proposeHolders(m_stored, vm.node->holders.complete(), candidates);
        if (!table)
            return;
        table->version = m_stored.version + 1;
        m_stored = *table;
        return;
    }
}

double BudgetWorld::overAdmission() const
{
    constexpr double rounding = 1e-6;
    double tokens = m_limit.burst;
    double over = 0;
    Time last{};
    for (const Time at : m_admitted) {
        tokens = std::min(m_limit.burst, tokens + m_limit.rate * toSeconds(at - last));
        last = at;
        tokens -= 1;
        if (tokens < -rounding) {
            over += 1;
            tokens = std::max(tokens, -1.0);
        }
    }
    return over;
}

double BudgetWorld::meanWaitMs() const
{
    if (m_admittedMeasured == 0)
        return 0;
    return toSeconds(m_waited) * 1000 / static_cast<double>(m_admittedMeasured);
}

void BudgetWorld::check(const Line &expectation)
{
    const std::string &what = expectation.word(0);
    if (what == "over-admission") {
        CHECK(overAdmission() == parseQuantity(expectation.word(1)));
        CHECK(!m_admitted.empty());
        MESSAGE("admitted " << m_admitted.size() << "; measured: offered " << m_offered
                            << ", refused " << m_refused << ", mean wait " << meanWaitMs()
                            << " ms; messages " << m_messages);
    } else if (what == "refused") {
        REQUIRE(m_offered > 0);
        const double share = static_cast<double>(m_refused) / static_cast<double>(m_offered);
        const double bound = parseQuantity(expectation.word(2));
        CHECK((expectation.word(1) == "below" ? share <= bound : share >= bound));
    } else if (what == "admitted") {
        CHECK(static_cast<double>(m_admitted.size()) >= parseQuantity(expectation.word(2)));
    } else if (what == "holders") {
        CHECK(static_cast<double>(m_stored.after.size()) == parseQuantity(expectation.word(1)));
    } else {
        FAIL("unknown expectation");
    }
}

std::unique_ptr<World> makeBudgetWorld(const Line &options)
{
    return std::make_unique<BudgetWorld>(options);
}

} // namespace basildeck::test
