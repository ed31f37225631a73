#include "config/FleetConfig.h"
#include "config/Settings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

using namespace basildeck;
using nlohmann::json;

namespace {

json sampleConfig(const char *deployment)
{
    std::ifstream stream(std::string(BASILDECK_RESOURCES) + "/" + deployment + "/fleet.json");
    return json::parse(stream);
}

// Returns the error from parsing a sample configuration after a modification, or an empty string.
std::string parseErrorAfter(const std::function<void(json &)> &modify)
{
    json document = sampleConfig("authority");
    modify(document);
    const auto parsed = FleetConfig::parse(document, 1000);
    return parsed ? "" : parsed.error().detail;
}

// Returns the error from loading the sample settings with one text replaced, or an empty string.
std::string settingsError(const std::string &from, const std::string &to)
{
    std::ifstream stream(std::string(BASILDECK_RESOURCES) + "/authority/khomas-1.ini");
    std::stringstream text;
    text << stream.rdbuf();
    std::string content = text.str();
    const auto found = content.find(from);
    REQUIRE(found != std::string::npos);
    content.replace(found, from.size(), to);
    const std::string token = std::string(BASILDECK_RESOURCES) + "/operator-token";
    const std::string relative = "resources/operator-token";
    if (const auto path = content.find(relative); path != std::string::npos)
        content.replace(path, relative.size(), token);
    const auto file = std::filesystem::temp_directory_path()
                      / ("basildeck-settings-" + std::to_string(::getpid()) + ".ini");
    std::ofstream(file) << content;
    const auto settings = Settings::load(file.string());
    std::filesystem::remove(file);
    return settings ? "" : settings.error().detail;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the sample configurations are valid, and their exceptions apply")
{
    CHECK(FleetConfig::parse(sampleConfig("dobrogea"), 1000));
    const auto config = FleetConfig::parse(sampleConfig("authority"), 1000);
    REQUIRE(config);
    CHECK(config.value().organisations[0].rate == 800);
    CHECK(config.value().organisations[1].rate == 200);
    CHECK(config.value().services[0].targets.size() == 24);
}

TEST_CASE("an invalid configuration is rejected with object, field and reason")
{
    const auto exception = [](json &document) -> json & { return document["exceptions"][0]; };
    CHECK(parseErrorAfter([](json &) {}).empty());
    CHECK(contains(parseErrorAfter([&](json &d) { exception(d).erase("reason"); }),
                   "exceptions[0] \"large-customer\".reason: is missing or empty"));
    CHECK(contains(parseErrorAfter([&](json &d) { exception(d)["reason"] = "  "; }), "is blank"));
    CHECK(contains(parseErrorAfter([&](json &d) { exception(d)["of"] = "nobody"; }),
                   "organisation \"nobody\" does not exist"));
    CHECK(contains(parseErrorAfter([&](json &d) { exception(d)["setting"] = "speed"; }),
                   "setting \"speed\" does not exist"));
    CHECK(contains(parseErrorAfter([&](json &d) { exception(d)["scope"] = "planet"; }),
                   "\"planet\" is not one of the valid values"));
    CHECK(contains(parseErrorAfter([](json &d) { d["colour"] = 1; }), "colour: unknown field"));
    CHECK(contains(parseErrorAfter([](json &d) { d["routes"][0]["servise"] = "live"; }),
                   "routes[0] \"levels\".servise: unknown field"));
    CHECK(contains(parseErrorAfter([](json &d) { d["routes"][0]["service"] = "gone"; }),
                   "service \"gone\" does not exist"));
    CHECK(contains(parseErrorAfter([](json &d) { d["routes"][0]["pathPrefix"] = "levels"; }),
                   "does not start with"));
    CHECK(contains(parseErrorAfter([](json &d) { d["defaults"]["retryPercent"] = 101; }),
                   "101.0 is not between 0.0 and 100.0"));
    CHECK(contains(
            parseErrorAfter([](json &d) { d["services"][0]["targets"][0]["zone"] = "moon"; }),
            "zone \"moon\" does not exist in region \"khomas\""));
    CHECK(contains(parseErrorAfter([](json &d) { d["organisations"][1] = d["organisations"][0]; }),
                   "is not unique"));
    CHECK(contains(parseErrorAfter([](json &d) { d["blocks"][0]["block"] = "127.1.0.1/16"; }),
                   "is not an address block"));
    CHECK(contains(parseErrorAfter([](json &d) { d.erase("defaults"); }),
                   "organisationRate: is missing"));
    CHECK(contains(FleetConfig::parse(std::string_view("{"), 0).error().detail, "is not JSON"));
}

TEST_CASE("an exception expires at its time")
{
    json document = sampleConfig("authority");
    document["exceptions"][0]["untilUnixSeconds"] = 2000;
    CHECK(FleetConfig::parse(document, 1999).value().organisations[0].rate == 800);
    CHECK(FleetConfig::parse(document, 2000).value().organisations[0].rate == 200);
    CHECK(*FleetConfig::parse(document, 1999).value().nextExceptionExpiry(1999) == 2000);
}

TEST_CASE("the longest prefix of whole segments matches, a named host before any host")
{
    FleetConfig config;
    config.routes = {
        { "all", "", "/" }, { "a", "", "/a" }, { "ab", "", "/a/b" }, { "host", "x.example", "/a" }
    };
    CHECK(findRoute(config, "h", "/a")->name == "a");
    CHECK(findRoute(config, "h", "/a/c")->name == "a");
    CHECK(findRoute(config, "h", "/a/b/c")->name == "ab");
    CHECK(findRoute(config, "h", "/ab")->name == "all");
    CHECK(findRoute(config, "x.example:80", "/a/c")->name == "host");
}

TEST_CASE("invalid settings are rejected with file, section, key and reason")
{
    CHECK(settingsError("name = khomas-1", "name = khomas-1").empty());
    CHECK(contains(settingsError("name = khomas-1", ""), "[vm] name: is missing"));
    CHECK(contains(settingsError("zone =", "zome ="), "[vm]"));
    CHECK(contains(settingsError("[limits]", "[limits]\ncolour = red"),
                   "[limits] colour: unknown key"));
    CHECK(contains(settingsError("[limits]", "[colours]\nx = 1\n[limits]"), "unknown section"));
    CHECK(contains(settingsError("max-body-mib = 64", "max-body-mib = 0"),
                   "[limits] max-body-mib: 0 is not between 1 and 16384"));
    CHECK(contains(settingsError("max-body-mib = 64", "max-body-mib = many"),
                   "is not a whole number"));
    CHECK(contains(settingsError("caller = 127.0.0.1:7101", "caller = localhost:1"),
                   "does not start with an IPv4 address"));
    CHECK(contains(settingsError("name = khomas-1", "name = a\nname = b"), "duplicate key"));
    CHECK(contains(Settings::load("/nonexistent.ini").error().detail, "/nonexistent.ini"));
}
