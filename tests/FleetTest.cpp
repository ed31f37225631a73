#include "TestFleet.h"

#include "core/Hash.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace basildeck::test {

using nlohmann::json;
using standin::fetch;
using standin::RawSocket;

namespace {

int responseStatus(const Address &address, const std::string &request)
{
    const auto response = fetch(address, request);
    return response ? response->head.status() : 0;
}

std::string mainRequest(const std::string &key)
{
    return makeAuthorizedRequest("GET", "/main", key);
}

std::vector<std::string> entryNames(const Address &address)
{
    const auto response = fetch(address, standin::makeRequest("GET", "/basildeck/v1/entries"));
    std::vector<std::string> names;
    if (!response)
        return names;
    for (const json &entry : json::parse(response->body)["entries"])
        names.push_back(entry["vm"]);
    return names;
}

bool contains(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

TEST_CASE("three VMs: keys, configuration, outages, crashing requests and leaving")
{
    TestFleet fleet({ .vms = 3, .targets = 4 });

    SUBCASE("every VM accepts a granted key and refuses a withdrawn one, on open connections too")
    {
        const auto granted = fleet.adminRequest("POST", "/admin/v1/keys/beta");
        REQUIRE(granted.head.status() == 200);
        const std::string key = json::parse(granted.body)["key"];
        std::vector<std::unique_ptr<RawSocket>> connections;
        for (std::size_t vm = 0; vm < 3; ++vm) {
            TestFleet::waitFor("the key is accepted", [&] {
                return responseStatus(fleet.proxyAddress(vm), mainRequest(key)) == 200;
            });
            connections.push_back(RawSocket::connect(fleet.proxyAddress(vm)));
            REQUIRE(connections.back()->send(mainRequest(key)));
            CHECK(readResponse(*connections.back())->head.status() == 200);
        }
        CHECK(fleet.adminRequest("DELETE", "/admin/v1/keys/beta/" + sha256Hex(key), {}, 1)
                      .head.status()
              == 200);
        for (std::size_t vm = 0; vm < 3; ++vm) {
            TestFleet::waitFor("the key is refused", [&] {
                REQUIRE(connections[vm]->send(mainRequest(key)));
                return readResponse(*connections[vm])->head.status() == 401;
            });
            CHECK(responseStatus(fleet.proxyAddress(vm), mainRequest(TestFleet::betaKey)) == 200);
        }
    }

    SUBCASE("a VM that starts in a store outage receives the newest configuration from its peers")
    {
        const json exception = { { "scope", "region" },
                                 { "of", "south" },
                                 { "setting", "drained" },
                                 { "value", 1 },
                                 { "reason", "power works" } };
        const auto edited = fleet.adminRequest("PUT", "/admin/v1/exceptions/south", exception);
        CHECK(edited.head.status() == 200);
        const int version = json::parse(edited.body)["version"];
        TestFleet::waitFor("the edit is applied", [&] {
            return fleet.status(0)["configVersion"] == version
                   && fleet.status(1)["configVersion"] == version;
        });
        fleet.store().setFaults({ .outage = true });
        fleet.stopVm(2);
        fleet.startVm(2);
        TestFleet::waitFor("the configuration is received from a peer",
                           [&] { return fleet.status(2).value("configVersion", 0) == version; });
        // The store is unavailable to every VM. Requests with known keys must still be served.
        TestFleet::waitFor("the VM serves requests", [&] {
            return responseStatus(fleet.proxyAddress(2), mainRequest(TestFleet::alphaKey)) == 200;
        });
        std::this_thread::sleep_for(milliseconds(3000));
        CHECK(responseStatus(fleet.proxyAddress(0), mainRequest(TestFleet::alphaKey)) == 200);
        CHECK(fleet.adminRequest("POST", "/admin/v1/keys/beta").head.status() == 503);
    }

    SUBCASE("a lost response of the store is read back, and a conflicting edit reports the version")
    {
        fleet.store().setFaults({ .loseAnswers = 1 });
        const auto lost = fleet.adminRequest("PUT", "/admin/v1/organisations/delta");
        CHECK(lost.head.status() == 200);
        const json body = json::parse(lost.body);
        const auto stale = fleet.adminRequest("PUT", "/admin/v1/organisations/epsilon?version=1");
        CHECK(stale.head.status() == 409);
        CHECK(json::parse(stale.body)["currentVersion"] == body["version"]);
        CHECK(fleet.adminRequest("PUT", "/admin/v1/organisations/delta").head.status() == 422);
        CHECK(fleet.adminRequest("DELETE", "/admin/v1/organisations/nobody").head.status() == 404);
        json noReason = {
            { "scope", "region" }, { "of", "south" }, { "setting", "drained" }, { "value", 1 }
        };
        const auto refused = fleet.adminRequest("PUT", "/admin/v1/exceptions/x", noReason);
        CHECK(refused.head.status() == 422);
        CHECK(refused.body.find("reason") != std::string::npos);
    }

    SUBCASE("an exception expires on every VM at its end time")
    {
        const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
        const json exception = { { "scope", "organisation" }, { "of", "alpha" },
                                 { "setting", "rate" },       { "value", 7 },
                                 { "reason", "a test" },      { "untilUnixSeconds", now + 3 } };
        CHECK(fleet.adminRequest("PUT", "/admin/v1/exceptions/slow", exception).head.status()
              == 200);
        for (std::size_t vm = 0; vm < 3; ++vm)
            TestFleet::waitFor("the exception expires", [&] {
                const json state = fleet.status(vm);
                return state["configVersion"] > 1 && state["budgets"]["alpha"]["rate"] == 5000;
            });
    }

    SUBCASE("a request that crashes upstreams is sent to at most three, whichever VM receives it")
    {
        int reached = 0;
        for (int i = 0; i < 9; ++i) {
            const auto vm = static_cast<std::size_t>(i % 3);
            const std::uint64_t before = fleet.upstreamRunCount();
            responseStatus(fleet.proxyAddress(vm),
                           makeAuthorizedRequest("POST", "/main/crash?frame=none",
                                                 TestFleet::alphaKey, {}, "same body"));
            reached += static_cast<int>(fleet.upstreamRunCount() - before);
            std::this_thread::sleep_for(milliseconds(150));
        }
        CHECK(reached <= 3);
        CHECK(reached >= 2);
        CHECK(responseStatus(fleet.proxyAddress(0),
                             makeAuthorizedRequest("POST", "/main/crash", TestFleet::alphaKey, {},
                                                   "other"))
              == 200);
    }

    SUBCASE("leaving under load interrupts no request, and lookups omit the VM before it has left")
    {
        std::atomic<bool> stop{ false };
        std::atomic<int> succeededRequests{ 0 };
        std::atomic<int> failedRequests{ 0 };
        std::vector<std::thread> callers;
        for (int i = 0; i < 4; ++i)
            callers.emplace_back([&] {
                while (!stop) {
                    // Looks up a VM and then sends the request to it, as callers do.
                    const auto entries = entryNames(fleet.proxyAddress(0));
                    const std::size_t vm = contains(entries, "vm-1") ? 1 : 2;
                    const auto response = fetch(
                            fleet.proxyAddress(vm),
                            makeAuthorizedRequest("GET", "/main?sleepMs=5", TestFleet::alphaKey));
                    const bool whole
                            = response && response->complete && response->head.status() == 200;
                    ++(whole ? succeededRequests : failedRequests);
                }
            });
        TestFleet::waitFor("requests succeed", [&] { return succeededRequests > 100; });
        fleet.vm(1).requestLeave(false);
        TestFleet::waitFor("lookups leave out the VM",
                           [&] { return !contains(entryNames(fleet.proxyAddress(0)), "vm-1"); });
        CHECK(!fleet.vm(1).ended());
        TestFleet::waitFor("the VM has left", [&] { return fleet.vm(1).ended(); });
        const int succeededBeforeLeaving = succeededRequests;
        TestFleet::waitFor("requests keep succeeding",
                           [&] { return succeededRequests > succeededBeforeLeaving + 50; });
        stop = true;
        for (std::thread &caller : callers)
            caller.join();
        CHECK(failedRequests == 0);
    }
}

} // namespace basildeck::test

namespace basildeck::test {

TEST_CASE("a response from another region is complete over a rate-limited link")
{
    TestFleet fleet(
            { .vms = 1, .targets = 2, .targetRegion = "south", .linkBytesPerSecond = 20e6 });
    const auto response = standin::fetch(
            fleet.proxyAddress(),
            makeAuthorizedRequest("GET", "/main?bytes=6000000", TestFleet::alphaKey));
    REQUIRE(response);
    CHECK(response->head.status() == 200);
    CHECK(response->complete);
    CHECK(response->body.size() == 6'000'000);
    const std::string body(1'900'000, 'u');
    const auto upload
            = standin::fetch(fleet.proxyAddress(),
                             makeAuthorizedRequest("PUT", "/main", TestFleet::alphaKey, {}, body));
    REQUIRE(upload);
    CHECK(upload->body.find("\"received\":1900000") != std::string::npos);
    for (int i = 0; i < 20; ++i)
        CHECK(standin::fetch(fleet.proxyAddress(),
                             makeAuthorizedRequest("GET", "/main", TestFleet::alphaKey))
                      ->complete);
}

} // namespace basildeck::test
