#include "OverloadSimulation.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// Lookups at targets of which 15 in 100 run 2.5 times as long, others every 0.6 s. A region with a
// tenth of the targets has a third of the callers. The objects take about four fifths of the places
// in which targets remember them.
LoadPattern unevenTraffic(int vms, double loadFactor)
{
    const bool isSmall = vms == 31;
    LoadPattern pattern;
    pattern.kinds = { { "lookup", isSmall ? 1155.0 : 1298.0, milliseconds(isSmall ? 880 : 920),
                        milliseconds(isSmall ? 500 : 800), milliseconds(4000), 2, 1400, 1 } };
    pattern.kinds.front().perSecond *= loadFactor;
    if (isSmall) {
        pattern.targetsByRegion = { { "north", 10 }, { "south", 42 }, { "west", 42 } };
        pattern.vmsByRegion = { { "north", 11 }, { "south", 10 }, { "west", 10 } };
    } else {
        pattern.targetsByRegion = { { "north", 12 }, { "south", 55 }, { "west", 55 } };
        pattern.vmsByRegion = { { "north", 24 }, { "south", 24 }, { "west", 24 } };
    }
    pattern.slots = 9;
    pattern.targetQueueLimit = 27;
    pattern.warmObjectLimit = isSmall ? 39 : 33;
    pattern.unevenShare = 0.15;
    pattern.unevenFactor = 2.5;
    pattern.hasQueueTimers = true;
    pattern.simulatedTime = seconds(20);
    pattern.warmUp = seconds(8);
    return pattern;
}

struct Comparison
{
    LoadResult before;
    LoadResult after;
};

Comparison compare(const LoadPattern &pattern)
{
    const auto simulate = [&](const std::string &name, PlacementPolicy policy) {
        const LoadResult result = simulateLoad(pattern, policy);
        MESSAGE(name, ": in objective ", result.share(), ", cold runs ", result.coldShare(),
                ", busiest over mean ", result.busiestOverMean(), ", rejected ",
                result.rejectedShare());
        return result;
    };
    return { simulate("before", PlacementPolicy::UnderTest),
             simulate("after", PlacementPolicy::ByCompletion) };
}

// The design page's bounds for calm days.
constexpr double minShareInObjective = 0.85;
constexpr double maxRejectedShare = 0.02;
// What the design page allows a deployment to lose where the choice cannot help: a warm run on a
// slow machine takes 660 ms of the 500 ms of the smaller deployment, and at 72 VMs the reports that
// a VM gets are mostly older than the speed that they tell.
constexpr double maxLossAgainstBefore = 0.03;

} // namespace

TEST_SUITE_BEGIN("uneven load");

// Guards against requests that leave their warm target for a cold run, which made more targets busy
// and more requests leave them.
TEST_CASE("72 VMs: requests stay at warm targets and meet their objective")
{
    const Comparison calm = compare(unevenTraffic(72, 1));
    CHECK(calm.after.share() >= minShareInObjective);
    CHECK(calm.after.rejectedShare() <= maxRejectedShare);
    CHECK(calm.after.coldShare() < calm.before.coldShare());
    const Comparison heavy = compare(unevenTraffic(72, 1.6));
    CHECK(heavy.after.share() > heavy.before.share());
    CHECK(heavy.after.coldShare() < heavy.before.coldShare());
    CHECK(heavy.after.rejectedShare() <= maxRejectedShare);
}

TEST_CASE("31 VMs: no more cold runs and no fewer requests within their objective")
{
    for (const double loadFactor : { 1.0, 1.6 }) {
        const Comparison load = compare(unevenTraffic(31, loadFactor));
        CHECK(load.after.share() >= load.before.share() - maxLossAgainstBefore);
        CHECK(load.after.coldShare() <= load.before.coldShare() + maxLossAgainstBefore);
        CHECK(load.after.rejectedShare() <= maxRejectedShare);
    }
}

TEST_CASE("requests without an object lose nothing by the choice among several targets")
{
    for (const int vms : { 31, 72 }) {
        LoadPattern pattern = unevenTraffic(vms, 1);
        pattern.kinds = { { "filing", 1300, milliseconds(480), milliseconds(800),
                            milliseconds(4000), 1, 0, 1 } };
        const Comparison filings = compare(pattern);
        CHECK(filings.after.share() >= filings.before.share() - maxLossAgainstBefore);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
