#include "http/LookupResponseCache.h"

#include "decide/EntryVmRanking.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basildeck {

using nlohmann::json;

namespace {

// Returns whether two states of a member result in the same lookup responses.
bool renderEqually(const Member &a, const Member &b)
{
    return a.vm == b.vm && a.state == b.state && a.callerAddress == b.callerAddress
           && a.zone == b.zone
           && a.loadPermille / loadBucketPermille == b.loadPermille / loadBucketPermille;
}

} // namespace

void LookupResponseCache::setConfig(std::uint64_t version, const FleetConfig &config)
{
    m_version = version;
    m_maxAgeSeconds = config.defaults.answerMaxAgeSeconds;
    m_drainedRegions.clear();
    m_regions.clear();
    for (const Region &region : config.regions) {
        m_regions.push_back(region.name);
        if (region.drained)
            m_drainedRegions.push_back(region.name);
    }
    std::vector<CidrTable::Entry> entries;
    for (const ClientBlock &block : config.blocks) {
        const auto region = std::find(m_regions.begin(), m_regions.end(), block.region);
        if (const auto parsed = parseCidrBlock(block.block); parsed && region != m_regions.end())
            entries.push_back(
                    { *parsed, static_cast<CidrTable::Value>(region - m_regions.begin()) });
    }
    m_clientBlocks = CidrTable::make(std::move(entries));
    render();
}

void LookupResponseCache::setMembers(const MemberList &members)
{
    const bool unchanged = std::equal(members.begin(), members.end(), m_members.begin(),
                                      m_members.end(), renderEqually);
    m_members = members;
    if (!unchanged)
        render();
}

std::vector<Member> LookupResponseCache::entriesForRegion(const std::string &region) const
{
    return rankEntryVms(m_members, region, m_drainedRegions, 0, entriesPerResponse);
}

void LookupResponseCache::render()
{
    std::vector<std::string> regions = m_regions;
    if (std::find(regions.begin(), regions.end(), m_ownRegion) == regions.end())
        regions.push_back(m_ownRegion);
    m_responses.clear();
    for (const std::string &region : regions) {
        for (std::size_t variant = 0; variant < variantsPerRegion; ++variant) {
            json entries = json::array();
            for (const Member &member :
                 rankEntryVms(m_members, region, m_drainedRegions, variant, entriesPerResponse))
                entries.push_back({ { "vm", member.vm },
                                    { "address", member.callerAddress.toString() },
                                    { "region", member.region },
                                    { "zone", member.zone } });
            HttpResponse response;
            response.headers.push_back(
                    { "cache-control", "max-age=" + std::to_string(m_maxAgeSeconds) });
            response.body = json({ { "version", m_version }, { "entries", entries } }).dump();
            m_responses[region].push_back(std::move(response));
        }
    }
}

const std::string &LookupResponseCache::regionForAddress(const std::string &clientIp) const
{
    const auto address = parseClientAddress(clientIp);
    const auto value = address ? m_clientBlocks.find(*address) : std::nullopt;
    return value ? m_regions[*value] : m_ownRegion;
}

const HttpResponse &LookupResponseCache::responseFor(const std::string &clientIp)
{
    if (m_responses.empty())
        render();
    return m_responses.at(regionForAddress(clientIp))[m_nextVariant++ % variantsPerRegion];
}

} // namespace basildeck
