#include "soak/SoakOperator.h"

#include "soak/SoakCallers.h"
#include "soak/SoakTargets.h"

#include <array>
#include <cstdio>

namespace basildeck::soak {

using nlohmann::json;

namespace {

// The platform writes versions as eight hexadecimal digits.
std::string versionText(int version)
{
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
    return text.data();
}

json makeRoute(const std::string &prefix, const std::string &type, const std::string &service,
               const std::string &timeout)
{
    return json{ { "name", prefix },        { "host", "soak.example" },
                 { "path_prefix", prefix }, { "type", type },
                 { "timeout", timeout },    { "aim", "1000ms" },
                 { "priority", 1 },         { "service", service },
                 { "attempts", 2 },         { "public", false },
                 { "affinity", true },      { "allowed_regions", json::array() } };
}

} // namespace

std::string SoakOperator::versionPrefix(int version)
{
    return "/version-" + std::to_string(version) + "/";
}

void SoakOperator::updateConfig()
{
    ++m_version;
    writeConfig();
    m_acknowledgements[m_version] = m_loop.now();
}

void SoakOperator::writeConfig()
{
    const std::string longService(SoakTargets::longService);
    json routes = { makeRoute("/safe/", "safe", "svc", "1500ms"),
                    makeRoute("/unsafe/", "unsafe", "svc", "1500ms"),
                    makeRoute("/long/", "safe", longService, "8000ms"),
                    makeRoute("/upload/", "unsafe", longService, "8000ms") };
    for (int version = 1; version <= m_version; ++version)
        routes.push_back(makeRoute(versionPrefix(version), "safe", "svc", "1500ms"));
    json tenants = json::array();
    for (const auto &[key, name] : SoakCallers::organisationsByKey()) {
        const bool isLimited = name == "limited";
        tenants.push_back({ { "name", name },
                            { "api_keys", { key } },
                            { "rate_per_s", isLimited ? SoakCallers::limitedRate : 0 },
                            { "burst", isLimited ? SoakCallers::limitedBurst : 0 } });
    }
    m_store.put("config", "main",
                { { "version", versionText(m_version) },
                  { "routes", routes },
                  { "services",
                    { { { "name", "svc" }, { "max_connections", 390 } },
                      { { "name", longService }, { "max_connections", 390 } } } },
                  { "limits",
                    { { "max_header_bytes", 16384 },
                      { "max_body_bytes", 1000000 },
                      { "header_timeout", "3000ms" },
                      { "idle_timeout", "15000ms" } } },
                  { "tenants", tenants } });
}

void SoakOperator::evacuate(const std::string &zone)
{
    m_isEvacuated[zone] = true;
    m_store.put("evacuations", zone, json::object());
}

void SoakOperator::endEvacuation(const std::string &zone)
{
    m_isEvacuated[zone] = false;
    m_store.remove("evacuations", zone);
}

void SoakOperator::writeAgain()
{
    writeConfig();
    for (auto &[version, time] : m_acknowledgements)
        time = m_loop.now();
    const auto zones = m_isEvacuated;
    for (const auto &[zone, isEvacuated] : zones)
        isEvacuated ? evacuate(zone) : endEvacuation(zone);
}

} // namespace basildeck::soak
