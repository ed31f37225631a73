#include "edge/RoutingTable.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

namespace {

WeightedRoundRobin makeRoundRobin(const Route &route)
{
    std::vector<double> weights;
    for (const WeightedService &weighted : route.weightedServices)
        weights.push_back(weighted.weight);
    return WeightedRoundRobin(std::move(weights));
}

} // namespace

RoutingTable::RoutingTable(FleetConfig config, std::uint64_t revision)
    : m_config(std::move(config))
    , m_revision(revision)
{
    for (const Route &route : m_config.routes) {
        m_routesByHost[route.host].push_back(&route);
        if (!route.weightedServices.empty())
            m_roundRobins.emplace(&route, makeRoundRobin(route));
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const Organisation &organisation : m_config.organisations) {
        for (const std::string &hash : organisation.keyHashes)
            m_organisationsByKeyHash[hash] = &organisation;
    }
    for (const Service &service : m_config.services)
        m_services[service.name] = &service;
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(host);
    if (routes == m_routesByHost.end())
        return nullptr;
    const auto found
            = std::find_if(routes->second.begin(), routes->second.end(),
                           [&](const Route *r) { return path.starts_with(r->pathPrefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const Organisation *RoutingTable::findOrganisation(std::string_view key) const
{
    const auto found = m_organisationsByKeyHash.find(sha256Hex(key));
    return found == m_organisationsByKeyHash.end() ? nullptr : found->second;
}

const Service *RoutingTable::findService(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const std::string &RoutingTable::chooseService(const Route &route)
{
    const auto roundRobin = m_roundRobins.find(&route);
    if (roundRobin == m_roundRobins.end())
        return route.service;
    return route.weightedServices[roundRobin->second.next()].service;
}

} // namespace basildeck
