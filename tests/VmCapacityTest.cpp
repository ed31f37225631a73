#include "decide/directory/VmCapacity.h"
#include "decide/PeerTable.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace basildeck {

namespace {

constexpr VmCapacity large{ 200'000, 500 };
constexpr VmCapacity small{ 11'000, 240 };

std::size_t namedCount(std::size_t largeVms, std::size_t smallVms, VmCapacity smallCapacity = small)
{
    std::vector<VmCapacity> vms(largeVms, large);
    vms.insert(vms.end(), smallVms, smallCapacity);
    const std::vector<bool> named = LargeVmSelection::select(vms);
    return static_cast<std::size_t>(std::count(named.begin(), named.end(), true));
}

} // namespace

TEST_SUITE_BEGIN("VM capacity");

// Guards against the wait at VMs with small links in imbaraga-lb-grown, quiet-1: a third of the
// requests there waited over 30 ms, and hardly any at the others.
TEST_CASE("lookups leave out small VMs while the large ones carry most of the load")
{
    CHECK(namedCount(4, 6) == 4);
    CHECK(namedCount(4, 21, { 10'000, 100 }) == 4);
    CHECK(namedCount(4, 0) == 4);
    CHECK(namedCount(0, 6) == 6);                   // the large ones are lost
    CHECK(namedCount(1, 6) == 7);                   // one could be lost as well
    CHECK(namedCount(2, 20) == 22);                 // their processors are not enough
    CHECK(namedCount(2, 5, { 100'000, 500 }) == 7); // not that much smaller
    CHECK(namedCount(4, 6, {}) == 10);              // VMs of an earlier build do not say
    CHECK(LargeVmSelection::select({}).empty());
}

TEST_CASE("the VMs that a lookup names follow the capacities of the caller's region")
{
    std::vector<DirectoryEntry> serving;
    for (const char *name : { "l1", "l2", "l3" })
        serving.push_back({ name, "north", "n1", TargetContact::Unknown, large });
    serving.push_back({ "s1", "north", "n1", TargetContact::Unknown, small });
    serving.push_back({ "s2", "south", "z1", TargetContact::Unknown, small });
    CHECK(directoryAddresses(serving, "north", 64) == std::vector<std::string>{ "l1", "l2", "l3" });
    CHECK(directoryAddresses(serving, "south", 64) == std::vector<std::string>{ "s2" });
}

TEST_SUITE_END();

} // namespace basildeck
