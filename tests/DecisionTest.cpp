#include "core/Hash.h"
#include "decide/CrashQuarantine.h"
#include "decide/EntryVmRanking.h"
#include "decide/FairQueue.h"
#include "decide/Membership.h"
#include "decide/RetryBudget.h"
#include "decide/StorePartitionDetector.h"
#include "decide/TokenBucketShare.h"
#include "peer/ConfigHistory.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace basildeck;

namespace {

Time at(long ms)
{
    return Time{} + seconds(1000) + milliseconds(ms);
}

} // namespace

TEST_CASE("fair queue: one organisation's backlog does not delay another's request")
{
    FairQueue queue;
    for (FairQueue::RequestId id = 0; id < 100; ++id)
        CHECK(queue.push(id, "busy", at(100'000)));
    CHECK(queue.push(1000, "calm", at(100'000)));
    CHECK(*queue.pop() == 0);
    CHECK(*queue.pop() == 1000);
    CHECK(*queue.pop() == 1);
}

TEST_CASE("fair queue agrees with a reference implementation on random traffic")
{
    constexpr unsigned seed = 99;
    MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    FairQueue queue;
    // The reference serves the waiting organisation that was served the longest time ago.
    std::map<std::string, std::vector<FairQueue::RequestId>> waiting;
    std::vector<std::string> turns;
    FairQueue::RequestId next = 1;
    for (int step = 0; step < 20'000; ++step) {
        if (random() % 2 == 0) {
            const std::string name = "o" + std::to_string(random() % 5);
            if (queue.push(next, name, at(1'000'000))) {
                if (waiting[name].empty())
                    turns.push_back(name);
                waiting[name].push_back(next);
            } else {
                CHECK(waiting[name].size() == FairQueue::maxPerOrganisation);
            }
            ++next;
            continue;
        }
        const auto served = queue.pop();
        REQUIRE(served.has_value() == !turns.empty());
        if (!served)
            continue;
        const std::string name = turns.front();
        turns.erase(turns.begin());
        CHECK(*served == waiting[name].front());
        waiting[name].erase(waiting[name].begin());
        if (!waiting[name].empty())
            turns.push_back(name);
    }
}

TEST_CASE("fair queue: expired requests are removed, others keep their order")
{
    FairQueue queue;
    queue.push(1, "a", at(100));
    queue.push(2, "a", at(900));
    queue.push(3, "b", at(100));
    const auto expired = queue.removeExpired(at(500));
    CHECK(expired.size() == 2);
    CHECK(*queue.pop() == 2);
    CHECK(queue.empty());
    CHECK(!queue.pop());
    queue.push(4, "a", at(900));
    queue.remove(4);
    CHECK(!queue.pop());
}

TEST_CASE("fair queue: an organisation above its rate has lower priority, but is not starved")
{
    FairQueue queue;
    for (FairQueue::RequestId id = 0; id < 50; ++id)
        queue.push(id, "over", at(100'000), FairQueue::Band::Excess);
    for (FairQueue::RequestId id = 100; id < 150; ++id)
        queue.push(id, "calm", at(100'000));
    int inExcess = 0;
    for (int i = 0; i < 34; ++i)
        inExcess += *queue.pop() < 100 ? 1 : 0;
    CHECK(inExcess == 2);
}

TEST_CASE("retries stay below their share of new requests when all requests fail")
{
    RetryBudget budget;
    budget.setPercent(10);
    int retries = 0;
    for (int request = 0; request < 10'000; ++request) {
        budget.recordRequest();
        while (budget.tryWithdraw())
            ++retries;
    }
    CHECK(retries <= 1000);
    CHECK(retries > 900);
    budget.setPercent(0);
    CHECK(!budget.tryWithdraw());
}

TEST_CASE("a request that crashes two targets is quarantined until the retention ends")
{
    CrashQuarantine quarantine;
    CHECK(quarantine.mayRun(7, at(0)));
    CHECK(quarantine.addReport({ 7, "x", 5 }, at(0)));
    CHECK(quarantine.mayRun(7, at(1)));
    quarantine.runStarted(7);
    CHECK_MESSAGE(!quarantine.mayRun(7, at(2)),
                  "a second run of a suspected request must not start");
    quarantine.runFinished(7);
    CHECK(quarantine.addReport({ 7, "y", 5 }, at(100)));
    CHECK(!quarantine.mayRun(7, at(200)));
    CHECK(quarantine.quarantinedCount() == 1);
    CHECK(quarantine.mayRun(8, at(200)));
    CHECK(quarantine.mayRun(7, at(200) + CrashQuarantine::retention));
}

TEST_CASE("simultaneous losses in a failing zone do not quarantine a frequent request")
{
    CrashQuarantine quarantine;
    for (const char *target : { "a", "b", "c", "d" })
        quarantine.addReport({ 7, target, 50 }, at(10));
    CHECK(quarantine.mayRun(7, at(20)));
    quarantine.clearSuspicion(7);
    CHECK(quarantine.addReport({ 7, "e", 5 }, at(500)));
    CHECK(quarantine.mayRun(7, at(501)));
}

TEST_CASE("store partition detector: an outage is served through, a partition ends service")
{
    StorePartitionDetector near(true, at(0));
    CHECK(near.isPartitioned(at(0)));
    near.recordSuccess(at(0));
    CHECK(!near.isPartitioned(at(2000)));
    CHECK(near.isPartitioned(at(2600)));
    near.recordFailure(at(2700));
    CHECK_MESSAGE(!near.isPartitioned(at(2800)),
                  "a failure in the store's region proves an outage");

    StorePartitionDetector far(false, at(0));
    far.recordSuccess(at(0));
    far.recordFailure(at(2000));
    CHECK_MESSAGE(far.isPartitioned(at(2600)), "a failure in another region proves nothing");
    far.mergePeerAges(near.ages(at(2800)), at(2800));
    CHECK(!far.isPartitioned(at(3000)));
}

TEST_CASE("ages of store contacts only grow when they are passed on")
{
    StorePartitionDetector first(true, at(0));
    first.recordSuccess(at(0));
    StorePartitionDetector second(false, at(0));
    StorePartitionDetector third(false, at(0));
    // Two partitioned VMs that exchange old ages must not keep each other serving.
    second.mergePeerAges(first.ages(at(100)), at(100));
    for (long ms = 200; ms < 6000; ms += 100) {
        third.mergePeerAges(second.ages(at(ms)), at(ms));
        second.mergePeerAges(third.ages(at(ms)), at(ms));
    }
    CHECK(second.isPartitioned(at(6000)));
    CHECK(third.isPartitioned(at(6000)));
}

TEST_CASE("lookups rank VMs by region and load, and omit leaving and dead ones")
{
    const auto member
            = [](const char *vm, const char *region, MemberState state, std::uint32_t load) {
                  Member entry;
                  entry.vm = vm;
                  entry.region = region;
                  entry.state = state;
                  entry.loadPermille = load;
                  return entry;
              };
    const MemberList members = { member("far", "south", MemberState::Alive, 0),
                                 member("busy", "north", MemberState::Alive, 900),
                                 member("calm", "north", MemberState::Alive, 100),
                                 member("suspected", "north", MemberState::Suspect, 0),
                                 member("leaving", "north", MemberState::Leaving, 0),
                                 member("dead", "north", MemberState::Dead, 0) };
    const auto order = rankEntryVms(members, "north", {}, 1, 10);
    REQUIRE(order.size() == 4);
    CHECK(order[0].vm == "calm");
    CHECK(order[1].vm == "busy");
    CHECK(order[2].vm == "far");
    CHECK(order[3].vm == "suspected");
    CHECK(rankEntryVms(members, "north", { "north" }, 1, 10)[0].vm == "far");
}

TEST_CASE("configuration versions only increase, and a patch yields the newest document")
{
    ConfigHistory history;
    const auto text = [](const char *value) { return std::make_shared<const std::string>(value); };
    std::string large = R"({"a":1,"filler":")" + std::string(500, 'x') + "\"}";
    CHECK(history.add({ 1, 3 }, text(large.c_str())));
    CHECK(!history.add({ 1, 2 }, text("{}")));
    CHECK(!history.add({ 1, 3 }, text("{}")));
    ConfigHistory behind = history;
    large.replace(5, 1, "2");
    CHECK(history.add({ 1, 9 }, text(large.c_str())));
    const auto patch = history.patchFrom({ 1, 3 });
    REQUIRE(patch);
    CHECK(patch->size() < 100);
    CHECK(*behind.applyPatch(*patch) == large);
    CHECK(!history.patchFrom({ 1, 1 }));
    CHECK(!behind.applyPatch("[{\"op\":\"remove\",\"path\":\"/missing\"}]"));
    CHECK(history.add({ 2, 4 }, text("{}")));
    CHECK(!history.add({ 1, 10 }, text("{}")));
    CHECK(history.version() == StoreVersion{ 2, 4 });
}

TEST_CASE("rendezvous hashing moves only the items of a removed VM")
{
    std::vector<std::string> vms = { "a", "b", "c", "d", "e", "f", "g" };
    std::map<std::string, std::string> before;
    for (int i = 0; i < 500; ++i)
        before["item" + std::to_string(i)] = vms[rendezvousPick("item" + std::to_string(i), vms)];
    vms.erase(vms.begin() + 2);
    for (const auto &[item, owner] : before) {
        if (owner != "c")
            CHECK(vms[rendezvousPick(item, vms)] == owner);
    }
}

TEST_CASE("a new VM announces itself again after its first messages were lost")
{
    Member self;
    self.vm = "new";
    Membership membership(self, 1);
    membership.tick(at(0));
    for (int lost = 0; lost < 100; ++lost)
        membership.takeUpdates("seed");
    membership.tick(at(5000));
    const auto updates = membership.takeUpdates("seed");
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].vm == "new");
    membership.tick(at(0) + Membership::selfAnnouncementPeriod);
    CHECK(membership.takeUpdates("seed").empty());
}

TEST_CASE("a borrower gets a whole token although some holders have none to lend")
{
    // Guards against rounding: the borrower was a millionth of a token short, and requests for such
    // amounts were not sent.
    const TokenBucketLimit limit{ 800, 800 };
    TokenBucketShare borrower(limit, 1, at(-10'000));
    borrower.setHolders({ "full", "empty1", "empty2" });
    TokenBucketShare full(limit, 2, at(-10'000));
    full.setFraction(0.2, at(-5000));
    TokenBucketShare empty(limit, 3, at(-10'000));
    bool admitted = false;
    for (long ms = 0; ms < 500 && !admitted; ms += 30) {
        for (const auto &ask : borrower.dueRequests(1, at(ms))) {
            TokenBucketShare &holder = ask.holder == "full" ? full : empty;
            borrower.acceptLease(ask.holder, holder.grantLease("b", ask.request, at(ms)), at(ms));
        }
        admitted = borrower.tryAcquire(1, at(ms));
    }
    CHECK(admitted);
}
