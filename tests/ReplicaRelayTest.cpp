#include "edge/ReplicaRelay.h"

#include "core/Gzip.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// The replicas of one VM, without a store.
struct Vm
{
    explicit Vm(EventLoop &loop)
        : protocol(platform::objectProtocol())
        , relay(loop, replicas)
    {
        replicas.push_back(std::make_unique<ObjectReplica>(
                loop, protocol, Address{ "127.0.0.1", 1 }, "servers",
                ObjectReplica::Callbacks{
                        [this](const StoredObject &object) { events += "+" + object.name + " "; },
                        [this](const std::string &name) { events += "-" + name + " "; },
                        [this] { relay.publish(); }, [](bool) {} }));
    }

    ObjectReplica &servers() { return *replicas.front(); }

    ObjectProtocol protocol;
    std::vector<std::unique_ptr<ObjectReplica>> replicas;
    ReplicaRelay relay;
    std::string events;
};

// The response to one request.
struct Response
{
    ResponseSink sink()
    {
        return { [this](const std::string &text) { head = text; },
                 [this](std::string_view bytes) { body += bytes; },
                 [this](bool) { isComplete = true; }, [](bool) {}, [] { return false; } };
    }

    std::string head;
    std::string body;
    bool isComplete = false;
};

std::string query(const Vm &follower, milliseconds wait)
{
    return ReplicaRelay::requestPath(follower.replicas, wait).substr(ReplicaRelay::path.size());
}

ObjectChange stored(const std::string &name, std::uint64_t revision)
{
    return { { name, revision, nlohmann::json{ { "slots", revision } } }, false };
}

ObjectChange deleted(const std::string &name, std::uint64_t revision)
{
    return { { name, revision, nullptr }, true };
}

} // namespace

TEST_SUITE_BEGIN("replica relay");

TEST_CASE("a new follower receives all objects, and then only changes")
{
    EventLoop loop;
    Vm source(loop);
    Vm follower(loop);
    source.servers().adoptSnapshot({ { "a", { "a", 5, 1 } }, { "b", { "b", 7, 2 } } }, { 0, 10 });
    source.relay.setServing(true);

    Response first;
    CHECK(source.relay.handle(query(follower, milliseconds(0)), first.sink()) == 0);
    REQUIRE(first.isComplete);
    CHECK(ReplicaRelay::apply(first.body, follower.replicas));
    CHECK(follower.events == "+a +b ");
    CHECK(follower.servers().version().revision == 10);

    follower.events.clear();
    Response second;
    CHECK(source.relay.handle(query(follower, seconds(1)), second.sink()) != 0);
    CHECK_FALSE(second.isComplete);
    source.servers().adoptChanges({ stored("c", 11), deleted("a", 12) }, { 0, 12 });
    REQUIRE(second.isComplete);
    CHECK(second.body.find("\"b\"") == std::string::npos);
    CHECK(ReplicaRelay::apply(second.body, follower.replicas));
    CHECK(follower.events == "+c -a ");
    CHECK(follower.servers().version().revision == 12);
}

TEST_CASE("a list that replaces the replica reaches followers as changes")
{
    EventLoop loop;
    Vm source(loop);
    Vm follower(loop);
    source.servers().adoptSnapshot({ { "a", { "a", 5, 1 } }, { "b", { "b", 7, 2 } } }, { 0, 10 });
    source.relay.setServing(true);
    Response first;
    source.relay.handle(query(follower, milliseconds(0)), first.sink());
    ReplicaRelay::apply(first.body, follower.replicas);
    source.servers().adoptSnapshot({ { "b", { "b", 7, 2 } }, { "c", { "c", 15, 3 } } }, { 0, 20 });
    follower.events.clear();
    Response second;
    source.relay.handle(query(follower, milliseconds(0)), second.sink());
    CHECK(second.body.find("objects") == std::string::npos);
    CHECK(ReplicaRelay::apply(second.body, follower.replicas));
    CHECK(follower.events == "-a +c ");
}

// After a restart, a server that had left must not be in use again because a relay is behind.
// The relay listed again after a lost change history, and knew another revision of the object, or
// never knew it.
TEST_CASE("a deleted object stays at a follower that was ahead of its relay")
{
    for (const bool isKnown : { true, false }) {
        CAPTURE(isKnown);
        EventLoop loop;
        Vm source(loop);
        Vm follower(loop);
        std::map<std::string, StoredObject> known{ { "b", { "b", 4, 1 } } };
        if (isKnown)
            known["a"] = { "a", 5, 1 };
        source.servers().adoptSnapshot(known, { 0, 10 });
        follower.servers().adoptSnapshot({ { "a", { "a", 20, 2 } }, { "b", { "b", 4, 1 } } },
                                         { 0, 20 });
        source.relay.setServing(true);
        source.servers().adoptSnapshot({ { "b", { "b", 4, 1 } } }, { 0, 30 });

        Response response;
        source.relay.handle(query(follower, milliseconds(0)), response.sink());
        CHECK(ReplicaRelay::apply(response.body, follower.replicas));
        CHECK(follower.servers().version().revision == 30);
        CHECK_FALSE(follower.servers().objects().contains("a"));
        CHECK(follower.servers().objects().contains("b"));
    }
}

TEST_CASE("changes of a relay that is behind the follower are ignored")
{
    EventLoop loop;
    Vm source(loop);
    Vm follower(loop);
    source.servers().adoptSnapshot({ { "a", { "a", 5, 1 } } }, { 0, 10 });
    follower.servers().adoptSnapshot({ { "b", { "b", 15, 1 } } }, { 0, 20 });
    source.relay.setServing(true);
    Response stale;
    source.relay.handle("wait_ms=0&servers=0", stale.sink());
    follower.events.clear();
    CHECK(ReplicaRelay::apply(stale.body, follower.replicas));
    CHECK(follower.events.empty());
    CHECK(follower.servers().version().revision == 20);
}

TEST_CASE("a VM that does not reach the store refuses followers, also those that wait")
{
    EventLoop loop;
    Vm source(loop);
    Response refused;
    CHECK(source.relay.handle("wait_ms=0&servers=0", refused.sink()) == 0);
    CHECK(refused.head.starts_with("HTTP/1.1 503"));
    source.relay.setServing(true);
    Response waiting;
    CHECK(source.relay.handle("wait_ms=1000&servers=0", waiting.sink()) != 0);
    source.relay.setServing(false);
    CHECK(waiting.head.starts_with("HTTP/1.1 503"));
}

TEST_CASE("a follower that disconnected receives no response")
{
    EventLoop loop;
    Vm source(loop);
    source.relay.setServing(true);
    Response gone;
    const auto id = source.relay.handle("wait_ms=1000&servers=0", gone.sink());
    source.relay.cancel(id);
    source.servers().adoptSnapshot({ { "a", { "a", 5, 1 } } }, { 0, 10 });
    CHECK_FALSE(gone.isComplete);
}

TEST_CASE("a relay that has not seen the new era does not take its followers back")
{
    EventLoop loop;
    Vm source(loop);
    Vm follower(loop);
    source.servers().adoptSnapshot({ { "a", { "a", 5, 1 } } }, { 1, 20 });
    source.relay.setServing(true);
    Response before;
    source.relay.handle(query(follower, milliseconds(0)), before.sink());
    follower.servers().adoptSnapshot({ { "b", { "b", 8, 1 } } }, { 2, 9 });
    CHECK(ReplicaRelay::apply(before.body, follower.replicas));
    CHECK(follower.servers().version() == StoreVersion{ 2, 9 });
    CHECK(follower.servers().objects().contains("b"));

    // The relay does not know the follower's era.
    Response behind;
    source.relay.handle(query(follower, milliseconds(0)), behind.sink());
    CHECK(behind.body == "{}");

    // A VM of the earlier era gets all objects of the new one, although its revision is higher.
    Response after;
    follower.relay.setServing(true);
    follower.relay.handle(query(source, seconds(1)), after.sink());
    CHECK(ReplicaRelay::apply(after.body, source.replicas));
    CHECK(source.servers().version() == StoreVersion{ 2, 9 });
    CHECK(source.servers().objects().size() == 1);
    CHECK(source.servers().objects().contains("b"));
}

TEST_CASE("changes of an earlier era are not applied to a replica that has seen a new one")
{
    EventLoop loop;
    Vm vm(loop);
    vm.servers().adoptSnapshot({ { "a", { "a", 5, 1 } } }, { 1, 20 });
    vm.servers().raiseEra(2);
    vm.servers().adoptChanges({ stored("b", 21) }, { 1, 21 });
    CHECK_FALSE(vm.servers().adoptSnapshot({}, { 1, 22 }));
    CHECK(vm.servers().objects().size() == 1);
    CHECK(vm.servers().isOfEarlierEra());
    CHECK(vm.servers().adoptSnapshot({ { "c", { "c", 2, 1 } } }, { 2, 3 }));
    CHECK_FALSE(vm.servers().isOfEarlierEra());
    CHECK_FALSE(vm.servers().changesSince({ 1, 20 }).has_value());
    CHECK(vm.servers().changesSince({ 2, 3 })->empty());
}

// The response of a build that states no confirmations.
constexpr const char *earlierResponse
        = R"({"servers":{"changes":[{"content":{"slots":11},"deleted":false,"name":"c",)"
          R"("revision":11}],"era":0,"revision":12}})";

TEST_CASE("a relay states how long ago the store confirmed its replicas")
{
    EventLoop loop;
    Vm source(loop);
    Vm follower(loop);
    const StoredObject object{ "a", 5, 1 };
    for (Vm *vm : { &source, &follower })
        vm->servers().adoptSnapshot({ { "a", object } }, { 0, 10 });
    const std::string request = query(follower, milliseconds(0));
    source.relay.setServing(true);
    source.servers().adoptChanges({ stored("c", 11) }, { 0, 12 });
    Response unknown;
    source.relay.handle(request, unknown.sink());
    CHECK(unknown.body == earlierResponse);

    const Duration age = seconds(30);
    source.servers().confirm({ 0, 12 }, loop.now() - age);
    for (const bool isCatchUp : { false, true }) {
        CAPTURE(isCatchUp);
        Vm behind(loop);
        behind.servers().adoptSnapshot({ { "a", object } }, { 0, 10 });
        Response response;
        if (isCatchUp)
            source.relay.handleCatchUp(request, response.sink());
        else
            source.relay.handle(request, response.sink());
        const Time now = loop.now();
        CHECK(ReplicaRelay::apply(response.body, behind.replicas, now));
        CHECK(behind.events == "+a +c ");
        REQUIRE(behind.servers().confirmedAt());
        CHECK(now - *behind.servers().confirmedAt() >= age);
        CHECK(now - *behind.servers().confirmedAt() < age + seconds(10));
        // Earlier builds read the values of the kinds only.
        auto known = nlohmann::json::parse(response.body);
        CHECK(known.erase(std::string(ReplicaRelay::confirmedKey)) == 1);
        CHECK(known.dump() == earlierResponse);
    }
}

TEST_CASE("the response of a relay that states no confirmations is applied, and confirms nothing")
{
    EventLoop loop;
    Vm follower(loop);
    follower.servers().adoptSnapshot({ { "a", { "a", 5, 1 } } }, { 0, 10 });
    CHECK(ReplicaRelay::apply(earlierResponse, follower.replicas, loop.now()));
    CHECK(follower.servers().version() == StoreVersion{ 0, 12 });
    CHECK_FALSE(follower.servers().confirmedAt());
}

TEST_CASE("only a confirmation of a version that the follower has counts")
{
    EventLoop loop;
    Vm follower(loop);
    follower.servers().adoptSnapshot({ { "a", { "a", 5, 1 } } }, { 1, 10 });
    for (const char *confirmation :
         { R"({"servers":{"era":1,"revision":11,"age_ms":0}})",
           R"({"servers":{"era":2,"revision":1,"age_ms":0}})",
           R"({"servers":{"era":1,"revision":10}})", R"({"servers":1})", "1", "[]",
           R"({"servers":{"era":1,"revision":10,"age_ms":-1}})",
           R"({"servers":{"era":1,"revision":10,"age_ms":18446744073709551615}})" }) {
        CAPTURE(confirmation);
        CHECK(ReplicaRelay::apply(R"({"=confirmed":)" + std::string(confirmation) + "}",
                                  follower.replicas, loop.now()));
        CHECK_FALSE(follower.servers().confirmedAt());
    }
    const std::string valid = R"({"=confirmed":{"servers":{"era":1,"revision":9,"age_ms":7}}})";
    CHECK(ReplicaRelay::apply(valid, follower.replicas));
    CHECK_FALSE(follower.servers().confirmedAt());
    CHECK(ReplicaRelay::apply(valid, follower.replicas, loop.now()));
    CHECK(follower.servers().confirmedAge() >= milliseconds(7));
}

// Guards against a relay that is busy for seconds because it formats the whole configuration for
// each of its followers.
TEST_CASE("a large object is formatted for each follower")
{
    EventLoop loop;
    Vm source(loop);
    Vm small(loop);
    StoredObject large{ "a", 11, std::string(5 * ObjectTexts::minBytes, 'x') };
    source.servers().adoptSnapshot({ { "a", { "a", 5, 1 } }, { "b", { "b", 7, 2 } } }, { 0, 10 });
    small.servers().adoptSnapshot(source.servers().objects(), { 0, 10 });
    source.relay.setServing(true);
    source.servers().adoptChanges({ { large, false } }, { 0, 11 });
    for (const bool acceptsGzip : { false, true }) {
        CAPTURE(acceptsGzip);
        for (const bool isNew : { false, true }) {
            CAPTURE(isNew);
            Vm follower(loop);
            if (!isNew)
                follower.servers().adoptSnapshot(small.servers().objects(), { 0, 10 });
            Response response;
            source.relay.handle(query(follower, milliseconds(0)), response.sink(), acceptsGzip);
            CHECK(acceptsGzip
                  == (response.head.find("Content-Encoding: gzip\r\n") != std::string::npos));
            CHECK(acceptsGzip == (response.body.size() < ObjectTexts::minBytes));
            if (acceptsGzip)
                response.body = gunzip(response.body, 1'000'000).value();
            CHECK(ReplicaRelay::apply(response.body, follower.replicas));
            CHECK(follower.servers().objects().at("a").content == large.content);
            CHECK(follower.servers().version() == source.servers().version());
        }
    }
    CHECK(source.relay.formattedCount() == 1);

    // The same revision in another era is another state.
    large.content = std::string(5 * ObjectTexts::minBytes, 'y');
    source.servers().adoptSnapshot({ { "a", large } }, { 1, 12 });
    Response response;
    source.relay.handle(query(small, milliseconds(0)), response.sink());
    CHECK(ReplicaRelay::apply(response.body, small.replicas));
    CHECK(small.servers().objects().at("a").content == large.content);
    CHECK(source.relay.formattedCount() == 2);
}

// Guards against a VM that keeps each state that a large object had: 1,300 a day.
TEST_CASE("the contents of objects that were replaced are kept and sent")
{
    EventLoop loop;
    Vm source(loop);
    source.servers().adoptSnapshot({ { "b", { "b", 4, 1 } } }, { 0, 4 });
    source.servers().adoptChanges({ stored("a", 5) }, { 0, 5 });
    source.servers().adoptChanges({ stored("a", 6), stored("c", 7) }, { 0, 7 });
    source.servers().adoptChanges({ stored("a", 8), deleted("c", 9) }, { 0, 9 });
    const auto changes = source.servers().changesSince({ 0, 4 });
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().object == &source.servers().objects().at("a"));
    CHECK(changes->back().name == "c");
    CHECK(changes->back().object == nullptr);
    CHECK(source.servers().changesSince({ 0, 8 })->size() == 2);
    CHECK(source.servers().changesSince({ 0, 9 })->empty());
}

TEST_CASE("malformed requests and responses do no harm")
{
    EventLoop loop;
    Vm vm(loop);
    vm.relay.setServing(true);
    for (const char *malformed : { "", "&", "=", "wait_ms", "wait_ms=-1", "servers=x&&=5",
                                   "wait_ms=99999999999999999999" }) {
        CAPTURE(malformed);
        Response response;
        vm.relay.cancel(vm.relay.handle(malformed, response.sink()));
    }
    for (const char *malformed :
         { "", "[]", "{\"servers\":1}", "{\"servers\":{\"era\":0,\"revision\":\"x\"}}",
           "{\"servers\":{\"era\":\"x\",\"revision\":5,\"changes\":[]}}",
           "{\"servers\":{\"era\":0,\"revision\":5,\"changes\":[{\"name\":1}]}}" }) {
        CAPTURE(malformed);
        ReplicaRelay::apply(malformed, vm.replicas);
        CHECK(vm.servers().version().revision == 0);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
