#include "OverloadSimulation.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// Traffic of a live service at its stated rates. If each request were the first one for its object,
// the work would exceed the capacity of the slots by a third.
LoadPattern statedTraffic()
{
    LoadPattern pattern;
    pattern.kinds = {
        { "level-check", 332, milliseconds(240), milliseconds(300), milliseconds(1200), 2, 246, 1 },
        { "custody-transfer", 159, milliseconds(312), milliseconds(300), milliseconds(1500), 1, 117,
          2 },
    };
    pattern.targetsByRegion = { { "khomas", 2 }, { "erongo", 10 }, { "karas", 12 } };
    pattern.vmsByRegion = { { "khomas", 3 }, { "erongo", 2 }, { "karas", 2 } };
    return pattern;
}

// Traffic of a large fleet at its stated rates: each VM sends to each target once in half a minute.
LoadPattern largeFleetTraffic()
{
    LoadPattern pattern;
    pattern.kinds = {
        { "level-check", 1478, milliseconds(760), milliseconds(600), milliseconds(4000), 2, 616,
          1 },
        { "custody-transfer", 708, milliseconds(1000), milliseconds(800), milliseconds(5000), 1,
          295, 2 },
    };
    pattern.targetsByRegion = { { "khomas", 47 }, { "erongo", 191 }, { "karas", 227 } };
    pattern.vmsByRegion = { { "khomas", 39 }, { "erongo", 42 }, { "karas", 37 } };
    pattern.slots = 5;
    pattern.targetQueueLimit = 15;
    pattern.warmObjectLimit = 22;
    return pattern;
}

// Share of the value that has to be earned within the objective on days with incidents.
constexpr double minShareInObjective = 0.40;

// The share of a region's requests that may run in another region than in the window of 2 s before
// without a change of traffic.
constexpr double maxRegionShift = 0.15;

} // namespace

TEST_SUITE_BEGIN("overload");

TEST_CASE("at the stated rates placement earns more value than least-loaded selection")
{
    const LoadPattern pattern = statedTraffic();
    const LoadResult placement = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const LoadResult baseline = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", placement.share(), ", least loaded ", baseline.share());
    CHECK(placement.share() > baseline.share());
    CHECK(placement.share() >= minShareInObjective);
}

TEST_CASE("at twice the stated rates placement still earns value within the objective")
{
    LoadPattern pattern = statedTraffic();
    for (LoadKind &kind : pattern.kinds)
        kind.perSecond *= 2;
    const LoadResult placement = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const LoadResult baseline = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", placement.share(), ", least loaded ", baseline.share());
    CHECK(placement.share() > baseline.share());
    CHECK(placement.share() >= minShareInObjective);
}

TEST_CASE("a fifth of the targets slowed down sixfold does not slow down the others")
{
    LoadPattern pattern = statedTraffic();
    pattern.slowTargetShare = 0.2;
    pattern.slowdownFactor = 6;
    const LoadResult placement = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const LoadResult baseline = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", placement.share(), ", least loaded ", baseline.share());
    CHECK(placement.share() > baseline.share());
    CHECK(placement.share() >= minShareInObjective);
}

TEST_CASE("in a large fleet the first runs at targets that are not warm yet move no objects")
{
    const LoadResult result = simulateLoad(largeFleetTraffic(), PlacementPolicy::UnderTest);
    MESSAGE("in objective: ", result.share());
    CHECK(result.share() >= minShareInObjective);
    MESSAGE("moved at most from one window of 2 s to the next: ", result.maxRegionShift);
    CHECK(result.maxRegionShift <= maxRegionShift);
}

TEST_CASE(
        "in a large fleet two fifths of the targets slowed down twelvefold leave most of the value")
{
    LoadPattern pattern = largeFleetTraffic();
    pattern.slowTargetShare = 0.4;
    pattern.slowdownFactor = 12;
    const LoadResult result = simulateLoad(pattern, PlacementPolicy::UnderTest);
    pattern.sharesReports = false;
    const LoadResult alone = simulateLoad(pattern, PlacementPolicy::UnderTest);
    MESSAGE("in objective: ", result.share(), ", without reports of other VMs ", alone.share());
    CHECK(result.share() >= minShareInObjective);
    CHECK(result.share() > alone.share());
}

TEST_CASE("the more urgent kind of a service is served at least as often as the less urgent one")
{
    LoadPattern pattern = statedTraffic();
    for (LoadKind &kind : pattern.kinds)
        kind.perSecond *= 2;
    const LoadResult result = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const auto served = [&](const std::string &kind) {
        return 1 - static_cast<double>(result.refused.at(kind)) / result.asked.at(kind);
    };
    // The platform tolerates a difference of up to five percentage points.
    CHECK(served("custody-transfer") >= served("level-check") - 0.05);
}

TEST_SUITE_END();

} // namespace basildeck::test
