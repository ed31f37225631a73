#include "decide/EntryVmRanking.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>

namespace basildeck {

namespace {

struct Ranked
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
                                 std::uint64_t spread, std::size_t atMost)
{
    std::vector<Ranked> ranked;
    const std::string salt = std::to_string(spread);
    for (const Member &member : members) {
        if (!member.serves())
            continue;
        const int doubtful = member.state == MemberState::Suspect ? 1 : 0;
        const int far = contains(drainedRegions, member.region) ? 2
                        : member.region == callerRegion         ? 0
                                                                : 1;
        ranked.push_back({ &member,
                           { doubtful, far, member.loadPermille / loadBucketPermille,
                             stableHash(member.vm, salt) } });
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked &a, const Ranked &b) { return a.rank < b.rank; });
    std::vector<Member> order;
    for (const Ranked &entry : ranked) {
        if (order.size() < atMost)
            order.push_back(*entry.member);
    }
    return order;
}

} // namespace basildeck
