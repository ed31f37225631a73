#include "decide/placement/Placement.h"
#include "core/Hash.h"
#include "decide/ColdTargetLimiter.h"
#include "decide/ConcurrencyLimiter.h"
#include "decide/OutlierDetector.h"
#include "decide/WeightedRoundRobin.h"
#include "decide/placement/TargetChoice.h"

#include <doctest/doctest.h>

namespace basildeck {

namespace {

constexpr int objects = 2000;

std::vector<PlacementTarget> targets(const std::map<std::string, int> &counts)
{
    std::vector<PlacementTarget> result;
    for (const auto &[region, count] : counts) {
        for (int i = 0; i < count; ++i)
            result.push_back({ region + std::to_string(i), region, 4 });
    }
    return result;
}

std::string preferredTarget(const Placement &placement, int object, std::string_view region,
                            const std::vector<std::string> &allowed = {})
{
    const auto candidates = placement.candidates(stableHash("object", std::to_string(object)),
                                                 region, allowed, 1);
    return candidates.preferred.empty() ? std::string() : std::string(candidates.preferred.front());
}

} // namespace

TEST_SUITE_BEGIN("placement");

TEST_CASE("removing a target moves only its own objects")
{
    Placement before;
    before.setTargets(targets({ { "a", 6 }, { "b", 6 } }));
    auto remaining = targets({ { "a", 6 }, { "b", 6 } });
    std::erase_if(remaining, [](const PlacementTarget &t) { return t.id == "a3"; });
    Placement after;
    after.setTargets(remaining);
    int moved = 0;
    for (int object = 0; object < objects; ++object) {
        const std::string target = preferredTarget(before, object, "a");
        if (target == "a3" || target.front() == 'b')
            continue;
        // The region's share shrinks slightly, which may move an object to another region.
        moved += preferredTarget(after, object, "a") != target ? 1 : 0;
    }
    CHECK(moved <= objects / 10);
}

TEST_CASE("a region with few targets keeps no more objects than its slots can serve")
{
    Placement placement;
    placement.setTargets(targets({ { "khomas", 2 }, { "erongo", 10 }, { "karas", 12 } }));
    int local = 0;
    for (int object = 0; object < objects; ++object)
        local += preferredTarget(placement, object, "khomas").starts_with("khomas") ? 1 : 0;
    CHECK(local == doctest::Approx(objects * 0.25).epsilon(0.2));
    CHECK(placement.localShare("karas") == 1.0);
}

// Guards against VMs that move the requests for an object to different targets, where it is cold.
TEST_CASE("the second target of an object is the one to which it moves without the first")
{
    Placement all;
    all.setTargets(targets({ { "a", 6 } }));
    for (int object = 0; object < 50; ++object) {
        const auto hash = stableHash("object", std::to_string(object));
        const auto first = all.candidates(hash, "a", {}, 2).preferred;
        auto remaining = targets({ { "a", 6 } });
        std::erase_if(remaining, [&](const PlacementTarget &t) { return t.id == first[0]; });
        Placement without;
        without.setTargets(remaining);
        CHECK(without.candidates(hash, "a", {}, 1).preferred.front() == first[1]);
    }
}

TEST_CASE("candidates are in the allowed regions")
{
    Placement placement;
    placement.setTargets(targets({ { "a", 3 }, { "b", 3 }, { "c", 3 } }));
    for (int object = 0; object < objects; ++object) {
        const auto candidates
                = placement.candidates(stableHash(std::to_string(object)), "a", { "b" }, 3);
        CHECK(candidates.preferred.size() == 3);
        CHECK(candidates.alternate.empty());
        for (const std::string_view target : candidates.preferred)
            CHECK(target.starts_with("b"));
    }
    CHECK(preferredTarget(placement, 1, "a", { "d" }).empty());
}

TEST_CASE("the concurrency limit grows without a queue at the target and shrinks when it sheds")
{
    ConcurrencyLimiter limiter(4);
    CHECK(limiter.limit() == 2);
    for (int i = 0; i < 20; ++i) {
        limiter.started();
        limiter.answered("kind", milliseconds(100), LoadReport{ 1, 0, 4 }, Time());
    }
    CHECK(limiter.limit() == 4);
    limiter.started();
    limiter.shed();
    CHECK(limiter.limit() < 4);
    for (int i = 0; i < 50; ++i) {
        limiter.started();
        limiter.answered("kind", milliseconds(100), LoadReport{ 4, 5, 4 }, Time());
    }
    CHECK(limiter.limit() == 1);
    CHECK(limiter.inFlight() == 0);
}

// Guards against incident inc-d8b3 (dct-lb): before the first responses of a target, the expected
// wait was zero, so that requests were queued for two seconds and then refused.
TEST_CASE("the queue adds to the expected wait before the first response of a target")
{
    ConcurrencyLimiter limiter(4);
    limiter.started();
    limiter.started();
    CHECK(limiter.expectedWait(1) > Duration::zero());
    limiter.push({ 1, 1 });
    CHECK(limiter.expectedWait(1) >= ConcurrencyLimiter::initialRunEstimate);
}

TEST_CASE("the most urgent waiting request is served first, then the oldest")
{
    ConcurrencyLimiter limiter(1);
    limiter.started();
    limiter.push({ 1, 2 });
    limiter.push({ 2, 1 });
    limiter.push({ 3, 2 });
    limiter.push({ 4, 1 });
    CHECK_FALSE(limiter.pop());
    limiter.ended();
    CHECK(limiter.pop()->id == 2);
    CHECK(limiter.pop()->id == 4);
    CHECK(limiter.cancel(1));
    CHECK_FALSE(limiter.cancel(1));
    CHECK(limiter.pop()->id == 3);
}

TEST_CASE("a request that would wait and be late is refused with a retry delay")
{
    const Duration objective = milliseconds(300);
    const Duration timeout = milliseconds(1200);
    const auto queued
            = chooseCandidate({ { milliseconds(100), milliseconds(150) } }, objective, timeout);
    CHECK(queued.candidate == 0);
    const auto second = chooseCandidate(
            { { milliseconds(200), milliseconds(150) }, { milliseconds(0), milliseconds(250) } },
            objective, timeout);
    CHECK(second.candidate == 1);
    const auto late
            = chooseCandidate({ { milliseconds(0), milliseconds(900) } }, objective, timeout);
    CHECK(late.candidate == 0);
    const auto refused
            = chooseCandidate({ { milliseconds(400), milliseconds(150) } }, objective, timeout);
    CHECK_FALSE(refused.candidate);
    CHECK(refused.retryAfter == milliseconds(400));
}

TEST_CASE("the limit of a cold target starts without tokens")
{
    const Time now = Time() + seconds(1);
    ColdTargetLimiter coldLimit(10, now);
    CHECK_FALSE(coldLimit.tryAcquire(now));
    int taken = 0;
    for (int i = 1; i <= 2000; ++i)
        taken += coldLimit.tryAcquire(now + milliseconds(i)) ? 1 : 0;
    CHECK(taken <= 20);
    CHECK(taken >= 18);
}

TEST_CASE("a failing target is ejected for increasing times, and a success resets this")
{
    Time now = Time() + seconds(1);
    OutlierDetector detector;
    CHECK_FALSE(detector.recordFailure(now));
    CHECK_FALSE(detector.recordFailure(now));
    CHECK(detector.recordFailure(now));
    CHECK(detector.isEjected(now));
    now += OutlierDetector::baseEjectionTime;
    CHECK_FALSE(detector.isEjected(now));
    CHECK(detector.recordFailure(now));
    CHECK(detector.isEjected(now + OutlierDetector::baseEjectionTime));
    detector.recordSuccess();
    CHECK_FALSE(detector.recordFailure(now + seconds(10)));
}

TEST_CASE("weighted round robin keeps the weights at every point of the sequence")
{
    WeightedRoundRobin roundRobin({ 90, 10 });
    int second = 0;
    for (int i = 1; i <= 1000; ++i) {
        second += roundRobin.next() == 1 ? 1 : 0;
        CHECK(second >= i / 10 - 1);
        CHECK(second <= i / 10 + 1);
    }
}

TEST_SUITE_END();

} // namespace basildeck
