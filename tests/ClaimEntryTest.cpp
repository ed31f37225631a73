#include "decide/ClaimRegistry.h"

#include <doctest/doctest.h>

#include <string>

namespace basildeck::test {

namespace {

constexpr std::int64_t unixSeconds = 1'700'000'000;

ClaimBegin claimOf(const std::string &key)
{
    ClaimBegin claim;
    claim.id = { "vm-1", 1, 1 };
    claim.key = key;
    claim.fingerprint = 7;
    claim.retentionSeconds = 60;
    return claim;
}

// A registry with one claim, whose bucket it has asked for.
struct WaitingClaim
{
    WaitingClaim()
    {
        registry.setEra(1, now);
        registry.begin("vm-1", claimOf("key"), now);
        const auto calls = registry.dueCalls(now, unixSeconds);
        REQUIRE(calls.size() == 1);
        REQUIRE_FALSE(calls.front().isWrite);
        bucket = calls.front().bucket;
    }

    Time now = Time() + seconds(100);
    ClaimRegistry registry;
    int bucket = 0;
};

} // namespace

TEST_SUITE_BEGIN("entries of claims");

TEST_CASE("a bucket that another writer has damaged ends the process, or hides a claim")
{
    for (const std::string odd :
         { "7", "null", "[]", R"("claims")", "{\"claims\":", R"({"claims":7})", R"({"claims":[1]})",
           R"({"claims":{"key":7}})", R"({"claims":{"key":null}})",
           R"({"claims":{"key":{"vm":7}}})", R"({"claims":{"key":{"inc":"1"}}})",
           R"({"claims":{"key":{"state":"Done"}}})", R"({"claims":{"key":{"until":[]}}})",
           R"({"claims":{"key":{"body":{}}}})", R"({"era":"1","claims":{}})" }) {
        CAPTURE(odd);
        WaitingClaim claim;
        CHECK_FALSE(claim.registry.readDone(claim.bucket, 5, odd, claim.now));
        // Nothing is written over it, and the claim is refused in the end.
        CHECK(claim.registry.dueCalls(claim.now, unixSeconds).empty());
        const auto decisions = claim.registry.takeDecisions(claim.now + seconds(60));
        REQUIRE(decisions.size() == 1);
        CHECK(decisions.front().decision.verdict == ClaimVerdict::Unavailable);
        // It is read again, and the claim of a sound bucket proceeds.
        claim.registry.begin("vm-1", claimOf("key"), claim.now + seconds(60));
        const auto calls = claim.registry.dueCalls(claim.now + seconds(60), unixSeconds);
        REQUIRE(calls.size() == 1);
        CHECK_FALSE(calls.front().isWrite);
        CHECK(claim.registry.readDone(claim.bucket, 6, "{}", claim.now + seconds(60)));
    }
}

TEST_CASE("a bucket that does not exist, or has no claims, is taken for a damaged one")
{
    for (const std::string value : { "", "{}", R"({"era":1,"claims":{}})" }) {
        CAPTURE(value);
        WaitingClaim claim;
        CHECK(claim.registry.readDone(claim.bucket, value.empty() ? 0 : 5, value, claim.now));
        const auto calls = claim.registry.dueCalls(claim.now, unixSeconds);
        REQUIRE(calls.size() == 1);
        CHECK(calls.front().isWrite);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
