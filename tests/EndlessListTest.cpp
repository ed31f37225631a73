#include "LogCapture.h"
#include "ScriptedStore.h"
#include "edge/ObjectReplica.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace basildeck::test {

namespace {

constexpr const char *firstCall = "GET /api/objects/servers HTTP/1.1";

std::string callAfter(const std::string &name)
{
    return "GET /api/objects/servers?after=" + name + " HTTP/1.1";
}

std::string entry(const std::string &name)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":1},"spec":{}})";
}

// A replica whose lists the test scripts, page by page.
class ListedReplica
{
public:
    ListedReplica()
        : m_store(m_loop)
        , m_protocol(platform::objectProtocol())
        , m_replica(m_loop, m_protocol, m_store.address(), "servers",
                    { [](const StoredObject &) {}, [](const std::string &) {}, [] {}, [](bool) {} })
    {
        m_replica.start();
    }

    std::string awaitRequest() { return m_store.awaitRequest(); }
    void respond(const std::string &items, bool hasMore)
    {
        m_store.respond(200, R"({"items":[)" + items + R"(],"more":)" + (hasMore ? "true" : "false")
                                     + R"(,"store_revision":9})");
    }
    void forgetHistory() { m_store.respond(410, "{}"); }
    const ObjectReplica &replica() const { return m_replica; }

    std::string names() const
    {
        std::string names;
        for (const auto &[name, object] : m_replica.objects())
            names += name + " ";
        return names;
    }

private:
    EventLoop m_loop;
    ScriptedStore m_store;
    ObjectProtocol m_protocol;
    ObjectReplica m_replica;
};

} // namespace

TEST_SUITE_BEGIN("endless list");

TEST_CASE("a list that returns to an earlier page is requested at once, without end and a log line")
{
    for (const bool isSamePage : { true, false }) {
        CAPTURE(isSamePage);
        const LogCapture log;
        ListedReplica vm;
        CHECK(vm.awaitRequest() == firstCall);
        vm.respond(entry("a"), true);
        CHECK(vm.awaitRequest() == callAfter("a"));
        if (!isSamePage) {
            vm.respond(entry("b"), true);
            CHECK(vm.awaitRequest() == callAfter("b"));
        }
        const Time answeredAt = Clock::now();
        vm.respond(entry("a"), true);
        REQUIRE(vm.awaitRequest() == firstCall);
        CHECK(Clock::now() - answeredAt >= ObjectReplica::initialBackoff);
        CHECK_FALSE(vm.replica().isReachable());
        CHECK_FALSE(log.line({ "does not come to an end", "kind=servers", "after=a", "listed=" })
                            .empty());
        vm.respond(entry("a"), true);
        CHECK(vm.awaitRequest() == callAfter("a"));
        vm.respond(entry("b"), false);
        CHECK(vm.awaitRequest().find("?watch=9&") != std::string::npos);
        CHECK(vm.names() == "a b ");
    }
}

TEST_CASE("entries behind a page on which no name can be read are taken as deleted")
{
    for (const std::string odd :
         { R"({"metadata":{"name":7,"revision":8},"spec":{}})", R"({"metadata":7})", "7", "" }) {
        CAPTURE(odd);
        const LogCapture log;
        ListedReplica vm;
        vm.awaitRequest();
        vm.respond(entry("a") + "," + entry("z"), false);
        vm.awaitRequest();
        vm.forgetHistory();
        CHECK(vm.awaitRequest() == firstCall);
        vm.respond(entry("a"), true);
        CHECK(vm.awaitRequest() == callAfter("a"));
        vm.respond(odd, true);
        REQUIRE(vm.awaitRequest() == firstCall);
        CHECK(vm.names() == "a z ");
        CHECK_FALSE(log.line({ "does not come to an end", "kind=servers" }).empty());
    }
}

TEST_CASE("a list does not continue after an entry of which only the name can be read")
{
    const std::vector<std::pair<std::string, std::string>> odds = {
        { R"({"metadata":{"name":"b 1","revision":"8"},"spec":{}})", "b%201" },
        { R"({"metadata":{"name":"b\u0001"},"spec":{}})", "b%01" },
        { "{\"metadata\":{\"name\":\"b\xff\",\"revision\":8},\"spec\":{}}", "b%FF" },
        { "{\"metadata\":{\"name\":\"b\",\"revision\":8},\"spec\":\"\xff\"}", "b" },
    };
    for (const auto &[odd, after] : odds) {
        CAPTURE(odd);
        ListedReplica vm;
        vm.awaitRequest();
        vm.respond(entry("a"), true);
        CHECK(vm.awaitRequest() == callAfter("a"));
        vm.respond(odd, true);
        REQUIRE(vm.awaitRequest() == callAfter(after));
        vm.respond(entry("z"), false);
        CHECK(vm.awaitRequest().find("?watch=9&") != std::string::npos);
        CHECK(vm.replica().objects().contains("a"));
        CHECK(vm.replica().objects().contains("z"));
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
