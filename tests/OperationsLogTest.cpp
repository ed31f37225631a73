#include "EdgeFixture.h"
#include "LogCapture.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace basildeck::test {

using standin::readResponse;

namespace {

bool hasFields(const std::string &line, const std::vector<std::string> &fields)
{
    return std::all_of(fields.begin(), fields.end(), [&](const std::string &field) {
        return line.find(field + "=") != std::string::npos;
    });
}

} // namespace

TEST_SUITE_BEGIN("operations log");

TEST_CASE("a refusal by quota is logged with its reasons under the request id")
{
    const LogCapture log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(
            "GET /safe/ HTTP/1.1\r\nHost: gauge.example\r\nRequest-Id: over-1\r\n"
            "Api-Key: beta-key\r\n\r\n");
    REQUIRE(readResponse(*caller));
    const std::string line = log.line({ "request=over-1", "reason=over-rate" });
    CHECK(hasFields(line, { "organisation", "quota_part", "demand_per_s", "vms", "retry_after_ms",
                            "config_revision" }));
    CHECK(log.line({ "beta-key" }).empty());
}

TEST_CASE("a refusal by configuration is logged with the age of the configuration")
{
    const LogCapture log;
    EdgeFixture fixture;
    const ErrorKind unknown = ErrorKind::KeyUnknown;
    const auto refuse = [&](const std::string &id, const std::string &path,
                            const std::string &key) {
        auto caller = fixture.sendAsCaller("GET " + path + " HTTP/1.1\r\nHost: gauge.example\r\n"
                                           + "Request-Id: " + id + "\r\n" + key + "\r\n");
        REQUIRE(readResponse(*caller));
        return log.line({ "refused", "request=" + id });
    };
    const std::string wrongKey = "Api-Key: wrong\r\n";
    CHECK(refuse("u-1", "/safe/", wrongKey).find(" config_confirmed_ms=unknown")
          != std::string::npos);
    CHECK(fixture.setConfigAge(milliseconds(3999), seconds(4), unknown) == 0);
    CHECK(refuse("u-2", "/safe/", wrongKey).find(" config_confirmed_ms=3999") != std::string::npos);
    CHECK(fixture.setConfigAge(milliseconds(4001), seconds(4), unknown) == 0);
    CHECK(refuse("u-3", "/safe/", wrongKey).find(" config_confirmed_ms=4001") != std::string::npos);
    CHECK(hasFields(refuse("u-4", "/safe/", ""), { "config_confirmed_ms" }));
    CHECK(hasFields(refuse("u-5", "/nowhere/", wrongKey), { "config_confirmed_ms" }));
    CHECK_FALSE(
            hasFields(refuse("u-6", "/safe/", "Api-Key: beta-key\r\n"), { "config_confirmed_ms" }));
    CHECK(fixture.setConfigAge({}, seconds(4), unknown) == 1);
    CHECK(fixture.setConfigAge({}, seconds(4), ErrorKind::KeyMissing) == 1);
    CHECK(fixture.setConfigAge({}, seconds(4), ErrorKind::UnknownRoute) == 1);
}

TEST_CASE("a refusal for lack of slots logs the candidate targets and their load")
{
    const LogCapture log;
    EdgeFixture fixture(1, 1);
    auto running = fixture.sendAsCaller(EdgeFixture::request("GET", "/prompt/", "r1"));
    auto received = fixture.awaitRequest();
    auto refused = fixture.sendAsCaller(EdgeFixture::request("GET", "/prompt/", "full-1"));
    REQUIRE(readResponse(*refused));
    const std::string line = log.line({ "request=full-1", "reason=queue-full" });
    CHECK(hasFields(line, { "homes", "in_flight", "waiting", "wait_ms", "run_ms", "age_ms" }));
    CHECK(line.find("i-0") != std::string::npos);
}

TEST_CASE("a target failure and the resulting refusal are logged under the same request id")
{
    const LogCapture log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "lost-1", {}, "x"));
    auto received = fixture.awaitRequest();
    received.socket->resetOnClose();
    received.socket.reset();
    REQUIRE(readResponse(*caller));
    CHECK(hasFields(log.line({ "target failed", "request=lost-1", "how=lost" }),
                    { "target", "ran_ms" }));
    CHECK(hasFields(log.line({ "refused", "request=lost-1", "reason=upstream-lost", "status=502" }),
                    { "target", "sends", "age_ms" }));
}

TEST_CASE("a request that the shutdown ends is logged with its stages counted from SIGTERM")
{
    const LogCapture log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "cut-1"));
    auto received = fixture.awaitRequest();
    fixture.beginShutdown(ShutdownSchedule::make(Clock::now(), seconds(6)));
    fixture.endRequests();
    REQUIRE(readResponse(*caller));
    CHECK(hasFields(log.line({ "refused", "request=cut-1", "reason=upstream-timeout" }),
                    { "sigterm_connected_ms", "sigterm_received_ms", "sigterm_read_ms",
                      "sigterm_sent_ms", "sigterm_ended_ms" }));
}

TEST_CASE("a response is logged with its target, wait time and run time")
{
    const LogCapture log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "good-1"));
    auto received = fixture.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("good-1", "x"));
    REQUIRE(readResponse(*caller));
    CHECK(hasFields(log.waitForLine({ "answered", "request=good-1", "status=200" }),
                    { "target", "waited_ms", "ran_ms", "sends" }));
}

TEST_SUITE_END();

} // namespace basildeck::test
