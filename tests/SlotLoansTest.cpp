#include "decide/SlotLoans.h"
#include "decide/SlotAssignment.h"
#include "decide/TargetPool.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <variant>

using namespace basildeck;

namespace {

constexpr int slots = 4;
constexpr int targets = 6;
constexpr Duration maxRun = seconds(5);

struct Run
{
    TargetPool::Choice choice;
    Time ends;
};

struct Vm
{
    explicit Vm(std::uint64_t seed)
        : pool("north", "a", seed)
    {}
    TargetPool pool;
    std::vector<Run> runs;
    int waiting = 0;
    Duration clockOffset{ 0 };
};

struct Message
{
    Time at;
    std::size_t from;
    std::size_t to;
    std::variant<SlotRequest, SlotGrant, SlotReturn> body;
};

} // namespace

TEST_CASE("each slot of a target is assigned to one VM of the target's region")
{
    const std::vector<SlotOwner> owners
            = { { "a", "north" }, { "b", "north" }, { "c", "north" }, { "d", "south" } };
    for (int target = 0; target < 50; ++target) {
        const std::string name = "t" + std::to_string(target);
        int sum = 0;
        for (const SlotOwner &owner : owners)
            sum += ownedSlots(owner.vm, name, "north", slots, owners);
        CHECK(sum == slots);
        CHECK(ownedSlots("d", name, "north", slots, owners) == 0);
        CHECK(ownedSlots("d", name, "south", slots, owners) == slots);
        // The slots of a region without VMs are assigned to all VMs.
        int sumOverAll = 0;
        for (const SlotOwner &owner : owners)
            sumOverAll += ownedSlots(owner.vm, name, "west", slots, owners);
        CHECK(sumOverAll == slots);
    }
}

TEST_CASE("requests in flight never exceed a target's slots while VMs lend them to each other")
{
    constexpr unsigned seed = 7;
    MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    std::vector<Vm> vms;
    for (std::uint64_t i = 0; i < 4; ++i) {
        vms.emplace_back((i + 1) << 32);
        vms.back().clockOffset = seconds(100 * static_cast<long>(i));
    }
    const std::vector<SlotOwner> owners = { { "0", "north" }, { "1", "north" }, { "2", "north" } };
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        std::vector<TargetSpec> specs;
        for (int i = 0; i < targets; ++i) {
            const std::string name = "t" + std::to_string(i);
            specs.push_back({ name, "north", "a",
                              ownedSlots(std::to_string(vm), name, "north", slots, owners),
                              false });
        }
        vms[vm].pool.setTargets(specs, Time{} + vms[vm].clockOffset);
    }
    std::vector<Message> inTransit;
    int served = 0;
    int servedByNonOwner = 0;
    for (Time now{}; now < Time{} + seconds(300); now += milliseconds(5)) {
        // Messages are lost and delayed.
        std::vector<Message> arrived;
        std::erase_if(inTransit, [&](const Message &message) {
            if (message.at > now)
                return false;
            arrived.push_back(message);
            return true;
        });
        const auto send = [&](std::size_t from, std::size_t to, const auto &body) {
            if (random() % 10 != 0)
                inTransit.push_back({ now + milliseconds(random() % 150), from, to, body });
        };
        for (const Message &message : arrived) {
            Vm &vm = vms[message.to];
            const Time localNow = now + vm.clockOffset;
            const std::string from = std::to_string(message.from);
            if (const auto *request = std::get_if<SlotRequest>(&message.body))
                send(message.to, message.from,
                     vm.pool.lend(from, *request, vm.waiting > 0, localNow));
            else if (const auto *grant = std::get_if<SlotGrant>(&message.body))
                vm.pool.borrower().accept(from, *grant, localNow);
            else
                vm.pool.acceptReturn(from, std::get<SlotReturn>(message.body));
        }
        for (std::size_t i = 0; i < vms.size(); ++i) {
            Vm &vm = vms[i];
            const Time localNow = now + vm.clockOffset;
            std::erase_if(vm.runs, [&](const Run &run) {
                if (run.ends > now)
                    return false;
                vm.pool.finished(run.choice, RunOutcome::Answered, maxRun, localNow);
                return true;
            });
            // The load moves from VM to VM. The last VM owns no slots.
            const bool busy = (now.time_since_epoch() / seconds(20)) % 4 == static_cast<long>(i);
            if (busy && vm.waiting < 30 && random() % 2 == 0)
                ++vm.waiting;
            while (vm.waiting > 0) {
                const auto choice = vm.pool.choose({}, localNow + maxRun, localNow);
                if (!choice)
                    break;
                --vm.waiting;
                vm.pool.started(*choice);
                vm.runs.push_back({ *choice, now + milliseconds(random() % 5000) });
                ++served;
                servedByNonOwner += i == 3 ? 1 : 0;
            }
            vm.pool.expireLoans(localNow);
            for (const auto &outgoingReturn : vm.pool.borrower().takeReturns(localNow))
                send(i, std::stoul(outgoingReturn.lender), outgoingReturn.slotReturn);
            std::vector<std::string> lenders;
            for (std::size_t other = 0; other < 3; ++other) {
                if (other != i)
                    lenders.push_back(std::to_string(other));
            }
            if (const auto outgoingRequest
                = vm.pool.borrower().dueRequest(vm.waiting, lenders, localNow))
                send(i, std::stoul(outgoingRequest->lender), outgoingRequest->request);
        }
        // Counts the running requests of each target across all VMs.
        std::map<std::string, int> inFlight;
        for (const Vm &vm : vms) {
            for (const Run &run : vm.runs)
                ++inFlight[run.choice.target];
        }
        for (const auto &[name, count] : inFlight) {
            if (count > slots)
                FAIL("target " << name << " has " << count << " requests in flight");
        }
    }
    CHECK(served > 1000);
    CHECK(servedByNonOwner > 100);
}

TEST_CASE("a target is ejected after consecutive failures, but never more than half of the targets")
{
    TargetPool pool("north", "a", 1);
    const Time now = Time{} + seconds(10);
    pool.setTargets({ { "x", "north", "a", 4, false }, { "y", "north", "a", 4, false } }, now);
    for (const char *name : { "x", "y" }) {
        for (int i = 0; i < TargetPool::ejectionThreshold; ++i) {
            pool.started({ name, 0 });
            pool.finished({ name, 0 }, RunOutcome::ConnectFailed, seconds(0), now);
        }
    }
    const auto choice = pool.choose({}, now, now);
    REQUIRE(choice);
    CHECK(choice->target == "y");
    CHECK(!pool.choose({ "y" }, now, now));
    CHECK(pool.choose({ "y" }, now, now + TargetPool::baseEjectionTime + milliseconds(1)));
}

TEST_CASE("a closed target receives no requests, and a new target starts with one slot")
{
    TargetPool pool("north", "a", 1);
    const Time now = Time{} + seconds(10);
    pool.setTargets({ { "x", "north", "a", 4, false } }, now);
    pool.setTargets({ { "x", "north", "a", 4, true }, { "new", "north", "a", 4, false } }, now);
    const auto first = pool.choose({}, now, now);
    REQUIRE(first);
    CHECK(first->target == "new");
    pool.started(*first);
    CHECK(!pool.choose({}, now, now));
    CHECK(pool.choose({}, now, now + TargetPool::slowStartStep));
}
