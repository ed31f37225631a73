#pragma once

#include "core/Members.h"

#include <string>
#include <vector>

namespace basildeck {

// Loads that differ by less are treated as equal, so that a lagging figure does not herd callers.
constexpr std::uint32_t loadBucketPermille = 250;

// The entry VMs that a caller of a region is told to use, best first: its own region before the
// others, lightly loaded VMs before busy ones, and equal ones in an order that differs between
// askers, so that they spread. Leaving, suspected and dead VMs are left out unless nothing else is
// there. A pure function of its arguments.
std::vector<Member> rankEntryVms(const MemberList &members, const std::string &callerRegion,
                                 const std::vector<std::string> &drainedRegions,
                                 std::uint64_t spread, std::size_t atMost);

} // namespace basildeck
