#include "decide/ShutdownSchedule.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace basildeck {

TEST_SUITE_BEGIN("shutdown schedule");

// The platform excuses a request that the shutdown ends only if it was sent within 3 s of SIGTERM
// and is ended in the last sixth of the grace period. The signal may be noticed late.
TEST_CASE("requests are accepted for less than 3 s and ended in the last sixth of the grace period")
{
    constexpr Duration maxExcusedSendTime = seconds(3);
    constexpr Duration signalLatency = milliseconds(400);
    const Time signalledAt{};
    for (const int graceSeconds : { 1, 2, 4, 6, 10, 30 }) {
        const Duration grace = seconds(graceSeconds);
        const auto schedule = ShutdownSchedule::make(signalledAt, grace);
        CAPTURE(graceSeconds);
        CHECK(schedule.acceptUntil + signalLatency <= signalledAt + maxExcusedSendTime);
        CHECK(schedule.acceptUntil <= signalledAt + grace / 2);
        CHECK(schedule.endRequestsAt >= signalledAt + grace * 5 / 6);
        CHECK(schedule.exitAt < signalledAt + grace);
        // Most of the time after the remaining requests are ended is left to their callers.
        CHECK(schedule.exitAt - schedule.endRequestsAt > signalledAt + grace - schedule.exitAt);
        CHECK(schedule.closeAfterResponsesAt < schedule.acceptUntil);
    }
}

TEST_CASE("the phases of a shutdown follow each other")
{
    const auto schedule = ShutdownSchedule::make(Time{}, seconds(6));
    CHECK(schedule.nextPhaseAfter(schedule.signalledAt) == schedule.closeAfterResponsesAt);
    CHECK(schedule.nextPhaseAfter(schedule.closeAfterResponsesAt) == schedule.acceptUntil);
    CHECK(schedule.nextPhaseAfter(schedule.acceptUntil) == schedule.endRequestsAt);
    CHECK(schedule.nextPhaseAfter(schedule.endRequestsAt) == schedule.exitAt);
    CHECK(schedule.nextPhaseAfter(schedule.exitAt) == schedule.exitAt);
}

TEST_SUITE_END();

} // namespace basildeck
