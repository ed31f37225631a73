#include "decide/EntryVmRanking.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>

namespace basildeck {

namespace {

struct RankedMember
{
    const Member *member;
    std::tuple<int, int, std::uint32_t, std::uint64_t> rank;
};

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::vector<Member> rankEntryVms(const MemberList &members, const std::string &callerRegion,
                                 const std::vector<std::string> &drainedRegions,
                                 std::uint64_t shuffleSeed, std::size_t maxCount)
{
    std::vector<RankedMember> ranked;
    const std::string salt = std::to_string(shuffleSeed);
    for (const Member &member : members) {
        if (!member.isServing())
            continue;
        const int suspectRank = member.state == MemberState::Suspect ? 1 : 0;
        const int regionRank = contains(drainedRegions, member.region) ? 2
                               : member.region == callerRegion         ? 0
                                                                       : 1;
        ranked.push_back({ &member,
                           { suspectRank, regionRank, member.loadPermille / loadBucketPermille,
                             stableHash(member.vm, salt) } });
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const RankedMember &a, const RankedMember &b) { return a.rank < b.rank; });
    std::vector<Member> order;
    for (const RankedMember &entry : ranked) {
        if (order.size() < maxCount)
            order.push_back(*entry.member);
    }
    return order;
}

} // namespace basildeck
