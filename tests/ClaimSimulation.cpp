#include "ClaimSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace basildeck::test {

namespace {

constexpr Duration claimTimeout = milliseconds(2000);
constexpr Duration resendInterval = milliseconds(400);
constexpr Duration runDuration = milliseconds(60);
constexpr int retentionSeconds = 600;
// Time after which VMs that made no call learn of a restore from the others.
constexpr Duration eraGossipDelay = milliseconds(1500);

std::int64_t unixSeconds(Time now)
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

} // namespace

ClaimSimulation::ClaimSimulation(const Line &options)
    : m_network(static_cast<unsigned>(options.option("seed", 1)))
    , m_random(static_cast<unsigned>(options.option("seed", 1)) + 1)
    , m_keyRate(options.option("keys", 20))
    , m_repeats(static_cast<int>(options.option("repeats", 3)))
    , m_owners(static_cast<int>(options.option("owners", 1)))
{
    m_network.lossProbability = options.option("loss", 0);
    m_network.duplicateProbability = options.option("repeat", 0);
    const int count = static_cast<int>(options.option("vms", 7));
    for (int i = 1; i <= count; ++i) {
        Vm &vm = m_vms["vm" + std::to_string(i)];
        vm.registry = std::make_unique<ClaimRegistry>();
        vm.incarnation = 1;
    }
}

// With several owners, each message goes to a random one of them, as if the VMs had different views
// of the membership.
std::string ClaimSimulation::ownerOf(const std::string &key)
{
    const auto bucket = static_cast<std::size_t>(ClaimRegistry::bucketOf(key));
    const std::size_t offset = m_random() % static_cast<std::size_t>(m_owners);
    return "vm" + std::to_string((bucket + offset) % m_vms.size() + 1);
}

void ClaimSimulation::command(const Line &line, Time now)
{
    const std::string &verb = line.word(0);
    if (verb == "keys") {
        m_keyRate = parseQuantity(line.word(1));
        return;
    }
    if (verb == "measure") {
        m_writesBefore = m_writes;
        m_measuredFrom = now;
        return;
    }
    if (verb == "owners") {
        m_owners = static_cast<int>(parseQuantity(line.word(1)));
        return;
    }
    if (verb == "latency") {
        m_latency = milliseconds(static_cast<long>(parseQuantity(line.word(1)) * 1000));
        return;
    }
    if (verb == "store") {
        m_storeUp = line.word(1) != "down";
        m_storeLoss = line.word(1) == "losing" ? parseQuantity(line.word(2)) : 0;
        return;
    }
    if (verb == "copy") {
        m_copy = m_store;
        return;
    }
    if (verb == "restore") {
        m_store = m_copy;
        ++m_era;
        m_restoredAt = now;
        return;
    }
    Vm &vm = m_vms[line.word(1)];
    if (verb == "kill") {
        vm.registry.reset();
        vm.requests.clear();
        vm.unconfirmed.clear();
        vm.abandoned.clear();
    } else if (verb == "restart") {
        vm.registry = std::make_unique<ClaimRegistry>();
        ++vm.incarnation;
    } else if (verb == "pause") {
        vm.pausedUntil = now + milliseconds(static_cast<long>(parseQuantity(line.word(2)) * 1000));
    } else {
        FAIL("unknown command " << line.text);
    }
}

void ClaimSimulation::announceEra(Time now)
{
    if (now - m_restoredAt < eraGossipDelay)
        return;
    for (auto &[name, vm] : m_vms) {
        if (isRunning(vm, now))
            vm.registry->setEra(m_era, now);
    }
}

void ClaimSimulation::startRequests(Time now)
{
    m_dueKeys += m_keyRate / 1000;
    for (; m_dueKeys >= 1; m_dueKeys -= 1) {
        const std::string key = "key-" + std::to_string(m_nextKey++);
        // Half of the requests arrive almost simultaneously, the others during or after the run.
        for (int i = 0; i < m_repeats; ++i)
            m_planned.emplace(now + milliseconds(m_random() % (i % 2 == 0 ? 20 : 3000)), key);
    }
    while (!m_planned.empty() && m_planned.begin()->first <= now) {
        const std::string key = m_planned.begin()->second;
        m_planned.erase(m_planned.begin());
        const std::string name = "vm" + std::to_string(m_random() % m_vms.size() + 1);
        Vm &vm = m_vms[name];
        if (!isRunning(vm, now))
            continue;
        Request request;
        request.id = { name, vm.incarnation, ++m_nextSequence };
        request.key = key;
        request.arrived = now;
        request.sent = now - resendInterval;
        vm.requests[request.id.sequence] = request;
    }
}

void ClaimSimulation::updateRequests(const std::string &name, Vm &vm, Time now)
{
    std::vector<std::uint64_t> ended;
    for (auto &[sequence, request] : vm.requests) {
        if (request.running && now >= request.runEnds) {
            const std::string body = "answer to " + request.key;
            m_responses[request.key] = body;
            const ClaimFinish finish{ request.id, request.key, { 200, "text/plain", body, true } };
            vm.unconfirmed[sequence] = { finish, now };
            m_network.send(name, ownerOf(request.key), finish, now);
            ended.push_back(sequence);
        } else if (!request.running && now - request.arrived >= claimTimeout) {
            // The caller is told that the request was not run, so it must not run later.
            m_wrongRefusals += request.dispatched ? 1 : 0;
            vm.abandoned[sequence] = request.key;
            m_network.send(name, ownerOf(request.key), ClaimRelease{ request.id, request.key },
                           now);
            ended.push_back(sequence);
        } else if (!request.running && now - request.sent >= resendInterval) {
            request.sent = now;
            m_network.send(name, ownerOf(request.key),
                           ClaimBegin{ request.id, request.key, 7, retentionSeconds }, now);
        }
    }
    for (const std::uint64_t sequence : ended)
        vm.requests.erase(sequence);
    for (auto &[sequence, unconfirmed] : vm.unconfirmed) {
        if (now - unconfirmed.second < resendInterval)
            continue;
        unconfirmed.second = now;
        m_network.send(name, ownerOf(unconfirmed.first.key), unconfirmed.first, now);
    }
}

void ClaimSimulation::deliver(Time now)
{
    const auto arrived = m_network.arrived(
            now, [&](const std::string &name) { return m_vms[name].pausedUntil <= now; });
    for (const auto &delivery : arrived) {
        Vm &vm = m_vms[delivery.to];
        if (!vm.registry)
            continue;
        if (const auto *begin = std::get_if<ClaimBegin>(&delivery.message))
            vm.registry->begin(delivery.from, *begin, now);
        else if (const auto *finish = std::get_if<ClaimFinish>(&delivery.message))
            vm.registry->finish(delivery.from, *finish);
        else if (const auto *release = std::get_if<ClaimRelease>(&delivery.message))
            vm.registry->release(*release, now);
        else
            onDecision(delivery.to, vm, delivery.from, std::get<ClaimDecision>(delivery.message),
                       now);
    }
}

void ClaimSimulation::onDecision(const std::string &name, Vm &vm, const std::string &owner,
                                 const ClaimDecision &decision, Time now)
{
    if (decision.id.incarnation != vm.incarnation)
        return;
    const std::uint64_t sequence = decision.id.sequence;
    if (decision.verdict == ClaimVerdict::Recorded) {
        vm.unconfirmed.erase(sequence);
        return;
    }
    if (decision.verdict == ClaimVerdict::Granted && vm.abandoned.contains(sequence))
        m_network.send(name, owner, ClaimRelease{ decision.id, decision.key }, now);
    const auto found = vm.requests.find(sequence);
    if (found == vm.requests.end() || found->second.running)
        return;
    Request &request = found->second;
    switch (decision.verdict) {
    case ClaimVerdict::Granted:
        request.running = true;
        request.dispatched = true;
        request.runEnds = now + runDuration;
        ++m_runs[request.key];
        return;
    case ClaimVerdict::Replay:
        ++m_replays;
        m_wrongReplays += m_responses[request.key] == decision.outcome.body ? 0 : 1;
        break;
    case ClaimVerdict::Unavailable:
        vm.abandoned[sequence] = request.key;
        break;
    default:
        break;
    }
    vm.requests.erase(found);
}

void ClaimSimulation::processStoreCalls(Time now)
{
    for (auto &[name, vm] : m_vms) {
        if (!isRunning(vm, now))
            continue;
        for (ClaimRegistry::StoreCall &call : vm.registry->dueCalls(now, unixSeconds(now)))
            m_calls.emplace(now + m_latency / 2 + milliseconds(m_random() % 3),
                            Call{ name, vm.incarnation, std::move(call) });
        for (const auto &decision : vm.registry->takeDecisions(now))
            m_network.send(name, decision.vm, decision.decision, now);
    }
    while (!m_calls.empty() && m_calls.begin()->first <= now) {
        Call call = std::move(m_calls.begin()->second);
        m_calls.erase(m_calls.begin());
        if (!call.executed) {
            executeCall(call);
            m_calls.emplace(now + m_latency / 2, std::move(call));
        } else if (m_vms[call.vm].pausedUntil > now) {
            m_calls.emplace(m_vms[call.vm].pausedUntil, std::move(call));
        } else {
            deliverResponse(call, now);
        }
    }
}

// The store executes the call. The call or its response may be lost.
void ClaimSimulation::executeCall(Call &call)
{
    call.executed = true;
    call.era = m_era;
    if (!m_storeUp) {
        call.lost = true;
        return;
    }
    const std::string name = ClaimRegistry::bucketName(call.call.bucket);
    if (call.call.isWrite) {
        ++m_writes;
        call.version = m_store.put("claims", name, call.call.expectedVersion, call.call.value);
    } else if (const auto *object = m_store.find("claims", name)) {
        call.version = object->version;
        call.value = object->value;
    }
    call.lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_storeLoss;
}

void ClaimSimulation::deliverResponse(Call &call, Time now)
{
    Vm &vm = m_vms[call.vm];
    if (!vm.registry || vm.incarnation != call.incarnation)
        return;
    if (!call.lost)
        vm.registry->setEra(call.era, now);
    if (call.lost || call.era < vm.registry->era())
        vm.registry->callFailed(call.call.bucket, now);
    else if (!call.call.isWrite)
        vm.registry->readDone(call.call.bucket, call.version.value(), call.value, now);
    else if (call.version)
        vm.registry->writeDone(call.call.bucket, call.version.value(), now);
    else
        vm.registry->writeConflicted(call.call.bucket, now);
}

void ClaimSimulation::step(Time now)
{
    m_lastStep = now;
    announceEra(now);
    startRequests(now);
    deliver(now);
    for (auto &[name, vm] : m_vms) {
        if (isRunning(vm, now))
            updateRequests(name, vm, now);
    }
    processStoreCalls(now);
}

int ClaimSimulation::maxRunsPerKey() const
{
    int maximum = 0;
    for (const auto &[key, runs] : m_runs)
        maximum = std::max(maximum, runs);
    return maximum;
}

void ClaimSimulation::check(const Line &expectation)
{
    const std::string &what = expectation.word(0);
    if (what == "runs-per-key") {
        CHECK(maxRunsPerKey() == static_cast<int>(parseQuantity(expectation.word(1))));
    } else if (what == "wrong-refusals") {
        CHECK(m_wrongRefusals == 0);
    } else if (what == "wrong-replays") {
        CHECK(m_wrongReplays == 0);
        CHECK(m_replays > 0);
    } else if (what == "run") {
        CHECK(static_cast<double>(m_runs.size()) >= parseQuantity(expectation.word(2)));
    } else if (what == "writes-per-second") {
        const double perSecond = static_cast<double>(m_writes - m_writesBefore)
                                 / toSeconds(m_lastStep - m_measuredFrom);
        CHECK(perSecond <= parseQuantity(expectation.word(2)));
    } else {
        FAIL("unknown expectation");
    }
}

std::unique_ptr<Simulation> makeClaimSimulation(const Line &options)
{
    return std::make_unique<ClaimSimulation>(options);
}

} // namespace basildeck::test
