#include "BenchFleet.h"

#include "core/Hash.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace basildeck::bench {

using nlohmann::json;

namespace {

constexpr const char *key = "bench-key-0123456789";
constexpr milliseconds readinessPollInterval{ 50 };

} // namespace

BenchFleet::BenchFleet(int vms, int targets)
{
    const Address storeAddress{ "127.0.0.1", standin::freePort() };
    m_store = standin::StoreStandin::make(storeAddress);
    m_store->start();
    json targetList = json::array();
    for (int i = 0; i < targets; ++i) {
        m_upstreams.push_back(standin::UpstreamStandin::make(
                { "target-" + std::to_string(i), "127.0.0.1", 0, 0 }));
        targetList.push_back({ { "name", "target-" + std::to_string(i) },
                               { "address", m_upstreams.back()->address().toString() },
                               { "region", "north" },
                               { "zone", "north-a" } });
    }
    const json config = {
        { "defaults",
          { { "organisationRate", 100'000 },
            { "organisationBurst", 100'000 },
            { "slotsPerTarget", 4 },
            { "requestTimeoutMs", 60'000 },
            { "answerMaxAgeSeconds", 1 },
            { "retryPercent", 10 },
            { "claimRetentionSeconds", 600 } } },
        { "regions", { { { "name", "north" }, { "zones", { "north-a" } } } } },
        { "organisations", { { { "name", "bench" }, { "keyHashes", { sha256Hex(key) } } } } },
        { "services", { { { "name", "main" }, { "targets", targetList } } } },
        { "routes", { { { "name", "main" }, { "pathPrefix", "/main" }, { "service", "main" } } } }
    };
    standin::fetch(storeAddress, standin::makeRequest("PUT", "/v1/objects/fleet/config?version=0",
                                                      {}, config.dump()));
    for (int i = 0; i < vms; ++i) {
        Settings settings;
        settings.vmName = "vm-" + std::to_string(i);
        settings.region = "north";
        settings.zone = "north-a";
        settings.callerAddress = { "127.0.0.1", standin::freePort() };
        settings.operatorAddress = { "127.0.0.1", standin::freePort() };
        settings.peerAddress = { "127.0.0.1", standin::freePort() };
        settings.storeAddresses = { storeAddress };
        settings.storeRegion = "north";
        settings.operatorToken = "token";
        settings.maxBodyBytes = 2'000'000'000;
        settings.maxHeaderBytes = 8192;
        settings.maxConnections = 4096;
        settings.headTimeout = seconds(5);
        settings.leaveGrace = milliseconds(0);
        settings.seedPeers = { i == 0 ? settings.peerAddress : m_settings[0].peerAddress };
        m_settings.push_back(settings);
        auto process = EntryProcess::make(settings);
        if (!process) {
            std::cerr << process.error().detail << '\n';
            std::exit(1);
        }
        m_vms.push_back(std::move(process.value()));
        m_vms.back()->start();
    }
    for (const Settings &settings : m_settings) {
        while (true) {
            const auto response = standin::fetch(settings.operatorAddress,
                                                 standin::makeRequest("GET", "/readyz"));
            if (response && response->head.status() == 200)
                break;
            std::this_thread::sleep_for(readinessPollInterval);
        }
    }
}

BenchFleet::~BenchFleet()
{
    for (const auto &vm : m_vms)
        vm->requestLeave(true);
    for (const auto &vm : m_vms)
        vm->join();
}

std::string BenchFleet::request(const std::string &method, const std::string &path) const
{
    return standin::makeRequest(method, path,
                                { { "Authorization", std::string("Bearer ") + key } });
}

} // namespace basildeck::bench
