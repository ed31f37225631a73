#include "edge/FleetView.h"

#include "ScriptedStore.h"
#include "edge/ReplicaRelay.h"
#include "platform/PlatformFormat.h"
#include "store/JsonSlices.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace basildeck::test {

namespace {

constexpr std::size_t extremeDepth = 500'000;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nestedObjects(std::size_t depth)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i)
        text += "{\"a\":";
    return text + "0" + std::string(depth, '}');
}

std::string entry(const std::string &name, int revision, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
           + R"(},"spec":)" + spec + "}";
}

// The content of a target's entry, with a field before those of a usable target.
std::string targetSpec(const std::string &oddField = {}, const std::string &slots = "4",
                       const std::string &port = "8080")
{
    return "{" + oddField + R"("service":"gauge","address":"10.0.0.9:)" + port
           + R"(","zone":"z1","slots":)" + slots + R"(,"state":"ready","born":1})";
}

// Entries of the name "odd" that name no target.
std::vector<std::string> oddEntries()
{
    return {
        entry("odd", 8, targetSpec(R"("x":1e999,)")),
        entry("odd", 8, targetSpec(R"("x":)" + nested(extremeDepth) + ",")),
        entry("odd", 8, targetSpec(R"("x":)" + nestedObjects(150'000) + ",")),
        entry("odd", 8, targetSpec("\"x\":\"\xff\xc0\",")),
        entry("odd", 8, targetSpec({}, "4294967297")),
        entry("odd", 8, targetSpec({}, "99999999999999999999999")),
        entry("odd", 8, targetSpec({}, "-1")),
        entry("odd", 8, targetSpec({}, "\"4\"")),
        entry("odd", 8, targetSpec({}, "4", "0")),
        entry("odd", 8, targetSpec({}, "4", "65536")),
        entry("odd", 8, targetSpec({}, "4", "99999999999999999999")),
        entry("odd", 8, "7"),
        entry("odd", 8, "null"),
        R"({"metadata":{"name":"odd","revision":8}})",
        R"({"spec":{}})",
        R"({"metadata":{"name":"odd","revision":"8"},"spec":{}})",
        R"({"metadata":{"name":"odd","revision":-8},"spec":{}})",
        R"({"metadata":{"name":7,"revision":8},"spec":{}})",
        R"({"metadata":7,"spec":{}})",
        "7",
        nested(extremeDepth),
    };
}

std::string page(const std::string &items, int revision)
{
    return R"({"items":[)" + items + R"(],"more":false,"store_revision":)"
           + std::to_string(revision) + "}";
}

std::string listOf(const std::string &middle)
{
    return page(entry("a", 1, targetSpec()) + "," + middle + "," + entry("z", 2, targetSpec()), 9);
}

// A replica of the targets whose usable ones the test sees.
class TargetReplica
{
public:
    TargetReplica()
        : store(m_loop)
        , m_protocol(platform::objectProtocol())
        , m_format(platform::fleetObjectFormat())
    {
        ObjectReplica::Callbacks callbacks{
            [this](const StoredObject &object) {
                m_usable.erase(object.name);
                if (m_format.parseTarget(object))
                    m_usable.insert(object.name);
            },
            [this](const std::string &name) { m_usable.erase(name); },
            [] {},
            [](bool) {},
        };
        m_replicas.push_back(std::make_unique<ObjectReplica>(m_loop, m_protocol, store.address(),
                                                             "servers", std::move(callbacks)));
    }

    // The names of the usable targets.
    std::string usable() const
    {
        std::string names;
        for (const std::string &name : m_usable)
            names += name + " ";
        return names;
    }
    const std::vector<std::unique_ptr<ObjectReplica>> &replicas() const { return m_replicas; }
    ObjectReplica &replica() { return *m_replicas.front(); }

private:
    EventLoop m_loop;

public:
    ScriptedStore store;

private:
    ObjectProtocol m_protocol;
    FleetObjectFormat m_format;
    std::set<std::string> m_usable;
    std::vector<std::unique_ptr<ObjectReplica>> m_replicas;
};

// What a relay sends to a follower that knows nothing.
std::string relayedSnapshot(const std::vector<std::unique_ptr<ObjectReplica>> &replicas)
{
    EventLoop loop;
    ReplicaRelay relay(loop, replicas);
    std::string body;
    relay.handleCatchUp("servers=0.0", { [](const std::string &) {},
                                         [&](std::string_view bytes) { body.append(bytes); },
                                         [](bool) {}, [](bool) {}, [] { return false; } });
    return body;
}

} // namespace

TEST_SUITE_BEGIN("odd entries");

TEST_CASE("an odd entry in a list costs others, or the followers of this VM")
{
    for (const std::string &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 120));
        TargetReplica vm;
        vm.replica().start();
        vm.store.awaitRequest();
        vm.store.respond(200, listOf(odd));
        CHECK(vm.store.awaitRequest().find("watch=9&") != std::string::npos);
        CHECK(vm.usable() == "a z ");
        TargetReplica follower;
        CHECK(ReplicaRelay::apply(relayedSnapshot(vm.replicas()), follower.replicas()));
        CHECK(follower.usable() == "a z ");
    }
}

TEST_CASE("an odd entry in a watch costs others, or names what it named before")
{
    for (const std::string &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 120));
        const bool isNamed = odd.find(R"("name":"odd","revision":8)") != std::string::npos;
        TargetReplica vm;
        vm.replica().start();
        vm.store.awaitRequest();
        vm.store.respond(200, page(entry("odd", 1, targetSpec()), 1));
        vm.store.awaitRequest();
        CHECK(vm.usable() == "odd ");
        vm.store.respond(200, R"({"events":[{"object":)" + odd + R"(,"deleted":false},{"object":)"
                                      + entry("b", 9, targetSpec())
                                      + R"(,"deleted":false}],"store_revision":9})");
        CHECK(vm.store.awaitRequest().find("watch=9&") != std::string::npos);
        CHECK(vm.usable() == (isNamed ? "b " : "b odd "));
        // A new list says the same, and ends what has no name any more.
        vm.store.respond(410, "{}");
        vm.store.awaitRequest();
        vm.store.respond(200, listOf(odd));
        vm.store.awaitRequest();
        CHECK(vm.usable() == "a z ");
    }
}

TEST_CASE("an entry that an earlier build passes on is nested too deeply to be copied")
{
    TargetReplica follower;
    const std::string body
            = R"({"servers":{"era":0,"revision":9,"objects":[{"name":"a","revision":1,"content":)"
              + targetSpec() + R"(},{"name":"odd","revision":8,"content":{"x":)"
              + nested(extremeDepth) + R"(}}]}})";
    CHECK(ReplicaRelay::apply(body, follower.replicas()));
    CHECK(follower.usable() == "a ");
}

TEST_CASE("an odd configuration is taken in part")
{
    const std::string oddRoute
            = R"({"name":"r","host":"h","path_prefix":"/a/","service":"s","type":"safe")";
    for (const char *rest :
         { R"(,"timeout":"1e99s"})", R"(,"timeout":"nans"})", R"(,"timeout":"1s","attempts":1e10})",
           R"(,"timeout":"1s","priority":4294967297})" }) {
        CAPTURE(rest);
        const auto content = nlohmann::json::parse(R"({"version":"1","services":[],"routes":[)"
                                                   + oddRoute + rest + "]}");
        CHECK_FALSE(platform::fleetObjectFormat().parseConfig({ "main", 1, content }));
    }
    const auto changes
            = platform::objectProtocol().parsePage(page(entry("main", 3, nested(extremeDepth)), 3));
    REQUIRE(changes);
    REQUIRE(changes.value().unreadable.size() == 1);
    CHECK(changes.value().unreadable.front().name == "main");
    CHECK_FALSE(platform::fleetObjectFormat().parseConfig(changes.value().objects.front()));
}

TEST_CASE("values that are not balanced are split")
{
    for (const char *text : { "", "{", "[1", "[1,", "[,]", "{\"a\"}", "{\"a\":}", "[\"x]", "[1}",
                              "[\"\\", "7", "[1] 2" }) {
        CAPTURE(text);
        CHECK_FALSE(splitJson(text));
    }
    const auto slices = splitJson(R"( { "a,]" : [ "}" , {"b":[]} ] , "c":"\\\"," } )");
    REQUIRE(slices);
    REQUIRE(slices->size() == 2);
    CHECK(slices->front().name == "a,]");
    CHECK(slices->front().depth == 3);
    CHECK(findSlice(*slices, "c")->text == R"("\\\",")");
    CHECK(findSlice(*slices, "b") == nullptr);
}

TEST_SUITE_END();

} // namespace basildeck::test
