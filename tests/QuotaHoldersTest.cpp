#include "decide/quota/QuotaHolders.h"

#include <doctest/doctest.h>

namespace basildeck {

namespace {

std::map<std::string, std::string> fleet(int vms, int regions)
{
    std::map<std::string, std::string> result;
    for (int i = 0; i < vms; ++i)
        result["vm-" + std::to_string(i)] = "region-" + std::to_string(i % regions);
    return result;
}

} // namespace

TEST_SUITE_BEGIN("quota holders");

TEST_CASE("in a small fleet every VM holds tokens")
{
    const QuotaHolders holders(fleet(7, 3));
    CHECK(holders.of("o-1").size() == 7);
    CHECK(holders.isHolder("vm-6", "o-1"));
}

TEST_CASE("in a large fleet two VMs of each region hold an organisation's tokens")
{
    const QuotaHolders holders(fleet(118, 3));
    std::map<std::string_view, int> byRegion;
    for (const std::string &holder : holders.of("o-1"))
        ++byRegion[holders.regionOf(holder)];
    CHECK(byRegion.size() == 3);
    for (const auto &[region, count] : byRegion)
        CHECK(count == static_cast<int>(QuotaHolders::holdersPerRegion));
    CHECK(QuotaHolders(fleet(118, 1)).of("o-1").size() == QuotaHolders::minHolders);
}

TEST_CASE("a VM that leaves changes only the organisations that it held")
{
    auto vms = fleet(118, 3);
    const QuotaHolders before(vms);
    vms.erase("vm-5");
    const QuotaHolders after(vms);
    int changed = 0;
    for (int i = 0; i < 200; ++i) {
        const std::string organisation = "o-" + std::to_string(i);
        const bool wasHolder = before.isHolder("vm-5", organisation);
        CHECK((before.of(organisation) != after.of(organisation)) == wasHolder);
        changed += wasHolder ? 1 : 0;
    }
    CHECK(changed > 0);
    CHECK(changed < 40);
}

TEST_SUITE_END();

} // namespace basildeck
