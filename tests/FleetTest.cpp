#include "Fleet.h"

#include "core/Hash.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace basildeck::test {

using nlohmann::json;
using standin::fetch;
using standin::RawSocket;

namespace {

int statusOf(const Address &address, const std::string &request)
{
    const auto answer = fetch(address, request);
    return answer ? answer->head.status() : 0;
}

std::string mainRequest(const std::string &key)
{
    return keyed("GET", "/main", key);
}

std::vector<std::string> entryNames(const Address &address)
{
    const auto answer = fetch(address, standin::makeRequest("GET", "/basildeck/v1/entries"));
    std::vector<std::string> names;
    if (!answer)
        return names;
    for (const json &entry : json::parse(answer->body)["entries"])
        names.push_back(entry["vm"]);
    return names;
}

bool names(const std::vector<std::string> &list, const std::string &name)
{
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

TEST_CASE("three VMs: keys, configuration, outages, crashing requests and leaving")
{
    Fleet fleet({ .vms = 3, .targets = 4 });

    SUBCASE("a granted key works and a withdrawn one stops at every VM, on open connections too")
    {
        const auto granted = fleet.admin("POST", "/admin/v1/keys/beta");
        REQUIRE(granted.head.status() == 200);
        const std::string key = json::parse(granted.body)["key"];
        std::vector<std::unique_ptr<RawSocket>> open;
        for (std::size_t vm = 0; vm < 3; ++vm) {
            Fleet::waitFor("key works",
                           [&] { return statusOf(fleet.caller(vm), mainRequest(key)) == 200; });
            open.push_back(RawSocket::connect(fleet.caller(vm)));
            REQUIRE(open.back()->send(mainRequest(key)));
            CHECK(readResponse(*open.back())->head.status() == 200);
        }
        CHECK(fleet.admin("DELETE", "/admin/v1/keys/beta/" + sha256Hex(key), {}, 1).head.status()
              == 200);
        for (std::size_t vm = 0; vm < 3; ++vm) {
            Fleet::waitFor("key is refused", [&] {
                REQUIRE(open[vm]->send(mainRequest(key)));
                return readResponse(*open[vm])->head.status() == 401;
            });
            CHECK(statusOf(fleet.caller(vm), mainRequest(Fleet::betaKey)) == 200);
        }
    }

    SUBCASE("a VM that starts in a store outage gets the newest configuration from the others")
    {
        const json exception = { { "scope", "region" },
                                 { "of", "south" },
                                 { "setting", "drained" },
                                 { "value", 1 },
                                 { "reason", "power works" } };
        const auto edited = fleet.admin("PUT", "/admin/v1/exceptions/south", exception);
        CHECK(edited.head.status() == 200);
        const int version = json::parse(edited.body)["version"];
        Fleet::waitFor("edit is in force", [&] {
            return fleet.status(0)["configVersion"] == version
                   && fleet.status(1)["configVersion"] == version;
        });
        fleet.store().setFaults({ .outage = true });
        fleet.stopVm(2);
        fleet.startVm(2);
        Fleet::waitFor("configuration arrives",
                       [&] { return fleet.status(2).value("configVersion", 0) == version; });
        // The store is down for everyone: keys are still served.
        Fleet::waitFor("VM serves", [&] {
            return statusOf(fleet.caller(2), mainRequest(Fleet::alphaKey)) == 200;
        });
        std::this_thread::sleep_for(milliseconds(3000));
        CHECK(statusOf(fleet.caller(0), mainRequest(Fleet::alphaKey)) == 200);
        CHECK(fleet.admin("POST", "/admin/v1/keys/beta").head.status() == 503);
    }

    SUBCASE("a lost answer of the store is read back, and a conflicting edit learns what changed")
    {
        fleet.store().setFaults({ .loseAnswers = 1 });
        const auto lost = fleet.admin("PUT", "/admin/v1/organisations/delta");
        CHECK(lost.head.status() == 200);
        const json body = json::parse(lost.body);
        const auto stale = fleet.admin("PUT", "/admin/v1/organisations/epsilon?version=1");
        CHECK(stale.head.status() == 409);
        CHECK(json::parse(stale.body)["currentVersion"] == body["version"]);
        CHECK(fleet.admin("PUT", "/admin/v1/organisations/delta").head.status() == 422);
        CHECK(fleet.admin("DELETE", "/admin/v1/organisations/nobody").head.status() == 404);
        json noReason = {
            { "scope", "region" }, { "of", "south" }, { "setting", "drained" }, { "value", 1 }
        };
        const auto refused = fleet.admin("PUT", "/admin/v1/exceptions/x", noReason);
        CHECK(refused.head.status() == 422);
        CHECK(refused.body.find("reason") != std::string::npos);
    }

    SUBCASE("an exception ends at its time everywhere")
    {
        const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
        const json exception = { { "scope", "organisation" }, { "of", "alpha" },
                                 { "setting", "rate" },       { "value", 7 },
                                 { "reason", "a test" },      { "untilUnixSeconds", now + 3 } };
        CHECK(fleet.admin("PUT", "/admin/v1/exceptions/slow", exception).head.status() == 200);
        for (std::size_t vm = 0; vm < 3; ++vm)
            Fleet::waitFor("exception ends", [&] {
                const json state = fleet.status(vm);
                return state["configVersion"] > 1 && state["budgets"]["alpha"]["rate"] == 5000;
            });
    }

    SUBCASE("a request that crashes upstreams reaches at most three, through whichever VM it comes")
    {
        int reached = 0;
        for (int i = 0; i < 9; ++i) {
            const auto vm = static_cast<std::size_t>(i % 3);
            const std::uint64_t before = fleet.upstreamRuns();
            statusOf(fleet.caller(vm),
                     keyed("POST", "/main/crash?frame=none", Fleet::alphaKey, {}, "same body"));
            reached += static_cast<int>(fleet.upstreamRuns() - before);
            std::this_thread::sleep_for(milliseconds(150));
        }
        CHECK(reached <= 3);
        CHECK(reached >= 2);
        CHECK(statusOf(fleet.caller(0), keyed("POST", "/main/crash", Fleet::alphaKey, {}, "other"))
              == 200);
    }

    SUBCASE("leaving under load cuts nothing, and look-ups stop naming the VM first")
    {
        std::atomic<bool> stop{ false };
        std::atomic<int> answered{ 0 };
        std::atomic<int> broken{ 0 };
        std::vector<std::thread> callers;
        for (int i = 0; i < 4; ++i)
            callers.emplace_back([&] {
                while (!stop) {
                    // As callers do: ask which VM to use, then use it.
                    const auto known = entryNames(fleet.caller(0));
                    const std::size_t vm = names(known, "vm-1") ? 1 : 2;
                    const auto answer = fetch(fleet.caller(vm),
                                              keyed("GET", "/main?sleepMs=5", Fleet::alphaKey));
                    const bool whole = answer && answer->complete && answer->head.status() == 200;
                    ++(whole ? answered : broken);
                }
            });
        Fleet::waitFor("load runs", [&] { return answered > 100; });
        fleet.vm(1).requestLeave(false);
        Fleet::waitFor("look-ups leave the VM out",
                       [&] { return !names(entryNames(fleet.caller(0)), "vm-1"); });
        CHECK(!fleet.vm(1).ended());
        Fleet::waitFor("VM has left", [&] { return fleet.vm(1).ended(); });
        const int atLeave = answered;
        Fleet::waitFor("load goes on", [&] { return answered > atLeave + 50; });
        stop = true;
        for (std::thread &caller : callers)
            caller.join();
        CHECK(broken == 0);
    }
}

} // namespace basildeck::test

namespace basildeck::test {

TEST_CASE("an answer from another region comes whole over a capped link")
{
    Fleet fleet({ .vms = 1, .targets = 2, .targetRegion = "south", .linkBytesPerSecond = 20e6 });
    const auto answer
            = standin::fetch(fleet.caller(), keyed("GET", "/main?bytes=6000000", Fleet::alphaKey));
    REQUIRE(answer);
    CHECK(answer->head.status() == 200);
    CHECK(answer->complete);
    CHECK(answer->body.size() == 6'000'000);
    const std::string body(1'900'000, 'u');
    const auto upload
            = standin::fetch(fleet.caller(), keyed("PUT", "/main", Fleet::alphaKey, {}, body));
    REQUIRE(upload);
    CHECK(upload->body.find("\"received\":1900000") != std::string::npos);
    for (int i = 0; i < 20; ++i)
        CHECK(standin::fetch(fleet.caller(), keyed("GET", "/main", Fleet::alphaKey))->complete);
}

} // namespace basildeck::test
