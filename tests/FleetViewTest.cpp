#include "edge/FleetView.h"

#include "LogCapture.h"
#include "platform/PlatformFormat.h"
#include "soak/FaultProxy.h"
#include "soak/SoakStore.h"
#include "standin/RawSocket.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace basildeck::test {

using nlohmann::json;
using soak::SoakStore;
using soak::StoreMode;

namespace {

// One VM's view of a fleet without other VMs, on an event loop that it shares with the store.
class FleetViewFixture
{
public:
    static constexpr std::size_t kindCount = 4;

    FleetViewFixture()
        : m_settings(makeSettings())
        , m_names(platform::wireNames())
        , m_protocol(platform::objectProtocol())
        , m_format(platform::fleetObjectFormat())
        , store(SoakStore::make(m_loop, m_settings.storeAddress))
        , m_targets(m_loop, m_settings)
        , m_forwarder(m_loop, m_settings, m_names, m_targets)
        , m_peers(m_settings.vmName)
        , m_view({ m_loop, m_settings, m_protocol, m_format, m_targets, m_forwarder, m_peers },
                 { [this](const FleetConfig &config) {
                      organisation = config.organisations.empty()
                                             ? std::string()
                                             : config.organisations.front().name;
                  },
                   [] {} })
    {}

    // Counts the requests for changes to the other VM, and rejects them.
    void countCatchUps()
    {
        auto listener = TcpListener::make(m_loop, m_peerAddress, [this](int descriptor) {
            ++catchUps;
            close(descriptor);
        });
        REQUIRE(listener);
        m_peerListener = std::move(listener.value());
    }

    ~FleetViewFixture() { soak::cancelCalls(); }

    void start(const std::string &name)
    {
        writeConfig(name);
        m_view.start();
        REQUIRE(await([&] { return organisation == name && openWatches() == kindCount; }));
    }

    // Writes a configuration with one organisation.
    void writeConfig(const std::string &name)
    {
        store->put("config", "main",
                   { { "version", "00000001" },
                     { "routes", json::array() },
                     { "services", json::array() },
                     { "tenants", { { { "name", name }, { "api_keys", { name + "-key" } } } } } });
    }

    void writeTarget(const std::string &state)
    {
        store->put("servers", "i-1",
                   { { "service", "gauge" },
                     { "address", "10.0.0.1:80" },
                     { "zone", "z1" },
                     { "slots", 4 },
                     { "state", state } });
    }

    // Lets the store fall silent between a change of the targets and the next watch of them.
    void loseTargetWatch()
    {
        writeTarget("ready");
        REQUIRE(await([&] { return m_targets.size() == 1; }));
        const std::uint64_t calls = store->callCount();
        store->setMode(StoreMode::Unresponsive);
        REQUIRE(await([&] { return store->callCount() > calls; }));
    }

    // Whether the change of a kind with a revision is known.
    bool knows(const std::string &kind, std::uint64_t revision) const
    {
        return m_view.versions().at(kind).revision >= revision;
    }

    std::size_t targets() const { return m_targets.size(); }
    std::size_t leavingTargets() const { return m_targets.leavingCount(); }

    // Lets the store fall silent between a change of the configuration and the next watch of it.
    void loseConfigWatch()
    {
        writeConfig("beta");
        REQUIRE(await([&] { return organisation == "beta"; }));
        const std::uint64_t calls = store->callCount();
        store->setMode(StoreMode::Unresponsive);
        REQUIRE(await([&] { return store->callCount() > calls; }));
    }

    // Records a heartbeat of another VM that knows the configuration, and maybe the targets, of a
    // revision but serves no changes.
    void hearFromPeer(std::uint64_t revision, std::optional<std::uint64_t> targetsRevision = {})
    {
        Heartbeat heartbeat;
        heartbeat.vm = "vm-2";
        heartbeat.sequence = ++m_heartbeats;
        heartbeat.relayAddress = m_peerAddress.toString();
        heartbeat.versions["config"] = { 1, revision };
        if (targetsRevision)
            heartbeat.versions["servers"] = { 1, *targetsRevision };
        m_peers.recordHeartbeat(heartbeat, m_loop.now());
    }

    // Runs the loop until a condition holds. Returns false after a time limit.
    bool await(const std::function<bool()> &condition, Duration limit = seconds(5))
    {
        const Time end = m_loop.now() + limit;
        while (!condition()) {
            if (m_loop.now() > end)
                return false;
            uv_run(m_loop.handle(), UV_RUN_NOWAIT);
            std::this_thread::yield();
        }
        return true;
    }

    // The number of kinds with a call that waits for its response.
    std::size_t openWatches() const
    {
        std::size_t open = 0;
        for (const auto &[kind, age] : m_view.storeCallAges())
            open += age > Duration::zero() ? 1 : 0;
        return open;
    }

private:
    static EdgeSettings makeSettings()
    {
        EdgeSettings settings;
        settings.vmName = "vm-1";
        settings.region = "r1";
        settings.zone = "z1";
        settings.zoneRegions = { { "z1", "r1" } };
        settings.ip = "127.0.0.1";
        settings.storeAddress = { settings.ip, standin::freePort() };
        return settings;
    }

    EventLoop m_loop;
    EdgeSettings m_settings;
    WireNames m_names;
    ObjectProtocol m_protocol;
    FleetObjectFormat m_format;

public:
    std::unique_ptr<SoakStore> store;
    std::string organisation; // of the configuration in force
    int catchUps = 0;

private:
    TargetTable m_targets;
    Forwarder m_forwarder;
    PeerTable m_peers;
    FleetView m_view;
    Address m_peerAddress{ "127.0.0.1", standin::freePort() };
    std::unique_ptr<TcpListener> m_peerListener;
    std::uint64_t m_heartbeats = 0;
};

} // namespace

TEST_SUITE_BEGIN("fleet view");

TEST_CASE("a watch that the store lost in an outage is sent again once another kind is answered")
{
    const LogCapture log;
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.loseConfigWatch();
    // The calls of the other kinds fail, and so do the next ones.
    const std::uint64_t calls = fixture.store->callCount();
    fixture.store->cutWatches();
    REQUIRE(fixture.await([&] { return fixture.store->callCount() >= calls + 3; }));
    fixture.store->setMode(StoreMode::Normal);
    fixture.writeConfig("gamma");
    CHECK(fixture.await([&] { return fixture.organisation == "gamma"; }));
    CHECK_FALSE(log.line({ "sending the watch again", "kind=config" }).empty());
}

TEST_CASE("a watch that the store lost unnoticed is sent again once another VM is ahead")
{
    const LogCapture log;
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.loseConfigWatch();
    fixture.store->setMode(StoreMode::Normal);
    fixture.writeConfig("gamma");
    CHECK(fixture.await([&] {
        fixture.hearFromPeer(fixture.store->revision());
        return fixture.organisation == "gamma";
    }));
    CHECK_FALSE(log.line({ "sending the watch again", "kind=config" }).empty());
}

TEST_CASE("a watch that the store lost unnoticed right after a change ends soon")
{
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.loseConfigWatch();
    fixture.store->setMode(StoreMode::Normal);
    fixture.writeConfig("gamma");
    CHECK(fixture.await([&] { return fixture.organisation == "gamma"; }));
}

TEST_CASE("a target that leaves after the store lost the watch of targets gets requests for long")
{
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.loseTargetWatch();
    fixture.await([] { return false; }, milliseconds(500));
    fixture.store->setMode(StoreMode::Normal);
    fixture.writeTarget("draining");
    const Duration drainBound = milliseconds(2500);
    CHECK(fixture.await([&] { return fixture.leavingTargets() == 1; }, drainBound));
}

// deploy/days/unanswered.toml: open connections of most VMs to the store fall silent, new ones
// work.
TEST_CASE("changes after all watches of a VM were lost are known to it too late")
{
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.writeTarget("ready");
    REQUIRE(fixture.await([&] { return fixture.targets() == 1; }));
    REQUIRE(fixture.await([&] { return fixture.openWatches() == FleetViewFixture::kindCount; }));
    fixture.await([] { return false; }, milliseconds(200)); // the watches reach the store
    fixture.store->loseWatches();
    fixture.writeConfig("beta");
    const std::uint64_t configRevision = fixture.store->revision();
    fixture.writeTarget("draining");
    const Duration drainBound = milliseconds(2500);
    CHECK(fixture.await(
            [&] {
                fixture.hearFromPeer(configRevision, fixture.store->revision());
                return fixture.organisation == "beta" && fixture.leavingTargets() == 1;
            },
            drainBound));
}

// Nothing else shows the loss: the other kinds are answered, and no VM is ahead.
TEST_CASE("a change is unknown for long if the watch of its kind was lost long after the last one")
{
    const Duration changeBound = seconds(4); // the users' time until a VM counts as connected again
    for (const std::string kind : { "config", "servers", "evacuations" }) {
        CAPTURE(kind);
        FleetViewFixture fixture;
        fixture.start("alpha");
        fixture.await([] { return false; }, milliseconds(200)); // the watches reach the store
        fixture.store->loseWatches(kind);
        fixture.store->put(kind, "changed", json::object());
        const std::uint64_t revision = fixture.store->revision();
        CHECK(fixture.await([&] { return fixture.knows(kind, revision); }, changeBound));
    }
}

TEST_CASE("a watch that was sent again shows that the store still does not respond")
{
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.store->setMode(StoreMode::Unresponsive);
    REQUIRE(fixture.await([&] {
        fixture.hearFromPeer(fixture.store->revision() + 1);
        return fixture.openWatches() < FleetViewFixture::kindCount;
    }));
}

TEST_CASE("a VM that receives changes is not behind because another is always ahead")
{
    FleetViewFixture fixture;
    fixture.start("alpha");
    fixture.countCatchUps();
    const Time start = std::chrono::steady_clock::now();
    for (int change = 1; std::chrono::steady_clock::now() - start < 3 * FleetView::maxReplicaLag;
         ++change) {
        const std::string name = "organisation-" + std::to_string(change);
        fixture.writeConfig(name);
        REQUIRE(fixture.await([&] {
            fixture.hearFromPeer(fixture.store->revision() + 1);
            return fixture.organisation == name;
        }));
    }
    CHECK(fixture.catchUps == 0);
    // It is behind once it lacks the same change for long.
    CHECK(fixture.await([&] {
        fixture.hearFromPeer(fixture.store->revision() + 1);
        return fixture.catchUps > 0;
    }));
}

TEST_CASE("watches of VMs and kinds end at different times")
{
    std::set<milliseconds> waits;
    for (const char *vm : { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7" }) {
        for (const std::string kind : { "config", "servers", "evacuations", FleetView::vmKind }) {
            const milliseconds wait = FleetView::watchTimes(vm, kind).maxWait;
            const auto &limits
                    = kind == FleetView::vmKind ? FleetView::vmWatchLimits : FleetView::watchLimits;
            CHECK(wait <= limits.maxWait);
            CHECK(wait > limits.maxWait - limits.spread);
            waits.insert(wait);
        }
    }
    CHECK(waits.size() == 28);
    // Each VM has a watch that ends soon, so that it needs no other one to notice a silent store.
    CHECK(*waits.begin() > FleetView::watchLimits.maxWait - FleetView::watchLimits.spread);
    CHECK(FleetView::watchLimits.maxWait < seconds(2));
}

TEST_SUITE_END();

} // namespace basildeck::test
