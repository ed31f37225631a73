#include "http/LookupAnswers.h"

#include "decide/EntryOrder.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basildeck {

using nlohmann::json;

namespace {

// Whether two views of a member lead to the same answers.
bool rendersAlike(const Member &a, const Member &b)
{
    return a.vm == b.vm && a.state == b.state && a.caller == b.caller && a.zone == b.zone
           && a.loadPermille / loadStepPermille == b.loadPermille / loadStepPermille;
}

} // namespace

void LookupAnswers::setConfig(std::uint64_t version, const FleetConfig &config)
{
    m_version = version;
    m_maxAgeSeconds = config.defaults.answerMaxAgeSeconds;
    m_drained.clear();
    m_regions.clear();
    for (const Region &region : config.regions) {
        m_regions.push_back(region.name);
        if (region.drained)
            m_drained.push_back(region.name);
    }
    std::vector<BlockTable::Entry> entries;
    for (const ClientBlock &block : config.blocks) {
        const auto region = std::find(m_regions.begin(), m_regions.end(), block.region);
        if (const auto parsed = parseBlock(block.block); parsed && region != m_regions.end())
            entries.push_back(
                    { *parsed, static_cast<BlockTable::Value>(region - m_regions.begin()) });
    }
    m_blocks = BlockTable::make(std::move(entries));
    render();
}

void LookupAnswers::setMembers(const MemberList &members)
{
    const bool same = std::equal(members.begin(), members.end(), m_members.begin(), m_members.end(),
                                 rendersAlike);
    m_members = members;
    if (!same)
        render();
}

std::vector<Member> LookupAnswers::entriesFor(const std::string &region) const
{
    return entryOrder(m_members, region, m_drained, 0, entriesInAnswer);
}

void LookupAnswers::render()
{
    std::vector<std::string> regions = m_regions;
    if (std::find(regions.begin(), regions.end(), m_ownRegion) == regions.end())
        regions.push_back(m_ownRegion);
    m_answers.clear();
    for (const std::string &region : regions) {
        for (std::size_t variant = 0; variant < variants; ++variant) {
            json entries = json::array();
            for (const Member &member :
                 entryOrder(m_members, region, m_drained, variant, entriesInAnswer))
                entries.push_back({ { "vm", member.vm },
                                    { "address", member.caller.toString() },
                                    { "region", member.region },
                                    { "zone", member.zone } });
            HttpResponse answer;
            answer.headers.push_back(
                    { "cache-control", "max-age=" + std::to_string(m_maxAgeSeconds) });
            answer.body = json({ { "version", m_version }, { "entries", entries } }).dump();
            m_answers[region].push_back(std::move(answer));
        }
    }
}

const std::string &LookupAnswers::regionOf(const std::string &callerIp) const
{
    const auto address = parseClientAddress(callerIp);
    const auto value = address ? m_blocks.find(*address) : std::nullopt;
    return value ? m_regions[*value] : m_ownRegion;
}

const HttpResponse &LookupAnswers::answerFor(const std::string &callerIp)
{
    if (m_answers.empty())
        render();
    return m_answers.at(regionOf(callerIp))[m_next++ % variants];
}

} // namespace basildeck
