#include "edge/ObjectReplica.h"

#include "platform/PlatformFormat.h"
#include "standin/RawSocket.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace basildeck::test {

namespace {

using standin::RawListener;
using standin::RawSocket;

// A replica on a loop of its own, against a store that the test plays call by call.
class ReplicaWorld
{
public:
    ReplicaWorld()
        : m_store(RawListener::make("127.0.0.1", 0))
        , m_protocol(platform::objectProtocol())
        , m_replica(m_loop, m_protocol, m_store->address(), "servers",
                    { [this](const StoredObject &object) { m_events += "+" + object.name + " "; },
                      [this](const std::string &name) { m_events += "-" + name + " "; },
                      [this] { m_events += "."; },
                      [this](bool reached) { m_events += reached ? "up " : "down "; } })
    {
        m_replica.start();
    }

    // Runs the loop until the store has a call, and returns its path and query.
    std::string nextCall()
    {
        if (!m_socket)
            m_socket = acceptWhileRunning();
        for (;;) {
            const auto &buffer = m_socket->buffer();
            const std::size_t end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                const std::string line = buffer.substr(0, buffer.find("\r\n"));
                m_socket->buffer().erase(0, end + 4);
                return line;
            }
            spin();
            m_socket->setTimeout(5);
            m_socket->receive();
        }
    }

    void answer(int status, const std::string &body)
    {
        m_socket->send("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: "
                       + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void closeConnection() { m_socket.reset(); }

    // Runs the loop until events have come, and takes them.
    std::string events(const std::string &expected)
    {
        for (int i = 0; i < 2000 && m_events.size() < expected.size(); ++i)
            spin();
        return std::exchange(m_events, {});
    }

    ObjectReplica &replica() { return m_replica; }

private:
    void spin()
    {
        uv_run(m_loop.handle(), UV_RUN_NOWAIT);
        std::this_thread::yield();
    }

    std::unique_ptr<RawSocket> acceptWhileRunning()
    {
        std::unique_ptr<RawSocket> socket;
        std::atomic<bool> accepted{ false };
        std::thread thread([&] {
            socket = m_store->accept();
            accepted = true;
        });
        while (!accepted)
            spin();
        thread.join();
        return socket;
    }

    EventLoop m_loop;
    std::unique_ptr<RawListener> m_store;
    ObjectProtocol m_protocol;
    std::string m_events;
    ObjectReplica m_replica;
    std::unique_ptr<RawSocket> m_socket;
};

std::string object(const std::string &name, int revision)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
           + R"(},"spec":{}})";
}

std::string page(const std::string &items, int revision, bool more = false)
{
    return R"({"items":[)" + items + R"(],"more":)" + (more ? "true" : "false")
           + R"(,"store_revision":)" + std::to_string(revision) + "}";
}

std::string change(const std::string &changed, bool deleted, int revision)
{
    return R"({"events":[{"object":)" + changed + R"(,"deleted":)" + (deleted ? "true" : "false")
           + R"(}],"store_revision":)" + std::to_string(revision) + "}";
}

constexpr const char *firstList = "GET /api/objects/servers HTTP/1.1";

} // namespace

TEST_SUITE_BEGIN("object replica");

TEST_CASE("pages are joined, the watch starts at the first page's revision, changes are taken")
{
    ReplicaWorld world;
    CHECK(world.nextCall() == firstList);
    world.answer(200, page(object("a", 1), 5, true));
    CHECK(world.nextCall() == "GET /api/objects/servers?after=a HTTP/1.1");
    world.answer(200, page(object("b", 2), 7));
    CHECK(world.nextCall() == "GET /api/objects/servers?watch=5&wait_ms=10000 HTTP/1.1");
    CHECK(world.events("up +a +b .") == "up +a +b .");
    world.answer(200, change(object("a", 8), false, 8));
    CHECK(world.events("+a .") == "+a .");
    CHECK(world.nextCall() == "GET /api/objects/servers?watch=8&wait_ms=10000 HTTP/1.1");
    world.answer(200, change(object("b", 9), true, 9));
    CHECK(world.events("-b .") == "-b .");
    CHECK(world.replica().lastChangeRevision() == 9);
    CHECK(world.nextCall().find("watch=9&") != std::string::npos);
    world.answer(200, R"({"events":[],"store_revision":12})");
    CHECK(world.nextCall().find("watch=12&") != std::string::npos);
    CHECK(world.replica().lastChangeRevision() == 9);
}

// Grown sites, inc-c00f and inc-f5f5: each VM that started told the store's revision as that of the
// last change, and all others took its whole copy of each kind.
TEST_CASE("a first list tells the revision of its newest object as the last change")
{
    ReplicaWorld world;
    world.nextCall();
    world.answer(200, page(object("a", 7) + "," + object("b", 2), 50));
    world.nextCall();
    CHECK(world.replica().revision() == 50);
    CHECK(world.replica().lastChangeRevision() == 7);
    // A later list in which an object is missing tells of a change that no object shows.
    world.answer(410, "{}");
    world.nextCall();
    world.answer(200, page(object("a", 7), 60));
    world.nextCall();
    CHECK(world.replica().lastChangeRevision() == 60);
}

TEST_CASE("a forgotten history is answered by a new list, which removes what is missing")
{
    ReplicaWorld world;
    world.nextCall();
    world.answer(200, page(object("a", 1) + "," + object("b", 2), 5));
    world.nextCall();
    world.events("up +a +b .");
    world.answer(410, "{}");
    CHECK(world.nextCall() == firstList);
    world.answer(200, page(object("b", 2) + "," + object("c", 6), 9));
    CHECK(world.events("-a +c .") == "-a +c .");
}

TEST_CASE("refused calls and lost answers are tried again and reported once")
{
    for (const int status : { 429, 503 }) {
        ReplicaWorld world;
        world.nextCall();
        world.answer(status, "{}");
        CHECK(world.nextCall() == firstList);
        world.answer(200, "not json");
        CHECK(world.nextCall() == firstList);
        world.closeConnection();
        CHECK(world.nextCall() == firstList);
        world.answer(200, page(object("a", 1), 5));
        CHECK(world.events("down up +a .") == "down up +a .");
    }
}

TEST_CASE("another VM's copy is taken only if it is newer, and an older answer changes nothing")
{
    ReplicaWorld world;
    world.nextCall();
    world.answer(200, page(object("a", 1), 5));
    world.nextCall();
    world.events("up +a .");
    CHECK_FALSE(world.replica().adoptSnapshot({}, 5));
    CHECK(world.replica().adoptSnapshot({ { "b", { "b", 7, {} } } }, 8));
    CHECK(world.events("-a +b .") == "-a +b .");
    // The watch that was open sees only the start of what the copy holds.
    world.answer(200, change(object("a", 6), false, 6));
    CHECK(world.nextCall().find("watch=8&") != std::string::npos);
    CHECK(world.replica().objects().size() == 1);
    CHECK(world.replica().revision() == 8);
}

TEST_SUITE_END();

} // namespace basildeck::test
