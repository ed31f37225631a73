#include "standin/StoreStandin.h"

#include "standin/RawSocket.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace basildeck::test {

using nlohmann::json;
using standin::StoreStandin;

namespace {

// A store stand-in on a port of its own.
struct RunningStore
{
    RunningStore()
        : address{ "127.0.0.1", standin::freePort() }
        , store(StoreStandin::make(address))
    {
        REQUIRE(store);
        store->start();
    }

    standin::RawResponse call(const std::string &method, const std::string &path,
                              const std::string &body = "") const
    {
        const auto response = standin::fetch(address, standin::makeRequest(method, path, {}, body));
        REQUIRE(response);
        return *response;
    }

    std::uint64_t version(const std::string &name) const
    {
        const auto response = call("GET", "/v1/objects/fleet/" + name);
        return response.head.status() == 200 ? json::parse(response.body).value("version", 0u) : 0;
    }

    Address address;
    std::unique_ptr<StoreStandin> store;
};

std::string era(const standin::RawResponse &response)
{
    return std::string(response.head.header(StoreStandin::eraHeader));
}

} // namespace

TEST_CASE(
        "the store stand-in comes back from a copy with a higher era and gives versions out again")
{
    const RunningStore running;
    CHECK(running.call("PUT", "/restore").head.status() == 409);
    CHECK(running.call("PUT", "/v1/objects/fleet/kept?version=0", "1").head.status() == 200);
    CHECK(running.call("PUT", "/copy").head.status() == 200);
    CHECK(running.call("PUT", "/v1/objects/fleet/kept?version=1", "2").head.status() == 200);
    CHECK(running.call("PUT", "/v1/objects/fleet/lost?version=0", "3").head.status() == 200);
    CHECK(era(running.call("GET", "/v1/objects/fleet/kept")) == "1");

    CHECK(running.call("PUT", "/restore").head.status() == 200);
    const auto kept = running.call("GET", "/v1/objects/fleet/kept");
    CHECK(era(kept) == "2");
    CHECK(json::parse(kept.body)["value"] == 1);
    CHECK(json::parse(kept.body)["version"] == 1);
    CHECK(running.version("lost") == 0);

    SUBCASE("a condition on a lost version fails, and the next write has a version given out "
            "before")
    {
        const auto conflict = running.call("PUT", "/v1/objects/fleet/kept?version=2", "4");
        CHECK(conflict.head.status() == 409);
        CHECK(era(conflict) == "2");
        const auto written = running.call("PUT", "/v1/objects/fleet/kept?version=1", "4");
        CHECK(json::parse(written.body)["version"] == 2);
    }

    SUBCASE("a watch from a lost version is answered at once with 410 and the era")
    {
        const auto gone = running.call("GET", "/v1/watch/fleet?from=3&waitMs=60000");
        CHECK(gone.head.status() == 410);
        CHECK(era(gone) == "2");
        const auto fromKnown = running.call("GET", "/v1/watch/fleet?from=0&waitMs=60000");
        CHECK(fromKnown.head.status() == 200);
        CHECK(json::parse(fromKnown.body)["version"] == 1);
    }

    SUBCASE("the copy can be used again, and the era rises each time")
    {
        CHECK(running.call("PUT", "/v1/objects/fleet/kept?version=1", "5").head.status() == 200);
        CHECK(running.store->restoreObjects());
        CHECK(running.version("kept") == 1);
        CHECK(era(running.call("GET", "/v1/vms")) == "3");
    }
}

} // namespace basildeck::test
