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

// A fleet configuration, indexed for request lookups.
class RoutingTable
{
public:
    RoutingTable(FleetConfig config, std::uint64_t revision);

    // Returns the route of a host with the longest matching path prefix, or null.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    // Returns null if the key is unknown.
    const Organisation *findOrganisation(std::string_view key) const;
    const Service *findService(const std::string &name) const;
    // Returns the service for the next request on a route, according to the weights of the route.
    const std::string &chooseService(const Route &route);

    bool requiresApiKeys() const { return !m_config.organisations.empty(); }
    const FleetConfig &config() const { return m_config; }
    // The store revision of the configuration object.
    std::uint64_t revision() const { return m_revision; }

private:
    FleetConfig m_config;
    std::uint64_t m_revision;
    std::map<std::string, std::vector<const Route *>, std::less<>> m_routesByHost; // longest first
    std::unordered_map<std::string, const Organisation *> m_organisationsByKeyHash;
    std::unordered_map<std::string, const Service *> m_services;
    std::unordered_map<const Route *, WeightedRoundRobin> m_roundRobins;
};

} // namespace basildeck
