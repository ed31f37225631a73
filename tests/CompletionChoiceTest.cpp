#include "TwoEdges.h"
#include "decide/placement/PlacedRunTimes.h"
#include "decide/placement/TargetChoice.h"
#include "decide/placement/TargetLoad.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

constexpr Duration objective = milliseconds(800);
constexpr Duration deadline = milliseconds(4000);

CandidateLoad home(int wait, int run, int lateWait = 0)
{
    return { milliseconds(wait), milliseconds(run), false, milliseconds(lateWait) };
}

CandidateLoad elsewhere(int wait, int run)
{
    return { milliseconds(wait), milliseconds(run), true, milliseconds(wait) };
}

std::optional<std::size_t> chosen(const std::vector<CandidateLoad> &candidates)
{
    return chooseByCompletion(candidates, objective, deadline).candidate;
}

std::optional<LoadReport> parsed(const std::string &load)
{
    MessageHead head;
    head.fields.add("Server-Load", load);
    return reportedLoad(head, platform::wireNames());
}

} // namespace

TEST_SUITE_BEGIN("completion choice");

// Guards against cold runs, which take three times the slot time and evict a warm object.
TEST_CASE("a request leaves the target of its object only to meet its objective elsewhere")
{
    CHECK(chosen({ home(400, 300), elsewhere(0, 500) }) == 0);
    CHECK(chosen({ home(600, 300), elsewhere(100, 700), elsewhere(0, 600) }) == 2);
    CHECK(chosen({ home(100, 750, 200), elsewhere(0, 900) }) == 0);
    CHECK(chosen({ elsewhere(0, 1200), elsewhere(0, 900) }) == 1);
}

TEST_CASE("a request waits only as long as it meets its objective, or soon starts late")
{
    const TargetDecision inTime = chooseByCompletion({ home(400, 300) }, objective, deadline);
    CHECK_FALSE(inTime.isLate);
    CHECK(inTime.maxWait == milliseconds(500));
    const TargetDecision late = chooseByCompletion({ home(0, 900, 400) }, objective, deadline);
    CHECK(late.isLate);
    CHECK(late.maxWait == milliseconds(3100));
    CHECK_FALSE(chosen({ home(600, 900, 600) }));
}

TEST_CASE("what cannot complete before its deadline anywhere is refused with a spread delay")
{
    const TargetDecision refused
            = chooseByCompletion({ home(300, 4100), elsewhere(200, 4200) }, objective, deadline);
    CHECK_FALSE(refused.candidate);
    CHECK(refused.retryAfter == milliseconds(200));
    CHECK(spreadRetryAfter(milliseconds(200), 0) == milliseconds(200));
    CHECK(spreadRetryAfter(milliseconds(200), ~0ULL) > milliseconds(290));
    CHECK(spreadRetryAfter(milliseconds(200), ~0ULL) <= milliseconds(300));
}

TEST_CASE("warm and cold runs are estimated separately, and a cold estimate expires")
{
    PlacedRunTimes times;
    const Time start = Time() + seconds(100);
    CHECK(times.typicalRun("kind", ObjectPlace::Placed, "a", start) == Duration::zero());
    for (int i = 0; i < 200; ++i) {
        // One run in twenty takes seven times as long.
        const Duration warm = milliseconds(i % 20 == 0 ? 2100 : 300);
        times.record("kind", ObjectPlace::Placed, "a", warm, start);
        times.record("kind", ObjectPlace::Elsewhere, "a", milliseconds(500), start);
    }
    const auto expected = [&](ObjectPlace place, Time now) {
        return toSeconds(times.typicalRun("kind", place, "a", now));
    };
    CHECK(expected(ObjectPlace::Placed, start) == doctest::Approx(0.3).epsilon(0.15));
    CHECK(expected(ObjectPlace::Elsewhere, start) == doctest::Approx(0.5).epsilon(0.15));
    CHECK(expected(ObjectPlace::Elsewhere, start + 9 * PlacedRunTimes::elsewhereMemory)
          == doctest::Approx(0.9).epsilon(0.15));
}

TEST_CASE("a reported speed loses its weight within a second")
{
    TargetLoad load;
    const Time now = Time() + seconds(100);
    load.record({ 3, 0, 9, 250 }, now);
    CHECK(load.factor(now) == doctest::Approx(2.5));
    CHECK(load.factor(now + TargetLoad::reportLifetime / 2) == doctest::Approx(1.75));
    CHECK(load.factor(now + TargetLoad::reportLifetime) == doctest::Approx(1));
    CHECK(load.speedPercent(now) == 250);
    CHECK_FALSE(load.speedPercent(now + TargetLoad::reportLifetime));
}

TEST_CASE("an invalid speed costs only itself")
{
    for (const char *text : { "3,1,9", "3,1,9,", "3,1,9,x", "3,1,9,0", "3,1,9,-5", "3,1,9,10001",
                              "3,1,9,99999999999", "3,1,9,120.5", "3,1,9,120x" }) {
        CAPTURE(text);
        const auto load = parsed(text);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->waiting == 1);
        CHECK(load->slots == 9);
        CHECK_FALSE(load->speedPercent);
    }
    CHECK(parsed("3,1,9,250")->speedPercent == 250);
    CHECK(parsed("3,1,9,10000,7")->speedPercent == 10'000);
    CHECK_FALSE(parsed("3,x,9,100"));
}

// Guards against a change of the choice in deployments whose targets do not report their speed.
TEST_CASE("requests without an object avoid a busy target only if targets report their speed")
{
    const std::string close = "Connection: close\r\n";
    for (const bool reportsSpeed : { false, true }) {
        EdgeFixture fixture(2, 1);
        const std::string load
                = reportsSpeed ? "Server-Load: 0,0,1,100\r\n" : "Server-Load: 0,0,1\r\n";
        std::vector<std::unique_ptr<standin::RawSocket>> callers;
        const auto sendFor = [&](std::size_t target, const std::string &id) {
            const std::string object = fixture.objectPlacedAt("/safe/", target);
            callers.push_back(fixture.sendAsCaller(EdgeFixture::request(
                    "GET", "/safe/", id, "Cookie: Affinity-Key=" + object + "\r\n")));
            return fixture.awaitRequest(target);
        };
        for (const std::size_t target : { 0, 1 }) {
            const std::string id = "r" + std::to_string(target);
            sendFor(target, id).socket->send(EdgeFixture::sealedResponse(id, "x", load + close));
            CHECK(completeResponse(*callers.back()).body == "x");
        }
        auto busy = sendFor(0, "busy");
        // The fourth request, with an id by which it would be placed at the busy target.
        std::string id = "n";
        while (fixture.targetOf(id, "4") != 0)
            id += "n";
        callers.push_back(fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", id)));
        if (!reportsSpeed) {
            while (fixture.openRequests() < 2) {
            }
            busy.socket->send(EdgeFixture::sealedResponse("busy", "x", load + close));
        }
        auto received = fixture.awaitRequest(reportsSpeed ? 1 : 0);
        CHECK(received.head.header("request-id") == id);
        received.socket->send(EdgeFixture::sealedResponse(id, "done", load + close));
        CHECK(completeResponse(*callers.back()).body == "done");
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
