#include "decide/quota/QuotaShare.h"

#include <doctest/doctest.h>

namespace basildeck {

TEST_SUITE_BEGIN("quota share");

TEST_CASE("a VM that reaches no other VM uses an equal share")
{
    const Time now = Time() + seconds(1);
    QuotaShare share(now);
    share.setLimit({ 200, 100 }, now);
    share.setDemand({ 7, {}, 1.0 / 7 }, now);
    CHECK(share.rateFraction() == doctest::Approx(1.0 / 7));
}

TEST_CASE("no limit admits every request; an empty share returns the time to its next token")
{
    const Time now = Time() + seconds(1);
    QuotaShare unlimited(now);
    CHECK(unlimited.admit(now));
    QuotaShare share(now);
    share.setLimit({ 10, 0 }, now);
    share.setDemand({ 1, {} }, now);
    CHECK_FALSE(share.admit(now));
    CHECK(toSeconds(share.timeToNextToken()) == doctest::Approx(0.1));
    CHECK(share.admit(now + milliseconds(101)));
}

TEST_SUITE_END();

} // namespace basildeck
