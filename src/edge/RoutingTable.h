#pragma once

#include "config/FleetConfig.h"
#include "decide/WeightedRoundRobin.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace basildeck {

// A configuration in force, indexed for requests.
class RoutingTable
{
public:
    RoutingTable(FleetConfig config, std::uint64_t revision);

    // The route with the longest prefix of a path among those of the host; null if none fits.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    // Null if the key is unknown.
    const Organisation *findOrganisation(std::string_view key) const;
    const Service *findService(const std::string &name) const;
    // The service for the next request on a route.
    const std::string &chooseService(const Route &route);

    bool needsKeys() const { return !m_config.organisations.empty(); }
    const FleetConfig &config() const { return m_config; }
    // Revision of the store's object.
    std::uint64_t revision() const { return m_revision; }

private:
    FleetConfig m_config;
    std::uint64_t m_revision;
    std::map<std::string, std::vector<const Route *>, std::less<>> m_routesByHost; // longest first
    std::unordered_map<std::string, const Organisation *> m_organisationsByKeyHash;
    std::unordered_map<std::string, const Service *> m_services;
    std::unordered_map<const Route *, WeightedRoundRobin> m_splits;
};

} // namespace basildeck
