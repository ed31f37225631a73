#include "store/StoreClient.h"

#include "InvalidHeads.h"
#include "LogCapture.h"
#include "http/LwsLoop.h"
#include "standin/RawSocket.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace basildeck::test {

namespace {

constexpr std::size_t extremeDepth = 500'000;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// Objects of another writer that name nothing to use.
std::vector<std::string> oddObjects()
{
    return {
        "7",
        "null",
        "[]",
        R"({"version":8,"value":{}})",
        R"({"name":7,"version":8,"value":{}})",
        R"({"name":"odd","version":"8","value":{}})",
        R"({"name":"odd","version":-8,"value":{}})",
        R"({"name":"odd","version":8,"deleted":"no","value":{}})",
        R"({"name":"odd","version":8,"value":1e999})",
        "{\"name\":\"odd\",\"version\":8,\"value\":\"\xff\"}",
        R"({"name":"odd","version":8,"value":)" + nested(extremeDepth) + "}",
        nested(extremeDepth),
    };
}

// Makes one call to a store that sends a response, and waits for its result.
class OneCall
{
public:
    OneCall()
        : m_listener(standin::RawListener::make("127.0.0.1", 0))
        , m_loop(LwsLoop::make({}))
        , client(StoreClient::make(*m_loop, { m_listener->address() }))
    {}
    // Destroying the loop closes its connections, which notify the client.
    ~OneCall() { m_loop.reset(); }

    void respond(const std::string &body, const std::function<bool()> &isDone,
                 const std::string &fields = {})
    {
        const std::jthread store([&] {
            const auto socket = m_listener->accept();
            if (socket && standin::readHead(*socket))
                socket->send("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body);
        });
        const Time deadline = Clock::now() + seconds(10);
        while (!isDone() && Clock::now() < deadline)
            m_loop->serviceOnce();
        m_listener->stop();
    }

private:
    std::unique_ptr<standin::RawListener> m_listener;
    std::unique_ptr<LwsLoop> m_loop;

public:
    std::unique_ptr<StoreClient> client;
};

std::optional<Result<StoreChanges>> watch(const std::string &body)
{
    OneCall call;
    std::optional<Result<StoreChanges>> result;
    call.client->watch("fleet", 1, milliseconds(0),
                       [&](Result<StoreChanges> changes) { result = std::move(changes); });
    call.respond(body, [&] { return result.has_value(); });
    return result;
}

std::optional<Result<StoredValue>> read(const std::string &body, const std::string &fields = {})
{
    OneCall call;
    std::optional<Result<StoredValue>> result;
    call.client->read("claims", "odd",
                      [&](Result<StoredValue> value) { result = std::move(value); });
    call.respond(
            body, [&] { return result.has_value(); }, fields);
    return result;
}

} // namespace

TEST_SUITE_BEGIN("store client");

TEST_CASE("an odd object in a watch ends the process, or costs the others")
{
    for (const std::string &odd : oddObjects()) {
        CAPTURE(odd.substr(0, 80));
        const LogCapture log;
        const auto changes
                = watch(R"({"version":9,"items":[{"name":"config","version":3,"value":{"a":1}},)"
                        + odd + R"(,{"name":"holders","version":4,"deleted":true,"value":null}]})");
        REQUIRE(changes);
        REQUIRE(*changes);
        CHECK(changes->value().version == 9);
        REQUIRE(changes->value().objects.size() == 2);
        CHECK(changes->value().objects[0].name == "config");
        CHECK(changes->value().objects[0].version == 3);
        CHECK(changes->value().objects[0].value == R"({"a":1})");
        CHECK(changes->value().objects[1].version == 0);
        CHECK(changes->value().objects[1].value.empty());
        CHECK_FALSE(log.line({ "store: ", "cannot be read", "kind=fleet" }).empty());
    }
}

TEST_CASE("an odd object that is read ends the process, or counts as one that does not exist")
{
    for (const std::string &odd : oddObjects()) {
        CAPTURE(odd.substr(0, 80));
        const LogCapture log;
        const auto value = read(odd);
        REQUIRE(value);
        CHECK_FALSE(*value);
        CHECK_FALSE(log.line({ "store: the response cannot be read" }).empty());
    }
    const auto value = read(R"({"name":"odd","version":8,"value":[1]})");
    REQUIRE(value);
    REQUIRE(*value);
    CHECK(value->value().version == 8);
    CHECK(value->value().value == "[1]");
}

TEST_CASE("an odd VM ends the process, or costs the others")
{
    for (const std::string odd : { "7", "null", R"({"name":7,"state":"live"})", R"({"name":"x"})",
                                   R"({"name":"x","state":{}})" }) {
        CAPTURE(odd);
        const LogCapture log;
        OneCall call;
        std::optional<Result<std::vector<ListedVm>>> result;
        call.client->listVms([&](Result<std::vector<ListedVm>> vms) { result = std::move(vms); });
        call.respond(R"({"items":[{"name":"vm-1","state":"live"},)" + odd
                             + R"(,{"name":"vm 2","state":"gone"}]})",
                     [&] { return result.has_value(); });
        REQUIRE(result);
        REQUIRE(*result);
        REQUIRE(result->value().size() == 2);
        CHECK(result->value()[0].name == "vm-1");
        CHECK(result->value()[1].state == "gone");
        CHECK_FALSE(log.line({ "store: ", "cannot be read" }).empty());
    }
}

TEST_CASE("a response of the store that is no answer ends the process")
{
    for (const std::string body :
         { R"({"version":"9","items":[]})", R"({"version":-9,"items":[]})", R"({"items":[]})",
           R"({"version":9,"items":7})", R"({"version":9})", "[]", "7", "" }) {
        CAPTURE(body);
        const auto changes = watch(body);
        REQUIRE(changes);
        CHECK_FALSE(*changes);
    }
    for (const std::string body : { R"({"version":"9"})", R"({"version":-1})", "{}", "[]", "" }) {
        CAPTURE(body);
        OneCall call;
        std::optional<Result<StoreVersion>> result;
        call.client->write("fleet", "config", 3, "{}",
                           [&](const Result<StoreVersion> &version) { result = version; });
        call.respond(body, [&] { return result.has_value(); });
        REQUIRE(result);
        REQUIRE_FALSE(*result);
        CHECK(result->error().kind == ErrorKind::StoreAnswerLost);
    }
}

TEST_CASE("a response of the store with an invalid field name is taken for an answer by entry")
{
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        const auto value = read(R"({"name":"odd","version":8,"value":[1]})", line + "\r\n");
        REQUIRE(value);
        CHECK_FALSE(*value);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
