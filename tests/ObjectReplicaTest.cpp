#include "edge/ObjectReplica.h"

#include "ScriptedStore.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// A replica with its own event loop, connected to a store whose responses the test scripts.
class ReplicaFixture
{
public:
    ReplicaFixture()
        : m_store(m_loop)
        , m_protocol(platform::objectProtocol())
        , m_replica(m_loop, m_protocol, m_store.address(), "servers",
                    { [this](const StoredObject &object) { m_events += "+" + object.name + " "; },
                      [this](const std::string &name) { m_events += "-" + name + " "; },
                      [this] { m_events += "."; },
                      [this](bool reachable) { m_events += reachable ? "up " : "down "; },
                      [this](const auto &) { m_events += "restored "; } })
    {
        m_replica.start();
    }

    std::string awaitRequest() { return m_store.awaitRequest(); }
    void respond(int status, const std::string &body, const std::string &era = "")
    {
        m_store.respond(status, body, era);
    }
    void closeConnection() { m_store.closeConnection(); }

    // Runs the loop until the expected amount of events was reported, and returns and clears them.
    std::string takeEvents(const std::string &expected)
    {
        for (int i = 0; i < 2000 && m_events.size() < expected.size(); ++i)
            m_store.runLoopOnce();
        return std::exchange(m_events, {});
    }

    ObjectReplica &replica() { return m_replica; }

private:
    EventLoop m_loop;
    ScriptedStore m_store;
    ObjectProtocol m_protocol;
    std::string m_events;
    ObjectReplica m_replica;
};

std::string objectJson(const std::string &name, int revision)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
           + R"(},"spec":{}})";
}

std::string listPage(const std::string &items, int revision, bool more = false)
{
    return R"({"items":[)" + items + R"(],"more":)" + (more ? "true" : "false")
           + R"(,"store_revision":)" + std::to_string(revision) + "}";
}

std::string changeEvent(const std::string &changed, bool deleted, int revision)
{
    return R"({"events":[{"object":)" + changed + R"(,"deleted":)" + (deleted ? "true" : "false")
           + R"(}],"store_revision":)" + std::to_string(revision) + "}";
}

constexpr const char *firstListRequest = "GET /api/objects/servers HTTP/1.1";

} // namespace

TEST_SUITE_BEGIN("object replica");

TEST_CASE("pages are merged, the watch starts at the first page's revision, changes are applied")
{
    ReplicaFixture fixture;
    CHECK(fixture.awaitRequest() == firstListRequest);
    fixture.respond(200, listPage(objectJson("a", 1), 5, true));
    CHECK(fixture.awaitRequest() == "GET /api/objects/servers?after=a HTTP/1.1");
    fixture.respond(200, listPage(objectJson("b", 2), 7));
    CHECK(fixture.awaitRequest() == "GET /api/objects/servers?watch=5&wait_ms=10000 HTTP/1.1");
    CHECK(fixture.takeEvents("up +a +b .") == "up +a +b .");
    fixture.respond(200, changeEvent(objectJson("a", 8), false, 8));
    CHECK(fixture.takeEvents("+a .") == "+a .");
    CHECK(fixture.awaitRequest() == "GET /api/objects/servers?watch=8&wait_ms=1000 HTTP/1.1");
    fixture.respond(200, changeEvent(objectJson("b", 9), true, 9));
    CHECK(fixture.takeEvents("-b .") == "-b .");
    CHECK(fixture.replica().lastChange().revision == 9);
    CHECK(fixture.awaitRequest().find("watch=9&") != std::string::npos);
    fixture.respond(200, R"({"events":[],"store_revision":12})");
    CHECK(fixture.awaitRequest() == "GET /api/objects/servers?watch=12&wait_ms=2000 HTTP/1.1");
    CHECK(fixture.replica().lastChange().revision == 9);
}

// Soak seed 129: the first watch after a change ended in a silence of the store, and all VMs sent a
// long one into it.
TEST_CASE("the second watch after a change is lost for long")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1), 5));
    CHECK(fixture.awaitRequest().find("watch=5&wait_ms=10000 ") != std::string::npos);
    for (const int change : { 6, 7 }) {
        fixture.respond(200, changeEvent(objectJson("a", change), false, change));
        for (const char *wait : { "1000", "2000", "4000", "8000", "10000" }) {
            CHECK(fixture.awaitRequest().find("&wait_ms=" + std::string(wait) + " ")
                  != std::string::npos);
            fixture.respond(200,
                            R"({"events":[],"store_revision":)" + std::to_string(change) + "}");
        }
        CHECK(fixture.awaitRequest().find("&wait_ms=10000 ") != std::string::npos);
    }
}

// Guards against incidents inc-c00f and inc-f5f5 on the grown sites: each starting VM announced the
// store's revision as that of the last change, so all other VMs fetched its snapshot of each kind.
TEST_CASE("after the first list, the last change is the revision of the newest object")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 7) + "," + objectJson("b", 2), 50));
    fixture.awaitRequest();
    CHECK(fixture.replica().version().revision == 50);
    CHECK(fixture.replica().lastChange().revision == 7);
    // An object missing from a later list was deleted, a change that no listed object reflects.
    fixture.respond(410, "{}");
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 7), 60));
    fixture.awaitRequest();
    CHECK(fixture.replica().lastChange().revision == 60);
}

TEST_CASE("a lost change history causes a new list, which removes missing objects")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1) + "," + objectJson("b", 2), 5));
    fixture.awaitRequest();
    fixture.takeEvents("up +a +b .");
    fixture.respond(410, "{}");
    CHECK(fixture.awaitRequest() == firstListRequest);
    fixture.respond(200, listPage(objectJson("b", 2) + "," + objectJson("c", 6), 9));
    CHECK(fixture.takeEvents("-a +c .") == "-a +c .");
}

TEST_CASE("failed calls and lost responses are retried and reported once")
{
    for (const int status : { 429, 503 }) {
        ReplicaFixture fixture;
        fixture.awaitRequest();
        fixture.respond(status, "{}");
        CHECK(fixture.awaitRequest() == firstListRequest);
        fixture.respond(200, "not json");
        CHECK(fixture.awaitRequest() == firstListRequest);
        fixture.closeConnection();
        CHECK(fixture.awaitRequest() == firstListRequest);
        fixture.respond(200, listPage(objectJson("a", 1), 5));
        CHECK(fixture.takeEvents("down up +a .") == "down up +a .");
    }
}

TEST_CASE("a snapshot is adopted only if it is newer, and an older response changes nothing")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1), 5));
    fixture.awaitRequest();
    fixture.takeEvents("up +a .");
    CHECK_FALSE(fixture.replica().adoptSnapshot({}, { 0, 5 }));
    CHECK(fixture.replica().adoptSnapshot({ { "b", { "b", 7, {} } } }, { 0, 8 }));
    CHECK(fixture.takeEvents("-a +b .") == "-a +b .");
    // The response to the pending watch is older than the adopted snapshot.
    fixture.respond(200, changeEvent(objectJson("a", 6), false, 6));
    CHECK(fixture.awaitRequest().find("watch=8&") != std::string::npos);
    CHECK(fixture.replica().objects().size() == 1);
    CHECK(fixture.replica().version().revision == 8);
}

TEST_CASE("a store that was restored from an older copy is listed again although its revision is "
          "lower")
{
    // The store may end the watch with any status, or respond as if it knew the revision.
    for (const int status : { 200, 410, 503 }) {
        CAPTURE(status);
        ReplicaFixture fixture;
        fixture.awaitRequest();
        fixture.respond(200, listPage(objectJson("a", 1) + "," + objectJson("b", 9), 9), "3");
        fixture.awaitRequest();
        fixture.takeEvents("up +a +b .");
        fixture.respond(status, changeEvent(objectJson("x", 10), false, 10), "4");
        CHECK(fixture.awaitRequest() == firstListRequest);
        fixture.respond(200, listPage(objectJson("a", 1) + "," + objectJson("c", 4), 5), "4");
        CHECK(fixture.awaitRequest().find("watch=5&") != std::string::npos);
        CHECK(fixture.replica().objects().size() == 2);
        CHECK(fixture.replica().objects().contains("c"));
        CHECK_FALSE(fixture.replica().objects().contains("x"));
        CHECK(fixture.takeEvents("restored .").find("restored .") != std::string::npos);
        CHECK(fixture.replica().version() == StoreVersion{ 4, 5 });
        CHECK(fixture.replica().lastChange() == StoreVersion{ 4, 4 });
        CHECK(fixture.replica().hasChangesSince({ 3, 9 }));
    }
}

TEST_CASE("a response of an earlier era changes nothing, and a missing or invalid era is none")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1), 5), "3");
    fixture.awaitRequest();
    fixture.respond(200, changeEvent(objectJson("b", 6), false, 6), "2");
    CHECK(fixture.awaitRequest().find("watch=5&") != std::string::npos);
    CHECK(fixture.replica().objects().size() == 1);
    fixture.respond(200, changeEvent(objectJson("c", 6), false, 6), "x3");
    CHECK(fixture.awaitRequest().find("watch=6&") != std::string::npos);
    fixture.respond(200, changeEvent(objectJson("d", 7), false, 7));
    CHECK(fixture.awaitRequest().find("watch=7&") != std::string::npos);
    CHECK(fixture.replica().objects().size() == 3);
    CHECK(fixture.replica().version() == StoreVersion{ 3, 7 });
}

TEST_CASE("pages of different eras are not merged")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1), 5, true), "3");
    CHECK(fixture.awaitRequest() == "GET /api/objects/servers?after=a HTTP/1.1");
    fixture.respond(200, listPage(objectJson("b", 2), 4), "4");
    CHECK(fixture.awaitRequest() == firstListRequest);
    fixture.respond(200, listPage(objectJson("b", 2), 4), "4");
    fixture.awaitRequest();
    CHECK(fixture.replica().objects().size() == 1);
    CHECK(fixture.replica().objects().contains("b"));
}

TEST_CASE("an era that another replica has seen ends the watch and lists again")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1), 5), "3");
    fixture.awaitRequest();
    fixture.replica().raiseEra(3);
    CHECK_FALSE(fixture.replica().isOfEarlierEra());
    fixture.replica().raiseEra(4);
    CHECK(fixture.replica().isOfEarlierEra());
    fixture.closeConnection();
    CHECK(fixture.awaitRequest() == firstListRequest);
}

TEST_CASE("lists and watches that the store answered confirm the replica, others do not")
{
    ReplicaFixture fixture;
    const auto now = [] { return std::chrono::steady_clock::now(); };
    fixture.awaitRequest();
    CHECK_FALSE(fixture.replica().confirmedAt());
    const Time listRequested = now();
    fixture.respond(200, listPage(objectJson("a", 1), 5));
    fixture.awaitRequest();
    const auto listed = fixture.replica().confirmedAt();
    REQUIRE(listed);
    CHECK(*listed <= listRequested);
    const Time watchRequested = now();
    fixture.respond(200, R"({"events":[],"store_revision":6})");
    fixture.awaitRequest();
    const auto watched = fixture.replica().confirmedAt();
    CHECK(watched >= watchRequested);
    fixture.respond(200, R"({"events":[],"store_revision":4})");
    fixture.awaitRequest();
    fixture.respond(503, "{}");
    CHECK(fixture.awaitRequest().find("&wait_ms=0 ") != std::string::npos);
    CHECK(fixture.replica().confirmedAt() == watched);
    // Read later than it was due.
    const Time due = now();
    fixture.respond(200, R"({"events":[],"store_revision":6})");
    fixture.awaitRequest();
    CHECK(fixture.replica().confirmedAt() > watched);
    CHECK(fixture.replica().confirmedAt() <= due);
    fixture.replica().confirm({ 0, 7 }, now());
    CHECK(fixture.replica().confirmedAt() <= due);
    fixture.replica().confirm({ 0, 6 }, now());
    CHECK(fixture.replica().confirmedAt() > due);
}

TEST_CASE("an older response of the same era does not cause calls in a tight loop")
{
    ReplicaFixture fixture;
    fixture.awaitRequest();
    fixture.respond(200, listPage(objectJson("a", 1), 5), "3");
    fixture.awaitRequest();
    const Time start = std::chrono::steady_clock::now();
    fixture.respond(200, R"({"events":[],"store_revision":4})", "3");
    CHECK(fixture.awaitRequest().find("watch=5&") != std::string::npos);
    fixture.respond(410, "{}", "3");
    CHECK(fixture.awaitRequest() == firstListRequest);
    fixture.respond(200, listPage("", 4), "3");
    CHECK(fixture.awaitRequest().find("watch=5&") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - start >= ObjectReplica::initialBackoff * 3);
    CHECK(fixture.replica().objects().size() == 1);
}

TEST_SUITE_END();

} // namespace basildeck::test
