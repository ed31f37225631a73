#pragma once

#include "config/FleetConfig.h"
#include "core/Members.h"
#include "decide/CidrTable.h"
#include "http/HttpMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basildeck {

// Responses to lookups of entry VMs. They are rendered when the configuration or the members
// change, so that a lookup only selects one.
class LookupResponseCache
{
public:
    // Each variant lists equally suitable VMs in a different order. Lookups use the variants in
    // rotation to spread callers over these VMs.
    static constexpr std::size_t variantsPerRegion = 16;
    static constexpr std::size_t entriesPerResponse = 4;

    explicit LookupResponseCache(std::string ownRegion)
        : m_ownRegion(std::move(ownRegion))
    {}

    void setConfig(std::uint64_t version, const FleetConfig &config);
    void setMembers(const MemberList &members);

    // Returns the response for a client address.
    const HttpResponse &responseFor(const std::string &clientIp);
    // Returns the region of a client address, or the own region if no block contains the address.
    const std::string &regionForAddress(const std::string &clientIp) const;
    // Returns the entry VMs in the first variant of a region's response, for the explain request.
    std::vector<Member> entriesForRegion(const std::string &region) const;

private:
    void render();

    std::string m_ownRegion;
    std::uint64_t m_version = 0;
    int m_maxAgeSeconds = 1;
    MemberList m_members;
    std::vector<std::string> m_drainedRegions;
    std::vector<std::string> m_regions;
    CidrTable m_clientBlocks = CidrTable::make({});
    std::map<std::string, std::vector<HttpResponse>> m_responses; // by region
    std::size_t m_nextVariant = 0;
};

} // namespace basildeck
