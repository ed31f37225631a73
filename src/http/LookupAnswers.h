#pragma once

#include "config/FleetConfig.h"
#include "core/Members.h"
#include "decide/BlockTable.h"
#include "http/HttpMessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basildeck {

// The answers to look-ups, rendered when their inputs change, so that a look-up only picks one.
class LookupAnswers
{
public:
    // Renderings with different orders of equal VMs, used in turn.
    static constexpr std::size_t variants = 16;
    static constexpr std::size_t entriesInAnswer = 4;

    explicit LookupAnswers(std::string ownRegion)
        : m_ownRegion(std::move(ownRegion))
    {}

    void setConfig(std::uint64_t version, const FleetConfig &config);
    void setMembers(const MemberList &members);

    // The answer for a caller's address.
    const HttpResponse &answerFor(const std::string &callerIp);
    // The region that a caller's address belongs to; the own region if no block holds it.
    const std::string &regionOf(const std::string &callerIp) const;
    // The entry VMs of the next answer, for explanations.
    std::vector<Member> entriesFor(const std::string &region) const;

private:
    void render();

    std::string m_ownRegion;
    std::uint64_t m_version = 0;
    int m_maxAgeSeconds = 1;
    MemberList m_members;
    std::vector<std::string> m_drained;
    std::vector<std::string> m_regions;
    BlockTable m_blocks = BlockTable::make({});
    std::map<std::string, std::vector<HttpResponse>> m_answers; // by region
    std::size_t m_next = 0;
};

} // namespace basildeck
