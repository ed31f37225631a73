#include "OverloadSimulation.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// The live service of the Authority at its stated rates: a third more work than its slots take if
// each request were the first for its object.
LoadPattern gaugeDesk()
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

// Part of the worth that is to be earned on days with trouble.
constexpr double worthOfTroubledDays = 0.40;

} // namespace

TEST_SUITE_BEGIN("overload");

TEST_CASE("at the stated rates the decisions earn more than the least loaded target")
{
    const LoadPattern pattern = gaugeDesk();
    const LoadResult product = simulateLoad(pattern, PlacementPolicy::Product);
    const LoadResult naive = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", product.share(), ", least loaded ", naive.share());
    CHECK(product.share() > naive.share());
    CHECK(product.share() >= worthOfTroubledDays);
}

TEST_CASE("at twice the stated rates what is served is served within its objective")
{
    LoadPattern pattern = gaugeDesk();
    for (LoadKind &kind : pattern.kinds)
        kind.perSecond *= 2;
    const LoadResult product = simulateLoad(pattern, PlacementPolicy::Product);
    const LoadResult naive = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", product.share(), ", least loaded ", naive.share());
    CHECK(product.share() > naive.share());
    CHECK(product.share() >= worthOfTroubledDays);
}

TEST_CASE("a fifth of the targets at six times their time does not drag the others down")
{
    LoadPattern pattern = gaugeDesk();
    pattern.slowShare = 0.2;
    pattern.slowFactor = 6;
    const LoadResult product = simulateLoad(pattern, PlacementPolicy::Product);
    const LoadResult naive = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", product.share(), ", least loaded ", naive.share());
    CHECK(product.share() > naive.share());
    CHECK(product.share() >= worthOfTroubledDays);
}

TEST_CASE("the more urgent kind is not served less than the less urgent one of its service")
{
    LoadPattern pattern = gaugeDesk();
    for (LoadKind &kind : pattern.kinds)
        kind.perSecond *= 2;
    const LoadResult result = simulateLoad(pattern, PlacementPolicy::Product);
    const auto served = [&](const std::string &kind) {
        return 1 - static_cast<double>(result.refused.at(kind)) / result.asked.at(kind);
    };
    // The platform takes a difference of up to five in a hundred as none.
    CHECK(served("custody-transfer") >= served("level-check") - 0.05);
}

TEST_SUITE_END();

} // namespace basildeck::test
