#include "edge/TargetTable.h"

#include <doctest/doctest.h>

namespace basildeck {

namespace {

EdgeSettings twoRegions()
{
    EdgeSettings settings;
    settings.vmName = "vm-1";
    settings.region = "khomas";
    settings.zone = "khomas-a";
    settings.zoneRegions = { { "khomas-a", "khomas" }, { "erongo-a", "erongo" } };
    return settings;
}

RegisteredTarget target(const std::string &id, const std::string &zone)
{
    return { id, "gauge", { "127.0.0.1", 9 }, zone, 4, false, milliseconds(0), 0 };
}

struct Table
{
    EventLoop loop;
    EdgeSettings settings = twoRegions();
    TargetTable targets{ loop, settings };
    Time now = Clock::now();

    Table()
    {
        FleetConfig config;
        Service service;
        service.name = "gauge";
        service.coldStart = seconds(3);
        service.coldRequestsPerSecond = 10;
        config.services.push_back(service);
        targets.setServices(config);
        targets.store(target("i-1", "khomas-a"), now);
        targets.store(target("i-2", "erongo-a"), now);
    }
};

} // namespace

TEST_SUITE_BEGIN("target table");

TEST_CASE("a removal is final at once while the store answers")
{
    Table table;
    table.targets.remove("i-1", table.now + seconds(5));
    CHECK(table.targets.find("i-1") == nullptr);
}

// nam-gauge, scale-2: a VM that was cut off from the store heard of a leaving target by another
// VM's copy and sent to it until its own watch returned, 12.9 s after the target had left.
TEST_CASE("a removal that another VM passed on takes effect while the store is out of reach")
{
    Table table;
    table.targets.setStoreReached(false, table.now);
    table.targets.remove("i-1", table.now);
    CHECK(table.targets.find("i-1") != nullptr);
    table.targets.tick(table.now + TargetTable::lapseGrace);
    CHECK(table.targets.find("i-1") == nullptr);
}

TEST_CASE("an entry that lapsed during an outage and comes back keeps its target")
{
    Table table;
    table.targets.setStoreReached(false, table.now);
    table.targets.setStoreReached(true, table.now);
    table.targets.remove("i-1", table.now + milliseconds(10));
    REQUIRE(table.targets.find("i-1") != nullptr);
    table.targets.store(target("i-1", "khomas-a"), table.now + seconds(1));
    table.targets.tick(table.now + seconds(10));
    CHECK(table.targets.find("i-1") != nullptr);
}

// dct-lb, trouble-1: a VM that had been cut off sent to a target 2.6 s after its entry was removed.
TEST_CASE("nothing has lapsed if the store answered another VM all the while")
{
    Table table;
    table.targets.setStoreReached(false, table.now);
    table.targets.setStoreReachedElsewhere(TargetTable::outageMemory);
    table.targets.remove("i-1", table.now);
    CHECK(table.targets.find("i-1") == nullptr);
}

TEST_CASE("a target whose grace is over gets nothing before the next tick either")
{
    Table table;
    table.targets.setStoreReached(false, table.now);
    table.targets.remove("i-1", table.now);
    const TargetState &state = *table.targets.find("i-1");
    CHECK(table.targets.mayUse(state, table.now));
    CHECK_FALSE(table.targets.mayUse(state, table.now + TargetTable::lapseGrace));
}

TEST_CASE("a leaving target that disappears during an outage is gone at once")
{
    Table table;
    RegisteredTarget leaving = target("i-1", "khomas-a");
    leaving.leaving = true;
    table.targets.store(leaving, table.now);
    table.targets.setStoreReached(false, table.now);
    table.targets.remove("i-1", table.now);
    CHECK(table.targets.find("i-1") == nullptr);
}

TEST_CASE("targets of an evacuated zone get nothing, and are cold when the zone is taken back")
{
    Table table;
    TargetState *state = table.targets.find("i-1");
    int closed = 0;
    table.targets.setOnClosed([&](TargetState &) { ++closed; });
    table.targets.setEvacuated("khomas-a", true, table.now);
    CHECK(closed == 1);
    CHECK_FALSE(table.targets.mayUse(*state, table.now));
    CHECK(table.targets.placement("gauge").candidates(1, "khomas", {}, 3).preferred.front()
          == "i-2");
    table.targets.setEvacuated("khomas-a", false, table.now);
    CHECK(table.targets.mayUse(*state, table.now));
    CHECK(table.targets.isCold(*state, table.now));
    CHECK_FALSE(table.targets.takeColdPart(*state, table.now));
    CHECK(table.targets.takeColdPart(*state, table.now + milliseconds(200)));
}

TEST_CASE("VMs of other regions send nothing to a cold target")
{
    Table table;
    RegisteredTarget cold = target("i-2", "erongo-a");
    cold.coldFor = milliseconds(3000);
    table.targets.store(cold, table.now);
    CHECK_FALSE(table.targets.mayUse(*table.targets.find("i-2"), table.now));
    CHECK(table.targets.mayUse(*table.targets.find("i-2"), table.now + seconds(4)));
}

TEST_CASE("a target that starts again under its id or gives up its address is a new one")
{
    Table table;
    TargetState *before = table.targets.find("i-1");
    before->gate.started();
    RegisteredTarget again = target("i-1", "khomas-a");
    again.startedAtUnixMs = 5;
    table.targets.store(again, table.now);
    CHECK(table.targets.find("i-1")->gate.inFlight() == 0);
}

TEST_SUITE_END();

} // namespace basildeck
