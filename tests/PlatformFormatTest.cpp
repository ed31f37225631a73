#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

namespace basildeck::platform {

namespace {

using nlohmann::json;

json targetContent()
{
    return { { "service", "gauge" },
             { "address", "10.0.0.9:8080" },
             { "zone", "north-a" },
             { "version", "v1" },
             { "slots", 4 },
             { "state", "ready" },
             { "cold_remaining", "1.5s" },
             { "seq", 4 },
             { "born", 1700000000000 } };
}

std::string settingsText()
{
    return "node_name=vm-1\nregion=north\nzone=north-a\nip=10.1.0.1\n"
           "zones.north-a=north\nzones.south-a=south\nlisten.front=10.1.0.1:80\n"
           "listen.ready=10.1.0.1:81\nlisten.directory=10.1.0.1:82\n"
           "provider.address=10.2.0.1:90\ninternal_port_range=7560,7575\n"
           "limits.memory_mb=260\nunknown.field=1\n"
           "bounds=grace=5s,retry_budget_ratio=0.3,retry_budget_slack=64,ttl_max=2500ms\n";
}

Result<EdgeSettings> loadFromText(const std::string &text)
{
    const std::string file = "platform-settings-test.conf";
    std::ofstream(file) << text;
    auto settings = loadSettings(file);
    std::remove(file.c_str());
    return settings;
}

} // namespace

TEST_SUITE_BEGIN("platform format");

TEST_CASE("a registered target is parsed")
{
    const auto target = fleetObjectFormat().parseTarget({ "i-1", 7, targetContent() });
    REQUIRE(target);
    CHECK(target.value().id == "i-1");
    CHECK(target.value().address.port == 8080);
    CHECK(target.value().coldRemaining == milliseconds(1500));
    CHECK(target.value().startedAtUnixMs == 1700000000000);
    CHECK_FALSE(target.value().leaving);
}

TEST_CASE("an invalid target object is rejected with an error and no exception")
{
    const auto rejects = [](const json &content) {
        return !fleetObjectFormat().parseTarget({ "i-1", 7, content });
    };
    for (const char *field : { "service", "address", "zone", "slots", "state" }) {
        json without = targetContent();
        without.erase(field);
        CHECK(rejects(without));
        json other = targetContent();
        other[field] = json::array({ 1 });
        CHECK(rejects(other));
    }
    json state = targetContent();
    state["state"] = "dancing";
    CHECK(rejects(state));
    json cold = targetContent();
    cold["cold_remaining"] = "long";
    CHECK(rejects(cold));
    CHECK(rejects("text"));
    CHECK(rejects(nullptr));
    CHECK(rejects(json::array()));
}

TEST_CASE("a configuration of the platform is parsed")
{
    const json content = json::parse(R"({"version":"00000007","routes":[
        {"name":"r-1","host":"h.example","path_prefix":"/a/","type":"safe","timeout":"1200ms",
         "aim":"300ms","priority":2,"weighted_services":[{"service":"s1","weight":90},
         {"service":"s2","weight":10}],"attempts":2,"public":false,"affinity":true,
         "allowed_regions":["north"]},
        {"name":"r-2","host":"h.example","path_prefix":"/b/","type":"unsafe","timeout":"1.5s",
         "service":"s1","attempts":1,"public":true}],
      "services":[{"name":"s1","health_path":"/healthz","max_connections":390,"cold_start":"3s",
                   "cold_per_s":11.0}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms",
                "idle_timeout":"15000ms"},
      "tenants":[{"name":"t1","api_keys":["k1"],"priority":1,"rate_per_s":275,"burst":270}]})");
    const auto config = fleetObjectFormat().parseConfig({ "main", 9, content });
    REQUIRE(config);
    RoutingTable table(config.value(), 9);
    const Route *route = table.findRoute("h.example", "/a/b");
    REQUIRE(route != nullptr);
    CHECK(route->timeoutMs == 1200);
    CHECK(route->latencyObjectiveMs == 300);
    CHECK(route->idempotence == Idempotence::Always);
    CHECK(route->weightedServices.size() == 2);
    CHECK(table.findRoute("h.example", "/b/")->idempotence == Idempotence::Never);
    CHECK(table.findRoute("h.example", "/c/") == nullptr);
    CHECK(table.findRoute("other.example", "/a/") == nullptr);
    REQUIRE(table.findOrganisation("k1") != nullptr);
    CHECK(table.findOrganisation("k1")->rate == 275);
    CHECK(table.findOrganisation("k2") == nullptr);
    CHECK(table.config().limits.idleTimeout == milliseconds(15000));
    CHECK_FALSE(fleetObjectFormat().parseConfig({ "main", 9, json::object() }));
}

TEST_CASE("pages of objects and changes are parsed")
{
    const auto page = objectProtocol().parsePage(
            R"({"items":[{"metadata":{"name":"n","revision":5},"spec":{"a":1}}],"more":true,
                "store_revision":9})");
    REQUIRE(page);
    CHECK(page.value().hasMore);
    CHECK(page.value().storeRevision == 9);
    CHECK(page.value().objects.front().revision == 5);
    const auto changes = objectProtocol().parseChanges(
            R"({"events":[{"deleted":true,"object":{"metadata":{"name":"n","revision":6},
                "spec":null}}],"store_revision":10})");
    REQUIRE(changes);
    CHECK(changes.value().changes.front().deleted);
    CHECK_FALSE(objectProtocol().parsePage("<html>"));
    CHECK_FALSE(objectProtocol().parseChanges("{}"));
    CHECK(objectProtocol().listPath("servers", "i-1") == "/api/objects/servers?after=i-1");
    CHECK(objectProtocol().listPath("servers", "i 1&a=+#%\r\n")
          == "/api/objects/servers?after=i%201%26a%3D%2B%23%25%0D%0A");
    CHECK(objectProtocol().objectPath("nodes", "vm 1?a/b%41\xc3\xa9")
          == "/api/objects/nodes/vm%201%3Fa%2Fb%2541%C3%A9");
    CHECK(objectProtocol().watchPath("config", 7, milliseconds(50))
          == "/api/objects/config?watch=7&wait_ms=50");
}

TEST_CASE("lookup requests are parsed and responses formatted")
{
    const auto query = lookupFormat().parseLookup("/api/resolve?name=h&region=north&zone=n1");
    REQUIRE(query);
    CHECK(query->host == "h");
    CHECK(query->region == "north");
    CHECK(query->zone == "n1");
    CHECK_FALSE(lookupFormat().parseLookup("/api/other"));
    CHECK(lookupFormat().formatLookupResponse({ "10.0.0.1:80" }, seconds(2))
          == R"({"addresses":["10.0.0.1:80"],"ttl":"2000ms"})");
}

TEST_CASE("settings are loaded, and errors name the field")
{
    const auto settings = loadFromText(settingsText());
    REQUIRE(settings);
    CHECK(settings.value().zoneRegions.at("south-a") == "south");
    CHECK(settings.value().bounds.shutdownGrace == seconds(5));
    CHECK(settings.value().bounds.retryRatio == 0.3);
    CHECK(settings.value().bounds.maxLookupTtl == milliseconds(2500));
    CHECK(settings.value().relayAddress().port == 7561);
    for (const std::string field :
         { "node_name", "zone", "listen.front", "provider.address", "internal_port_range" }) {
        std::string text = settingsText();
        text.replace(text.find(field + "="), field.size() + 1, "x=");
        const auto invalid = loadFromText(text);
        REQUIRE_FALSE(invalid);
        CHECK(invalid.error().detail.find(field) != std::string::npos);
    }
    CHECK_FALSE(parseDuration("5"));
    CHECK_FALSE(parseDuration("ms"));
    CHECK(parseDuration("2.5s").value() == milliseconds(2500));
}

TEST_CASE("statuses that imply that a request has not run are used only for such refusals")
{
    for (std::size_t i = 0; i < errorKindCount; ++i) {
        const auto kind = static_cast<ErrorKind>(i);
        const int status = wireNames().refusalStatus(kind);
        const bool impliesNotRun = status == 429 || status == 503 || status == 408 || status == 421;
        if (impliesNotRun && kind != ErrorKind::StoreAnswerLost)
            CHECK(errorResponse(kind).run == RunState::NotRun);
    }
}

TEST_SUITE_END();

} // namespace basildeck::platform
