#include "TestFleet.h"

#include "core/Hash.h"

#include <doctest/doctest.h>

#include <thread>

namespace basildeck::test {

using nlohmann::json;
using standin::RawResponse;

namespace {

constexpr Duration waitTimeout = seconds(15);
constexpr milliseconds pollInterval{ 10 };

Address freeAddress()
{
    return { "127.0.0.1", standin::freePort() };
}

} // namespace

std::string makeAuthorizedRequest(const std::string &method, const std::string &path,
                                  const std::string &key, std::vector<HttpHeader> headers,
                                  const std::string &body)
{
    headers.push_back({ "Authorization", "Bearer " + key });
    return standin::makeRequest(method, path, headers, body);
}

TestFleet::TestFleet(const Options &options)
{
    m_storeAddress = freeAddress();
    m_store = standin::StoreStandin::make(m_storeAddress);
    REQUIRE(m_store);
    m_store->start();
    for (int i = 0; i < options.targets; ++i)
        m_upstreams.push_back(standin::UpstreamStandin::make(
                { "target-" + std::to_string(i), "127.0.0.1", 0, options.slots }));
    const auto put = standin::fetch(
            m_storeAddress, standin::makeRequest("PUT", "/v1/objects/fleet/config?version=0", {},
                                                 config(options).dump()));
    REQUIRE(put);
    REQUIRE(put->head.status() == 200);
    for (int i = 0; i < options.vms; ++i) {
        Settings settings;
        settings.vmName = "vm-" + std::to_string(i);
        settings.region = "north";
        settings.zone = i % 2 == 0 ? "north-a" : "north-b";
        settings.callerAddress = freeAddress();
        settings.operatorAddress = freeAddress();
        settings.peerAddress = freeAddress();
        settings.storeAddresses = { m_storeAddress };
        settings.storeRegion = "north";
        settings.operatorToken = token;
        settings.maxBodyBytes = options.maxBodyBytes;
        settings.maxHeaderBytes = 8192;
        settings.maxConnections = 1024;
        settings.headTimeout = seconds(2);
        settings.leaveGrace = milliseconds(100);
        settings.seedPeers = { i == 0 ? settings.peerAddress : m_settings[0].peerAddress };
        m_settings.push_back(settings);
    }
    m_vms.resize(m_settings.size());
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        startVm(i);
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        waitFor("VM is ready", [&] {
            const auto response
                    = standin::fetch(operatorAddress(i), standin::makeRequest("GET", "/readyz"));
            return response && response->head.status() == 200;
        });
    waitFor("every VM is in the acknowledged holder table", [&] {
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            const json state = status(i);
            if (state["holderTable"]["holders"].size() != m_vms.size()
                || state["holderTable"]["acknowledged"] != state["holderTable"]["version"])
                return false;
        }
        return true;
    });
}

TestFleet::~TestFleet()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i)
        stopVm(i);
}

json TestFleet::config(const Options &options) const
{
    json targets = json::array();
    for (int i = 0; i < options.targets; ++i)
        targets.push_back(
                { { "name", "target-" + std::to_string(i) },
                  { "address", m_upstreams[static_cast<std::size_t>(i)]->address().toString() },
                  { "region", options.targetRegion },
                  { "zone", options.targetRegion == "south" ? "south-a"
                            : i % 2 == 0                    ? "north-a"
                                                            : "north-b" } });
    const json unreachableTarget = { { "name", "nobody" },
                                     { "address", freeAddress().toString() },
                                     { "region", "north" },
                                     { "zone", "north-a" } };
    const auto organisation = [](const char *name, const char *key) {
        return json({ { "name", name }, { "keyHashes", { sha256Hex(key) } } });
    };
    const auto route = [](const char *path, const char *service, const json &more) {
        json entry = { { "name", path + 1 }, { "pathPrefix", path }, { "service", service } };
        entry.update(more);
        return entry;
    };
    const auto exception = [](const char *name, const char *scope, const char *of,
                              const char *setting, double value) {
        return json({ { "name", name },
                      { "scope", scope },
                      { "of", of },
                      { "setting", setting },
                      { "value", value },
                      { "reason", "test" } });
    };
    return { { "defaults",
               { { "organisationRate", 5000 },
                 { "organisationBurst", 5000 },
                 { "slotsPerTarget", options.slots },
                 { "requestTimeoutMs", 10'000 },
                 { "answerMaxAgeSeconds", 1 },
                 { "retryPercent", 10 },
                 { "claimRetentionSeconds", 600 } } },
             { "regions",
               { { { "name", "north" }, { "zones", { "north-a", "north-b" } } },
                 { { "name", "south" }, { "zones", { "south-a" } } } } },
             { "links",
               { { { "from", "north" },
                   { "to", "south" },
                   { "bytesPerSecond", options.linkBytesPerSecond } },
                 { { "from", "south" },
                   { "to", "north" },
                   { "bytesPerSecond", options.linkBytesPerSecond } } } },
             { "organisations",
               { organisation("alpha", alphaKey), organisation("beta", betaKey),
                 organisation("small", smallKey) } },
             { "services",
               { { { "name", "main" }, { "targets", targets } },
                 { { "name", "dead" }, { "targets", { unreachableTarget } } },
                 { { "name", "none" }, { "targets", json::array() } } } },
             { "routes",
               { route("/main", "main", json::object()),
                 route("/once", "main", { { "idempotence", "never" } }),
                 route("/open", "main", { { "open", true } }),
                 route("/limited", "main", { { "organisations", { "alpha" } } }),
                 route("/short", "main", json::object()), route("/dead", "dead", json::object()),
                 route("/none", "none", json::object()) } },
             { "blocks", { { { "block", "127.9.0.0/16" }, { "region", "south" } } } },
             { "exceptions",
               { exception("short", "route", "short", "timeoutMs", 300),
                 exception("small-rate", "organisation", "small", "rate", 0.001),
                 exception("small-burst", "organisation", "small", "burst", 1) } } };
}

void TestFleet::startVm(std::size_t index)
{
    auto process = EntryProcess::make(m_settings[index]);
    REQUIRE_MESSAGE(process, (process ? "" : process.error().detail));
    m_vms[index] = std::move(process.value());
    m_vms[index]->start();
}

void TestFleet::stopVm(std::size_t index)
{
    if (!m_vms[index])
        return;
    m_vms[index]->requestLeave(true);
    m_vms[index]->join();
    m_vms[index].reset();
}

std::uint64_t TestFleet::upstreamRunCount() const
{
    std::uint64_t sum = 0;
    for (const auto &upstream : m_upstreams)
        sum += upstream->counts().runs;
    return sum;
}

std::uint64_t TestFleet::upstreamKeysSeen() const
{
    std::uint64_t sum = 0;
    for (const auto &upstream : m_upstreams)
        sum += upstream->counts().keysSeen;
    return sum;
}

RawResponse TestFleet::adminRequest(const std::string &method, const std::string &path,
                                    const json &body, std::size_t vm)
{
    const auto response = standin::fetch(
            operatorAddress(vm),
            standin::makeRequest(method, path,
                                 { { "Authorization", std::string("Bearer ") + token } },
                                 body.is_null() ? "" : body.dump()));
    REQUIRE(response);
    return *response;
}

json TestFleet::status(std::size_t vm)
{
    const auto response
            = standin::fetch(operatorAddress(vm), standin::makeRequest("GET", "/status"));
    return response ? json::parse(response->body, nullptr, false) : json();
}

std::string TestFleet::metrics(std::size_t vm)
{
    const auto response
            = standin::fetch(operatorAddress(vm), standin::makeRequest("GET", "/metrics"));
    REQUIRE(response);
    return response->body;
}

void TestFleet::waitFor(const std::string &what, const std::function<bool()> &condition)
{
    const Time end = Clock::now() + waitTimeout;
    while (Clock::now() < end) {
        if (condition())
            return;
        std::this_thread::sleep_for(pollInterval);
    }
    FAIL("timed out waiting for: " << what);
}

TestFleet &TestFleet::shared()
{
    static TestFleet fleet({});
    return fleet;
}

} // namespace basildeck::test
