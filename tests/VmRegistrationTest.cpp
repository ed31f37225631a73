#include "edge/VmRegistration.h"

#include "ScriptedStore.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

constexpr const char *createRequest = "POST /api/objects/vms/vm-1 HTTP/1.1";

// A registration of the VM "vm-1" in a scripted store.
class RegistrationFixture
{
public:
    RegistrationFixture()
        : store(m_loop)
        , m_settings(makeSettings(store.address()))
        , m_protocol(platform::objectProtocol())
        , registration(m_loop, m_settings, m_protocol, "vms",
                       [this](std::uint64_t era) { lastEra = era; })
    {}

    nlohmann::json content() const
    {
        return { { "gossip", m_settings.gossipAddress().toString() },
                 { "relay", m_settings.relayAddress().toString() },
                 { "region", m_settings.region },
                 { "memory_bytes", m_settings.memoryBytes } };
    }

    std::map<std::string, StoredObject> listed(nlohmann::json own) const
    {
        return { { "vm-1", { "vm-1", 5, std::move(own) } } };
    }

    void awaitIdle()
    {
        while (registration.isBusy())
            store.runLoopOnce();
    }

private:
    static EdgeSettings makeSettings(const Address &storeAddress)
    {
        EdgeSettings settings;
        settings.vmName = "vm-1";
        settings.region = "r1";
        settings.ip = "127.0.0.1";
        settings.firstPeerPort = 7000;
        settings.lastPeerPort = 7009;
        settings.memoryBytes = 1000;
        settings.storeAddress = storeAddress;
        return settings;
    }

    EventLoop m_loop;

public:
    ScriptedStore store;

private:
    EdgeSettings m_settings;
    ObjectProtocol m_protocol;

public:
    VmRegistration registration;
    std::uint64_t lastEra = 0;
};

} // namespace

TEST_SUITE_BEGIN("VM registration");

TEST_CASE("a registration lost with the copy is written again")
{
    RegistrationFixture f;
    f.registration.check({});
    CHECK(f.store.awaitRequest() == createRequest);
    f.store.respond(201, "{}", "3");
    f.awaitIdle();
    CHECK(f.registration.isRegistered());
    CHECK(f.lastEra == 3);
    f.registration.check(f.listed(f.content()));
    CHECK_FALSE(f.registration.isBusy());

    f.registration.invalidate();
    f.registration.check({});
    CHECK(f.store.awaitRequest() == createRequest);
    f.store.respond(201, "{}", "4");
    f.awaitIdle();
    CHECK(f.registration.isRegistered());
}

TEST_CASE("a registration that the store still has after a restore counts as made")
{
    RegistrationFixture f;
    f.registration.invalidate();
    f.registration.check(f.listed(f.content()));
    CHECK_FALSE(f.registration.isBusy());
    CHECK(f.registration.isRegistered());
}

TEST_CASE("a registration that is older in the copy is written again")
{
    RegistrationFixture f;
    f.registration.check(f.listed(f.content()));
    CHECK_FALSE(f.registration.isBusy());
    f.registration.check({});
    CHECK(f.store.awaitRequest() == createRequest);
    f.store.respond(200, "{}");
    f.awaitIdle();
    f.registration.invalidate();
    auto older = f.content();
    older["relay"] = "127.0.0.1:6001";
    f.registration.check(f.listed(older));
    CHECK(f.store.awaitRequest() == createRequest);
    f.store.respond(409, "{}");
    CHECK(f.store.awaitRequest() == "PUT /api/objects/vms/vm-1 HTTP/1.1");
    f.store.respond(200, "{}");
    f.awaitIdle();
    CHECK(f.registration.isRegistered());
}

TEST_CASE("a registration that was removed is not written again, and another only if unchanged")
{
    RegistrationFixture f;
    f.registration.removeOther({ "vm-2", 7, {} });
    CHECK(f.store.awaitRequest() == "DELETE /api/objects/vms/vm-2?revision=7 HTTP/1.1");
    f.store.respond(200, "{}");
    f.awaitIdle();
    // The removal aborts other calls, and with them the connection.
    f.store.closeConnection();
    bool removed = false;
    f.registration.removeOwn([&] { removed = true; });
    CHECK(f.store.awaitRequest() == "DELETE /api/objects/vms/vm-1 HTTP/1.1");
    f.store.respond(200, "{}");
    f.awaitIdle();
    CHECK(removed);
    f.registration.check({});
    CHECK_FALSE(f.registration.isBusy());
}

TEST_SUITE_END();

} // namespace basildeck::test
