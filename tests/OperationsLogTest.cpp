#include "EdgeFixture.h"

#include <glog/logging.h>
// glog's CHECK ends the process.
#undef CHECK

#include <doctest/doctest.h>

#include <algorithm>
#include <mutex>
#include <thread>

namespace basildeck::test {

using standin::readAnswer;

namespace {

// Collects all log lines while it lives.
class CollectedLog final : public google::LogSink
{
public:
    CollectedLog()
    {
        for (const google::LogSeverity severity : { google::INFO, google::WARNING, google::ERROR })
            google::SetLogDestination(severity, "");
        FLAGS_minloglevel = google::INFO;
        FLAGS_stderrthreshold = google::FATAL;
        google::AddLogSink(this);
    }
    ~CollectedLog() override
    {
        google::RemoveLogSink(this);
        FLAGS_minloglevel = google::FATAL;
    }

    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &,
              const char *message, size_t length) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_lines.emplace_back(message, length);
    }

    // Like line(), but waits a while for it: an answer may arrive before its line is written.
    std::string awaitLine(const std::vector<std::string> &words) const
    {
        std::string found = line(words);
        for (int i = 0; i < 1'000'000 && found.empty(); ++i) {
            std::this_thread::yield();
            found = line(words);
        }
        return found;
    }

    // The line that has all of the words; empty if there is none.
    std::string line(const std::vector<std::string> &words) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::string &text : m_lines) {
            const bool hasAll = std::all_of(words.begin(), words.end(), [&](const std::string &w) {
                return text.find(w) != std::string::npos;
            });
            if (hasAll)
                return text;
        }
        return {};
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

bool has(const std::string &line, const std::vector<std::string> &fields)
{
    return std::all_of(fields.begin(), fields.end(), [&](const std::string &field) {
        return line.find(field + "=") != std::string::npos;
    });
}

} // namespace

TEST_SUITE_BEGIN("operations log");

TEST_CASE("a refusal by quota is explained under its request id")
{
    const CollectedLog log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(
            "GET /safe/ HTTP/1.1\r\nHost: gauge.example\r\nRequest-Id: over-1\r\n"
            "Api-Key: beta-key\r\n\r\n");
    REQUIRE(readAnswer(*caller));
    const std::string line = log.line({ "request=over-1", "reason=over-rate" });
    CHECK(has(line, { "organisation", "quota_part", "demand_per_s", "vms", "retry_after_ms",
                      "config_revision" }));
    CHECK(log.line({ "beta-key" }).empty());
}

TEST_CASE("a refusal for want of slots names the homes and what was known of them")
{
    const CollectedLog log;
    EdgeFixture fixture(1, 1);
    auto running = fixture.sendAsCaller(EdgeFixture::request("GET", "/prompt/", "r1"));
    auto at = fixture.awaitRequest();
    auto refused = fixture.sendAsCaller(EdgeFixture::request("GET", "/prompt/", "full-1"));
    REQUIRE(readAnswer(*refused));
    const std::string line = log.line({ "request=full-1", "reason=queue-full" });
    CHECK(has(line, { "homes", "in_flight", "waiting", "wait_ms", "run_ms", "age_ms" }));
    CHECK(line.find("i-0") != std::string::npos);
}

TEST_CASE("a target's fault and the answer that follows share the request id")
{
    const CollectedLog log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "lost-1", {}, "x"));
    auto at = fixture.awaitRequest();
    at.socket->resetOnClose();
    at.socket.reset();
    REQUIRE(readAnswer(*caller));
    CHECK(has(log.line({ "target failed", "request=lost-1", "how=lost" }), { "target", "ran_ms" }));
    CHECK(has(log.line({ "refused", "request=lost-1", "reason=upstream-lost", "status=502" }),
              { "target", "sends", "age_ms" }));
}

TEST_CASE("an answer names its target, its wait and its run")
{
    const CollectedLog log;
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "good-1"));
    auto at = fixture.awaitRequest();
    at.socket->send(EdgeFixture::sealedResponse("good-1", "x"));
    REQUIRE(readAnswer(*caller));
    CHECK(has(log.awaitLine({ "answered", "request=good-1", "status=200" }),
              { "target", "waited_ms", "ran_ms", "sends" }));
}

TEST_SUITE_END();

} // namespace basildeck::test
