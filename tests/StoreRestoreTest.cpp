#include "TestFleet.h"

#include "core/Hash.h"

#include <doctest/doctest.h>

namespace basildeck::test {

using nlohmann::json;

namespace {

constexpr std::size_t vmCount = 3;

bool everyVm(const std::function<bool(std::size_t)> &condition)
{
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        if (!condition(vm))
            return false;
    }
    return true;
}

bool knowsOrganisation(TestFleet &fleet, std::size_t vm, const std::string &name)
{
    const json state = fleet.status(vm);
    return state.is_object() && state["budgets"].contains(name);
}

bool storeHasOrganisation(TestFleet &fleet, const std::string &name)
{
    const auto response = fleet.adminRequest("GET", "/admin/v1/config");
    return response.head.status() == 200 && response.body.find(name) != std::string::npos;
}

void addOrganisation(TestFleet &fleet, const std::string &name, std::size_t vm)
{
    CHECK(fleet.adminRequest("PUT", "/admin/v1/organisations/" + name, {}, vm).head.status()
          == 200);
}

int mainStatus(TestFleet &fleet, std::size_t vm, const std::string &key)
{
    const auto response
            = standin::fetch(fleet.proxyAddress(vm), makeAuthorizedRequest("GET", "/main", key));
    return response ? response->head.status() : 0;
}

json holderState(TestFleet &fleet, std::size_t vm)
{
    const json state = fleet.status(vm);
    return state.is_object() ? state["holderTable"] : json::object();
}

bool followsHolders(TestFleet &fleet, std::size_t vm, std::size_t count)
{
    const json table = holderState(fleet, vm);
    return table.value("complete", false) && table["holders"].size() == count
           && table["acknowledged"] == table["version"];
}

} // namespace

TEST_CASE("edits that the store lost in a restore stay in force and are written again")
{
    TestFleet fleet({ .vms = vmCount });
    fleet.store().copyObjects();
    addOrganisation(fleet, "delta", 0);
    addOrganisation(fleet, "epsilon", 1);
    TestFleet::waitFor("the edits are applied", [&] {
        return everyVm([&](std::size_t vm) { return knowsOrganisation(fleet, vm, "epsilon"); });
    });
    REQUIRE(fleet.store().restoreObjects());

    SUBCASE("the store holds them again without a further edit")
    {
        TestFleet::waitFor("the configuration is written again",
                           [&] { return storeHasOrganisation(fleet, "epsilon"); });
        CHECK(storeHasOrganisation(fleet, "delta"));
    }

    SUBCASE("the store holds them again although its version has passed the watched one")
    {
        for (int i = 0; i < 20; ++i) {
            const std::string path = "/v1/objects/other/" + std::to_string(i) + "?version=0";
            const auto put = standin::fetch(fleet.storeAddress(),
                                            standin::makeRequest("PUT", path, {}, "1"));
            REQUIRE(put);
            CHECK(put->head.status() == 200);
        }
        TestFleet::waitFor("the configuration is written again",
                           [&] { return storeHasOrganisation(fleet, "epsilon"); });
        CHECK(storeHasOrganisation(fleet, "delta"));
    }

    SUBCASE("an edit right after the restore is based on them, and every VM follows it")
    {
        addOrganisation(fleet, "zeta", 2);
        CHECK(storeHasOrganisation(fleet, "delta"));
        CHECK(storeHasOrganisation(fleet, "epsilon"));
        TestFleet::waitFor("the edit is applied", [&] {
            return everyVm([&](std::size_t vm) { return knowsOrganisation(fleet, vm, "zeta"); });
        });
    }

    SUBCASE("a VM that starts after the restore follows them")
    {
        fleet.stopVm(2);
        fleet.startVm(2);
        TestFleet::waitFor("the new VM follows the edits",
                           [&] { return knowsOrganisation(fleet, 2, "epsilon"); });
    }
    CHECK(everyVm([&](std::size_t vm) { return knowsOrganisation(fleet, vm, "epsilon"); }));
}

TEST_CASE("a key withdrawn before a restore of the store stays withdrawn")
{
    TestFleet fleet({ .vms = vmCount });
    fleet.store().copyObjects();
    const auto withdrawn = fleet.adminRequest(
            "DELETE", "/admin/v1/keys/beta/" + sha256Hex(TestFleet::betaKey), {}, 1);
    REQUIRE(withdrawn.head.status() == 200);
    TestFleet::waitFor("the key is refused", [&] {
        return everyVm(
                [&](std::size_t vm) { return mainStatus(fleet, vm, TestFleet::betaKey) == 401; });
    });
    REQUIRE(fleet.store().restoreObjects());
    addOrganisation(fleet, "delta", 0);
    TestFleet::waitFor("an edit of the new era is applied", [&] {
        return everyVm([&](std::size_t vm) {
            CHECK(mainStatus(fleet, vm, TestFleet::betaKey) == 401);
            return knowsOrganisation(fleet, vm, "delta");
        });
    });
    CHECK(everyVm(
            [&](std::size_t vm) { return mainStatus(fleet, vm, TestFleet::betaKey) == 401; }));
}

TEST_CASE("the table of holders changes again after a restore of the store")
{
    TestFleet fleet({ .vms = vmCount });
    fleet.store().copyObjects();
    fleet.stopVm(2);
    fleet.store().setVm("vm-2", "gone");
    TestFleet::waitFor("the others share the fraction of the VM",
                       [&] { return followsHolders(fleet, 0, 2) && followsHolders(fleet, 1, 2); });
    REQUIRE(fleet.store().restoreObjects());
    TestFleet::waitFor("the VMs confirm the table in the new era", [&] {
        return holderState(fleet, 0).value("era", 0) == 2 && followsHolders(fleet, 0, 2)
               && holderState(fleet, 1).value("era", 0) == 2 && followsHolders(fleet, 1, 2);
    });
    fleet.store().setVm("vm-2", "live");
    fleet.startVm(2);
    TestFleet::waitFor("the new VM receives a fraction", [&] {
        return everyVm([&](std::size_t vm) { return followsHolders(fleet, vm, vmCount); });
    });
}

TEST_CASE("a request whose claim the store lost in a restore is not run a second time")
{
    TestFleet fleet({ .vms = vmCount });
    fleet.store().copyObjects();
    const std::string request = makeAuthorizedRequest(
            "POST", "/once", TestFleet::alphaKey, { { "Idempotency-Key", "order-1" } }, "order");
    const auto first = standin::fetch(fleet.proxyAddress(0), request);
    REQUIRE(first);
    REQUIRE(first->head.status() == 200);
    REQUIRE(fleet.store().restoreObjects());
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        TestFleet::waitFor("the recorded response is repeated", [&] {
            const auto repeated = standin::fetch(fleet.proxyAddress(vm), request);
            return repeated && repeated->head.header("basildeck-replayed") == "true";
        });
    CHECK(fleet.upstreamRunCount() == 1);
}

} // namespace basildeck::test
