#include "edge/TargetTable.h"

#include <doctest/doctest.h>

#include <algorithm>

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

// Guards against requests that are placed by completion long after the targets were replaced by
// ones that do not report their speed, and against one service changing the choice of another.
TEST_CASE("a service counts as reporting its speed for a minute after the last report")
{
    TargetTableFixture fixture;
    const auto reports = [&](Duration after) {
        return fixture.targets.reportsSpeed("gauge", fixture.now + after);
    };
    TargetState &target = *fixture.targets.find("i-1");
    fixture.targets.noteLoad(target, { 1, 0, 4 }, fixture.now);
    CHECK_FALSE(reports(seconds(0)));
    fixture.targets.noteLoad(target, { 1, 0, 4, 100 }, fixture.now);
    fixture.targets.noteLoad(target, { 1, 0, 4 }, fixture.now + seconds(1));
    CHECK(reports(seconds(59)));
    CHECK_FALSE(reports(seconds(60)));
    CHECK_FALSE(fixture.targets.reportsSpeed("other", fixture.now));
}

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

namespace {

// How many requests a table sends to a cold target within a second.
int permitsInASecond(TargetTable &targets, const std::string &id, Time from)
{
    int permits = 0;
    for (int ms = 0; ms < 1000; ms += 10)
        permits += targets.acquireColdPermit(*targets.find(id), from + milliseconds(ms));
    return permits;
}

FleetConfig configWithColdRate()
{
    FleetConfig config;
    Service service;
    service.name = "gauge";
    service.coldRequestsPerSecond = 12;
    config.services.push_back(service);
    return config;
}

} // namespace

// Guards against the failure in review/5: VMs that restarted took the whole rate of a cold target
// each, and no limit at all if the targets were listed before the configuration.
TEST_CASE("a VM that starts takes a share of a cold target that is safe")
{
    EventLoop loop;
    const EdgeSettings settings = settingsWithTwoRegions();
    TargetTable targets{ loop, settings };
    const Time now = loop.now();
    targets.setFleet({}, now); // not known yet
    RegisteredTarget cold = registration("i-1", "khomas-a");
    cold.coldRemaining = seconds(30);
    SUBCASE("if the targets are listed first")
    {
        targets.registerTarget(cold, now);
        targets.setServices(configWithColdRate());
    }
    SUBCASE("if the configuration is listed first")
    {
        targets.setServices(configWithColdRate());
        targets.registerTarget(cold, now);
    }
    CHECK(targets.isCold(*targets.find("i-1"), now));
    CHECK(permitsInASecond(targets, "i-1", now) == 0);
    // The registered VMs are known before the heartbeats of the others have arrived.
    targets.setFleet({ { "vm-1", "khomas" }, { "vm-2", "khomas" }, { "vm-3", "khomas" } },
                     now + seconds(1));
    const int permits = permitsInASecond(targets, "i-1", now + seconds(1));
    CHECK(permits >= 3);
    CHECK(permits <= 4);
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

TEST_CASE("a target that said that it is leaving is used again when its entry says ready")
{
    TargetTableFixture fixture;
    RegisteredTarget entry = registration("i-1", "khomas-a");
    entry.startedAtUnixMs = 5;
    TargetTable &targets = fixture.targets;
    targets.registerTarget(entry, fixture.now);
    int unavailableCount = 0;
    targets.setOnUnavailable([&](TargetState &) { ++unavailableCount; });
    targets.noteLeaving(*targets.find("i-1"));
    CHECK(unavailableCount == 1);
    const auto isUsed = [&] {
        const TargetState *target = targets.find("i-1");
        const auto homes = targets.placement("gauge").candidates(1, "khomas", {}, 3);
        const bool isPlaced = std::find(homes.preferred.begin(), homes.preferred.end(), "i-1")
                              != homes.preferred.end();
        CHECK(isPlaced == targets.isEligible(*target, fixture.now));
        return isPlaced;
    };
    CHECK_FALSE(isUsed());
    targets.registerTarget(entry, fixture.now); // rewritten
    CHECK_FALSE(isUsed());
    targets.remove("i-1", fixture.now + seconds(5)); // expired, and registered again
    CHECK(targets.find("i-1") == nullptr);
    targets.registerTarget(entry, fixture.now);
    CHECK_FALSE(isUsed());
    RegisteredTarget withoutStart = entry;
    withoutStart.startedAtUnixMs = 0;
    targets.registerTarget(withoutStart, fixture.now);
    CHECK_FALSE(isUsed());
    RegisteredTarget ofOtherWriter = entry;
    ofOtherWriter.address.port = 10;
    targets.registerTarget(ofOtherWriter, fixture.now);
    targets.registerTarget(entry, fixture.now);
    CHECK_FALSE(isUsed());
    RegisteredTarget restarted = entry;
    restarted.startedAtUnixMs = 6;
    targets.registerTarget(restarted, fixture.now);
    CHECK(isUsed());
}

TEST_CASE("a target that said that it is leaving is kept when its entry goes during an outage")
{
    TargetTableFixture fixture;
    fixture.targets.noteLeaving(*fixture.targets.find("i-1"));
    fixture.targets.setStoreReachable(false, fixture.now);
    fixture.targets.remove("i-1", fixture.now);
    CHECK(fixture.targets.find("i-1") == nullptr);
}

TEST_CASE("a target gets requests during its hold-off because most of its service is ejected")
{
    TargetTableFixture fixture;
    TargetTable &targets = fixture.targets;
    TargetState *first = targets.find("i-1");
    TargetState *second = targets.find("i-2");
    first->outlierDetector.ejectFor(seconds(60), fixture.now);
    second->outlierDetector.ejectFor(seconds(60), fixture.now);
    REQUIRE(targets.isEligible(*first, fixture.now));
    int unavailableCount = 0;
    targets.setOnUnavailable([&](TargetState &) { ++unavailableCount; });
    targets.holdOff(*first, seconds(9), fixture.now);
    targets.holdOff(*first, seconds(2), fixture.now + seconds(1)); // does not end it sooner
    CHECK(unavailableCount == 1);
    CHECK_FALSE(targets.isEligible(*first, fixture.now + milliseconds(8999)));
    CHECK(targets.isEligible(*first, fixture.now + seconds(9)));
    targets.holdOff(*first, seconds(5), fixture.now + seconds(8)); // extends it
    CHECK_FALSE(targets.isEligible(*first, fixture.now + milliseconds(12999)));

    CHECK_FALSE(targets.holdOffLeft("gauge", {}, fixture.now));
    CHECK(targets.holdOffLeft("gauge", { "khomas" }, fixture.now) == seconds(13));
    targets.holdOff(*second, seconds(4), fixture.now);
    CHECK(targets.holdOffLeft("gauge", {}, fixture.now) == seconds(4));
    // A target that leaves is no longer waited for.
    targets.noteLeaving(*second);
    CHECK(targets.holdOffLeft("gauge", {}, fixture.now) == seconds(13));
    CHECK_FALSE(targets.holdOffLeft("other", {}, fixture.now));
}

TEST_SUITE_END();

} // namespace basildeck
