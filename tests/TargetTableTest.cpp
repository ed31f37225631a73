#include "edge/TargetTable.h"

#include <doctest/doctest.h>

namespace basildeck {

namespace {

EdgeSettings settingsWithTwoRegions()
{
    EdgeSettings settings;
    settings.vmName = "vm-1";
    settings.region = "khomas";
    settings.zone = "khomas-a";
    settings.zoneRegions = { { "khomas-a", "khomas" }, { "erongo-a", "erongo" } };
    return settings;
}

RegisteredTarget registration(const std::string &id, const std::string &zone)
{
    return { id, "gauge", { "127.0.0.1", 9 }, zone, 4, false, milliseconds(0), 0 };
}

struct TargetTableFixture
{
    EventLoop loop;
    EdgeSettings settings = settingsWithTwoRegions();
    TargetTable targets{ loop, settings };
    Time now = Clock::now();

    TargetTableFixture()
    {
        FleetConfig config;
        Service service;
        service.name = "gauge";
        service.coldStart = seconds(3);
        service.coldRequestsPerSecond = 10;
        config.services.push_back(service);
        targets.setServices(config);
        targets.registerTarget(registration("i-1", "khomas-a"), now);
        targets.registerTarget(registration("i-2", "erongo-a"), now);
    }
};

} // namespace

TEST_SUITE_BEGIN("target table");

TEST_CASE("a removal takes effect at once while the store is reachable")
{
    TargetTableFixture fixture;
    fixture.targets.remove("i-1", fixture.now + seconds(5));
    CHECK(fixture.targets.find("i-1") == nullptr);
}

// Guards against the failure in nam-gauge, scale-2: a VM cut off from the store learned of a
// leaving target from another VM's snapshot, but sent to it until its own watch recovered, 12.9 s
// after the target had left.
TEST_CASE("a removal reported by another VM takes effect while the store is unreachable")
{
    TargetTableFixture fixture;
    fixture.targets.setStoreReachable(false, fixture.now);
    fixture.targets.remove("i-1", fixture.now);
    CHECK(fixture.targets.find("i-1") != nullptr);
    fixture.targets.tick(fixture.now + TargetTable::expiryGrace);
    CHECK(fixture.targets.find("i-1") == nullptr);
}

TEST_CASE("a target is kept if its entry expires during an outage and is registered again")
{
    TargetTableFixture fixture;
    fixture.targets.setStoreReachable(false, fixture.now);
    fixture.targets.setStoreReachable(true, fixture.now);
    fixture.targets.remove("i-1", fixture.now + milliseconds(10));
    REQUIRE(fixture.targets.find("i-1") != nullptr);
    fixture.targets.registerTarget(registration("i-1", "khomas-a"), fixture.now + seconds(1));
    fixture.targets.tick(fixture.now + seconds(10));
    CHECK(fixture.targets.find("i-1") != nullptr);
}

// Guards against the failure in dct-lb, trouble-1: a VM that had been cut off from the store sent
// to a target 2.6 s after its entry was removed.
TEST_CASE("a removal takes effect at once if another VM reached the store all the time")
{
    TargetTableFixture fixture;
    fixture.targets.setStoreReachable(false, fixture.now);
    fixture.targets.setStoreReachableFromPeers(TargetTable::outageWindow);
    fixture.targets.remove("i-1", fixture.now);
    CHECK(fixture.targets.find("i-1") == nullptr);
}

TEST_CASE("a target is not eligible after its grace period, even before the next tick")
{
    TargetTableFixture fixture;
    fixture.targets.setStoreReachable(false, fixture.now);
    fixture.targets.remove("i-1", fixture.now);
    const TargetState &state = *fixture.targets.find("i-1");
    CHECK(fixture.targets.isEligible(state, fixture.now));
    CHECK_FALSE(fixture.targets.isEligible(state, fixture.now + TargetTable::expiryGrace));
}

TEST_CASE("a leaving target is removed at once during an outage")
{
    TargetTableFixture fixture;
    RegisteredTarget leaving = registration("i-1", "khomas-a");
    leaving.leaving = true;
    fixture.targets.registerTarget(leaving, fixture.now);
    fixture.targets.setStoreReachable(false, fixture.now);
    fixture.targets.remove("i-1", fixture.now);
    CHECK(fixture.targets.find("i-1") == nullptr);
}

TEST_CASE("targets of an evacuated zone get no requests, and are cold after the evacuation")
{
    TargetTableFixture fixture;
    TargetState *state = fixture.targets.find("i-1");
    int unavailableCount = 0;
    fixture.targets.setOnUnavailable([&](TargetState &) { ++unavailableCount; });
    fixture.targets.setEvacuated("khomas-a", true, fixture.now);
    CHECK(unavailableCount == 1);
    CHECK_FALSE(fixture.targets.isEligible(*state, fixture.now));
    CHECK(fixture.targets.placement("gauge").candidates(1, "khomas", {}, 3).preferred.front()
          == "i-2");
    fixture.targets.setEvacuated("khomas-a", false, fixture.now);
    CHECK(fixture.targets.isEligible(*state, fixture.now));
    CHECK(fixture.targets.isCold(*state, fixture.now));
    CHECK_FALSE(fixture.targets.acquireColdPermit(*state, fixture.now));
    CHECK(fixture.targets.acquireColdPermit(*state, fixture.now + milliseconds(200)));
}

TEST_CASE("a cold target gets no requests from VMs of other regions")
{
    TargetTableFixture fixture;
    RegisteredTarget cold = registration("i-2", "erongo-a");
    cold.coldRemaining = milliseconds(3000);
    fixture.targets.registerTarget(cold, fixture.now);
    CHECK_FALSE(fixture.targets.isEligible(*fixture.targets.find("i-2"), fixture.now));
    CHECK(fixture.targets.isEligible(*fixture.targets.find("i-2"), fixture.now + seconds(4)));
}

TEST_CASE("a target that restarts under the same id is a new target")
{
    TargetTableFixture fixture;
    TargetState *before = fixture.targets.find("i-1");
    before->concurrencyLimiter.started();
    RegisteredTarget restarted = registration("i-1", "khomas-a");
    restarted.startedAtUnixMs = 5;
    fixture.targets.registerTarget(restarted, fixture.now);
    CHECK(fixture.targets.find("i-1")->concurrencyLimiter.inFlight() == 0);
}

TEST_SUITE_END();

} // namespace basildeck
