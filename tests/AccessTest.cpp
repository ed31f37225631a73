#include "decide/PeerTable.h"
#include "decide/access/AccessClient.h"
#include "decide/access/AccessCoordinator.h"
#include "decide/access/CoordinatorSelection.h"

#include <doctest/doctest.h>

#include <set>

namespace basildeck::test {

namespace {

constexpr int slots = 2;
constexpr Time start{ seconds(1000) };
constexpr std::uint32_t runMs = 400;

// A coordinator of one target, asked by two VMs.
struct Fixture
{
    // A request for a permit. Returns the decisions that it leads to.
    PermitDecisions ask(std::uint64_t number, int priority = 1,
                        const std::string &organisation = "alpha", std::uint32_t mayWaitMs = 5000,
                        const std::string &vm = "vm-1")
    {
        return coordinator.handle(
                PermitRequest{ vm, number, "i-1", priority, organisation, mayWaitMs, runMs, 3000 },
                slots, now);
    }

    // The target reports what runs there, including the request that ends.
    PermitDecisions release(std::uint64_t number, int running = slots,
                            const std::string &vm = "vm-1")
    {
        return coordinator.handle(
                PermitRelease{ vm, number, "i-1", LoadReport{ running, 0, slots, 100 }, runMs },
                now);
    }

    // Fills both slots. The first reports make the target's load known.
    void fill()
    {
        REQUIRE(granted(ask(1)) == Numbers{ 1 });
        REQUIRE(granted(ask(2)).empty());
        REQUIRE(granted(release(1, 1)) == Numbers{ 2 });
        REQUIRE(granted(ask(3)) == Numbers{ 3 });
    }

    using Numbers = std::vector<std::uint64_t>;

    static Numbers granted(const PermitDecisions &decisions) { return numbers(decisions, true); }
    static Numbers declined(const PermitDecisions &decisions) { return numbers(decisions, false); }

    static Numbers numbers(const PermitDecisions &decisions, bool isGranted)
    {
        Numbers found;
        for (const PermitDecision &decision : decisions) {
            if (decision.reply.isGranted == isGranted)
                found.push_back(decision.reply.number);
        }
        return found;
    }

    AccessCoordinator coordinator;
    Time now = start;
};

using Numbers = Fixture::Numbers;

} // namespace

TEST_SUITE_BEGIN("access");

TEST_CASE("permits exceed the slots, or a less urgent request comes first")
{
    Fixture fixture;
    fixture.fill();
    CHECK(fixture.ask(4, 1, "alpha").empty());
    CHECK(fixture.ask(5, 1, "alpha").empty());
    CHECK(fixture.ask(6, 1, "beta").empty());
    CHECK(fixture.ask(7, 0, "alpha").empty());
    CHECK(fixture.coordinator.heldCount() == slots);
    // The most urgent one, then the organisations in turns.
    CHECK(Fixture::granted(fixture.release(2)) == Numbers{ 7 });
    CHECK(Fixture::granted(fixture.release(3)) == Numbers{ 4 });
    CHECK(Fixture::granted(fixture.release(7)) == Numbers{ 6 });
    CHECK(Fixture::granted(fixture.release(4)) == Numbers{ 5 });
}

TEST_CASE("a repeated datagram takes a second permit")
{
    Fixture fixture;
    CHECK(Fixture::granted(fixture.ask(1)) == Numbers{ 1 });
    CHECK(Fixture::granted(fixture.ask(1)) == Numbers{ 1 });
    CHECK(fixture.coordinator.heldCount() == 1);
}

TEST_CASE("a full queue keeps less urgent requests, or those of one organisation only")
{
    Fixture fixture;
    fixture.fill();
    for (std::size_t i = 1; i <= slots * TargetPermits::waitingPerSlot; ++i)
        CHECK(fixture.ask(10 + i).empty());
    CHECK(Fixture::declined(fixture.ask(19)) == Numbers{ 19 });
    CHECK(Fixture::declined(fixture.ask(20, 1, "beta")) == Numbers{ 18 });
    CHECK(Fixture::declined(fixture.ask(21, 0)) == Numbers{ 17 });
    CHECK(fixture.coordinator.counters().displaced == 2);
}

TEST_CASE("a request that cannot start in time waits, and callers return together")
{
    Fixture fixture;
    fixture.fill();
    std::set<std::uint32_t> times;
    for (std::uint64_t number = 10; number < 16; ++number) {
        const PermitDecisions decisions = fixture.ask(number, 1, "alpha", 100);
        REQUIRE(Fixture::declined(decisions) == Numbers{ number });
        times.insert(decisions.front().reply.retryAfterMs);
    }
    // One slot frees every 200 ms.
    CHECK(times == std::set<std::uint32_t>{ 200, 400, 600, 800, 1000, 1200 });
    // A request in the queue is declined when its time has passed.
    CHECK(fixture.ask(20, 1, "alpha", 250).empty());
    fixture.now += milliseconds(251);
    CHECK(Fixture::declined(fixture.coordinator.tick(fixture.now)) == Numbers{ 20 });
}

TEST_CASE("a permit whose release is lost keeps its slot")
{
    Fixture fixture;
    fixture.fill();
    CHECK(fixture.ask(4).empty());
    SUBCASE("until it expires")
    {
        fixture.now += milliseconds(3000) + TargetPermits::expiryMargin;
        CHECK(Fixture::granted(fixture.coordinator.tick(fixture.now)) == Numbers{ 4 });
        CHECK(fixture.coordinator.counters().expired == 2);
    }
    SUBCASE("until the target reports fewer requests")
    {
        fixture.now += TargetPermits::arrivalTime + milliseconds(1);
        CHECK(fixture.ask(5).empty());
        CHECK(Fixture::granted(fixture.release(2, 1)) == Numbers{ 4, 5 });
    }
}

TEST_CASE("the permits and waiting requests of a VM that is gone remain")
{
    Fixture fixture;
    fixture.coordinator.setReachable({ "vm-1", "vm-2" }, fixture.now);
    fixture.fill();
    CHECK(fixture.ask(1, 0, "alpha", 5000, "vm-2").empty());
    CHECK(fixture.ask(2, 1, "alpha", 5000, "vm-2").empty());
    const PermitDecisions decisions = fixture.coordinator.setReachable({ "vm-2" }, fixture.now);
    CHECK(Fixture::granted(decisions) == Numbers{ 1, 2 });
    CHECK(decisions.front().vm == "vm-2");
    CHECK(fixture.coordinator.heldCount() == slots);
}

TEST_CASE("an old report keeps slots from being granted")
{
    Fixture fixture;
    fixture.fill();
    fixture.release(2, 5);
    fixture.release(3, 5);
    CHECK(fixture.ask(4).size() == 1);
    CHECK(fixture.ask(5).empty());
    fixture.now += TargetPermits::reportLifetime + milliseconds(1);
    CHECK(Fixture::granted(fixture.coordinator.tick(fixture.now)) == Numbers{ 5 });
}

TEST_CASE("requests without a permit do not count")
{
    Fixture fixture;
    fixture.fill();
    CHECK(fixture.ask(4).empty());
    CHECK(Fixture::granted(fixture.release(2, 3)).empty());
    CHECK(fixture.coordinator.unpermittedCount() == 1);
    CHECK(Fixture::granted(fixture.release(3, 1)) == Numbers{ 4 });
}

TEST_CASE("a VM does not decide by itself in place of a coordinator that does not reply")
{
    AccessClient client("vm-1", 0);
    const AccessClient::Terms terms{ 1, "i-1", 0, "", milliseconds(100), milliseconds(400) };
    client.ask("vm-2", terms, start);
    const Time late = start + milliseconds(100) + AccessClient::replyTimeout;
    CHECK(client.takeUnanswered(late - milliseconds(1)).empty());
    const auto unanswered = client.takeUnanswered(late);
    REQUIRE(unanswered.size() == 1);
    CHECK(unanswered.front().request == 1);
    CHECK(unanswered.front().release.coordinator == "vm-2");
    CHECK(client.decidesLocally("vm-2", late));
    CHECK_FALSE(client.decidesLocally("vm-3", late));
    CHECK_FALSE(client.decidesLocally("vm-2", late + AccessClient::localDecisionTime));
}

TEST_CASE("one lost datagram makes a VM decide without a coordinator that replies")
{
    AccessClient client("vm-1", 0);
    client.ask("vm-2", { 1, "i-1", 0, "", milliseconds(100), milliseconds(400) }, start);
    const auto other
            = client.ask("vm-2", { 2, "i-1", 0, "", milliseconds(100), milliseconds(400) }, start);
    const auto answer = client.handle({ other.number, true }, start + milliseconds(5));
    REQUIRE(answer);
    CHECK(answer->request == 2);
    CHECK(client.takeUnanswered(start + seconds(1)).size() == 1);
    CHECK_FALSE(client.decidesLocally("vm-2", start + seconds(1)));
}

TEST_CASE("a VM that cannot coordinate is selected, or targets move without need")
{
    Heartbeat heartbeat;
    heartbeat.vm = "vm-1";
    heartbeat.region = "north";
    heartbeat.ready = true;
    heartbeat.permitProtocol = currentPermitProtocol;
    std::vector<Heartbeat> others(5, heartbeat);
    others[0].region = "south";
    others[1].ready = false;
    others[2].leaving = true;
    others[3].permitProtocol = 0;
    others[4].targetContact = TargetContact::Lost;
    std::vector<const Heartbeat *> reachable{ &heartbeat };
    for (const Heartbeat &other : others)
        reachable.push_back(&other);
    CHECK(accessCoordinators(reachable, "north") == std::vector<std::string>{ "vm-1" });
    CoordinatorSelection selection;
    CHECK(selection.coordinatorOf("i-1").empty());
    selection.setVms({ "vm-1", "vm-2", "vm-3" });
    std::map<std::string, std::string> before;
    for (int i = 0; i < 50; ++i)
        before["i-" + std::to_string(i)] = selection.coordinatorOf("i-" + std::to_string(i));
    selection.setVms({ "vm-1", "vm-3" });
    for (const auto &[target, coordinator] : before)
        CHECK((coordinator == "vm-2" || coordinator == selection.coordinatorOf(target)));
}

TEST_SUITE_END();

} // namespace basildeck::test
