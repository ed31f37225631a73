#include "EntryUpstream.h"
#include "InvalidHeads.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace basildeck::test {

namespace {

void checkRefused(const EntryScript &script)
{
    const EntryOutcome outcome = respondToEntry(script);
    CHECK_FALSE(outcome.status);
    CHECK(outcome.body.empty());
    REQUIRE(outcome.attemptResult);
    CHECK(*outcome.attemptResult != AttemptResult::Complete);
}

} // namespace

TEST_SUITE_BEGIN("invalid head at entry");

TEST_CASE("a response with an invalid field name reaches the caller through entry")
{
    const std::string length = "Content-Length: 4\r\n";
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        for (const std::string &fields : { line + "\r\n" + length, length + line + "\r\n" }) {
            CAPTURE(fields);
            const std::string bytes = "HTTP/1.1 200 OK\r\n" + fields + "\r\nbody";
            const std::size_t cut = bytes.find(line) + line.size() / 2;
            checkRefused({ { bytes } });
            checkRefused({ { bytes }, "HEAD" });
            checkRefused({ { bytes.substr(0, cut), bytes.substr(cut) } });
        }
    }
}

TEST_CASE("a folded value costs the response, or is passed on in two lines")
{
    const EntryOutcome outcome = respondToEntry(
            { { "HTTP/1.1 200 OK\r\nX-Odd: one\r\n two\r\nContent-Length: 4\r\n\r\nbody" } });
    CHECK(outcome.status == 200);
    CHECK(outcome.body == "body");
    CHECK(outcome.attemptResult == AttemptResult::Complete);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("early response at entry");

TEST_CASE("a part of a response that is reset during an upload reaches the caller of entry")
{
    constexpr std::size_t uploadBytes = 16UL * 1024 * 1024;
    const std::string part(1000, 'p');
    for (const std::string fields : { "", "Content-Length: 2000\r\n" }) {
        CAPTURE(fields);
        for (int round = 0; round < 20; ++round) {
            CAPTURE(round);
            const EntryOutcome outcome
                    = respondToEntry({ { "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + part },
                                       "POST",
                                       uploadBytes,
                                       true });
            CHECK(outcome.attemptResult == AttemptResult::ConnectionLost);
            // The end of the body is never left to the connection.
            CHECK((!outcome.status || outcome.isSelfDelimited == !fields.empty()));
        }
    }
}

TEST_CASE("a response that is slower than a step of libwebsockets is lost")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    const EntryOutcome outcome = respondToEntry({ .parts = { "", head, "body" },
                                                  .partGap = std::chrono::milliseconds(2000),
                                                  .loopTimeout = seconds(1) });
    CHECK(outcome.status == 200);
    CHECK(outcome.body == "body");
}

TEST_SUITE_END();

} // namespace basildeck::test
