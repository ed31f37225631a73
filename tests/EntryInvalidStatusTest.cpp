#include "EntryUpstream.h"

#include <doctest/doctest.h>

#include <string>

namespace basildeck::test {

namespace {

std::string response(const std::string &statusLine)
{
    return statusLine + "\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

TEST_SUITE_BEGIN("invalid status at entry");

TEST_CASE("an upstream's status 000 reaches the caller through entry")
{
    for (const std::string status : { "000", "099", "100", "103", "20", "600", "101", "2000",
                                      "0200", "+200", "-01", "20x", "200X OK", "" }) {
        for (const std::string method : { "GET", "HEAD" }) {
            CAPTURE(status);
            CAPTURE(method);
            const EntryOutcome outcome
                    = respondToEntry({ { response("HTTP/1.1 " + status) }, method });
            CHECK_FALSE(outcome.status);
            CHECK(outcome.body.empty());
            CHECK(outcome.attemptResult == AttemptResult::InvalidResponse);
        }
    }
}

TEST_CASE("entry refuses a status without a reason")
{
    for (const std::string line : { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 299 OK",
                                    "HTTP/1.1 404 Not Found", "HTTP/1.1 599 -" }) {
        CAPTURE(line);
        const EntryOutcome outcome = respondToEntry({ { response(line) } });
        CHECK(outcome.status == std::stoi(line.substr(9)));
        CHECK(outcome.body == "body");
        CHECK(outcome.attemptResult == AttemptResult::Complete);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
