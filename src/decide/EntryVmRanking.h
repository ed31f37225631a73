#pragma once

#include "core/Members.h"

#include <string>
#include <vector>

namespace basildeck {

// Width of the buckets by which loads are compared. Small differences between outdated load figures
// must not send all callers to the same VM.
constexpr std::uint32_t loadBucketPermille = 250;

// Ranks the entry VMs for callers of a region, best first: VMs of the region before others, drained
// regions last, and lightly loaded VMs before busy ones. The shuffle seed determines the order of
// equal VMs, so that callers with different seeds spread over them. Suspected VMs rank behind all
// others; leaving and dead ones are left out. The result depends on the arguments only.
std::vector<Member> rankEntryVms(const MemberList &members, const std::string &callerRegion,
                                 const std::vector<std::string> &drainedRegions,
                                 std::uint64_t shuffleSeed, std::size_t maxCount);

} // namespace basildeck
