#include "soak/Soak.h"

#include "soak/SoakChecks.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

namespace basildeck::soak {

using nlohmann::json;

namespace {

constexpr std::size_t vmCount = 5;
constexpr std::size_t targetCount = 8;
constexpr double requestsPerSecond = 150;
constexpr Duration warmUp = seconds(3);
constexpr Duration meanFaultInterval = milliseconds(500);
constexpr Duration maxFaultDuration = milliseconds(3000);
constexpr std::size_t longTargetCount = 3;
constexpr Duration recoveryBound = seconds(15);
constexpr Duration steadyPhase = seconds(3);
constexpr Duration maxSecondSigtermDelay = seconds(3);
constexpr std::size_t maxRollingStopSize = 4;
constexpr Duration maxRollingStopInterval = milliseconds(900);
constexpr Duration maxEarlySigtermDelay = seconds(1);
// One of this many processes receives SIGTERM in the first second after its start.
constexpr std::size_t earlySigtermPeriod = 5;
// Draws of callers and targets depend on timing. A generator of their own keeps the sequence of
// faults a function of the seed.
constexpr std::uint64_t trafficSeedOffset = 1000003;

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_trafficRandom(options.seed + trafficSeedOffset)
        , m_subnet(static_cast<int>(20 + options.seed % 200))
    {}

    SoakReport runSeed()
    {
        if (!startFleet()) {
            m_violations.emplace_back("addresses of the soak are in use");
            return { "not run", m_violations };
        }
        Timer pollTimer(m_loop, [this] { m_vms->pollProcesses(); });
        pollTimer.startRepeating(milliseconds(50));
        callLater(m_loop, warmUp, [this] {
            m_callers->start(requestsPerSecond);
            m_longCallers->start();
            m_faultPhaseEnd = m_loop.now() + m_options.faultDuration;
            injectFault();
        });
        m_loop.run();
        cancelCalls();
        const std::vector<std::string> violations
                = checkInvariants({ *m_callers, *m_longCallers, *m_targets, *m_vms,
                                    m_storeDisturbedUntil, m_steadyPhaseStart, m_steadyPhaseEnd });
        m_violations.insert(m_violations.end(), violations.begin(), violations.end());
        std::ostringstream summary;
        summary << m_callers->requests().size() << " requests and "
                << m_longCallers->requests().size() << " long ones, " << countStatus(200)
                << " served, " << countStatus(429) << " over quota, " << countStatus(503)
                << " refused, " << m_injectedFaultCount << " faults injected, "
                << m_violations.size() << " violations";
        return { summary.str(), m_violations };
    }

private:
    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::string loopbackIp(int thirdByte, std::size_t lastByte) const
    {
        return "127." + std::to_string(m_subnet) + "." + std::to_string(thirdByte) + "."
               + std::to_string(lastByte);
    }

    bool startFleet()
    {
        const Address storeAddress{ loopbackIp(2, 1), 8382 };
        m_store = SoakStore::make(m_loop, storeAddress);
        if (!m_store)
            return false;
        putConfig();
        m_targets = std::make_unique<SoakTargets>(m_loop, *m_store, m_trafficRandom);
        for (std::size_t i = 0; i < targetCount; ++i) {
            if (!addTarget("svc"))
                return false;
        }
        for (std::size_t i = 0; i < longTargetCount; ++i) {
            if (!addTarget(std::string(SoakTargets::longService)))
                return false;
        }
        m_vms = std::make_unique<SoakVms>(m_loop, m_options.program, m_options.folder, m_subnet);
        for (std::size_t i = 0; i < vmCount; ++i) {
            const bool isNorth = i % 2 == 0;
            if (!m_vms->add(isNorth ? "north-a" : "south-a", isNorth ? "north" : "south",
                            storeAddress))
                return false;
        }
        m_vms->setStartCallback([this](std::size_t vm) { handleVmStart(vm); });
        m_callers = std::make_unique<SoakCallers>(m_loop, *m_vms, m_trafficRandom);
        m_longCallers = std::make_unique<SoakLongCallers>(m_loop, *m_vms, m_trafficRandom());
        return true;
    }

    bool addTarget(const std::string &service)
    {
        const std::size_t number = ++m_lastTargetNumber;
        return m_targets->add("i-" + std::to_string(number), service,
                              number % 2 == 0 ? "north-a" : "south-a",
                              { loopbackIp(3, number), 8080 }, { loopbackIp(4, number), 8080 });
    }

    void putConfig()
    {
        const std::string longService(SoakTargets::longService);
        const auto route = [](const std::string &prefix, const std::string &type,
                              const std::string &service, const std::string &timeout) {
            return json{ { "name", prefix },        { "host", "soak.example" },
                         { "path_prefix", prefix }, { "type", type },
                         { "timeout", timeout },    { "aim", "1000ms" },
                         { "priority", 1 },         { "service", service },
                         { "attempts", 2 },         { "public", false },
                         { "affinity", true },      { "allowed_regions", json::array() } };
        };
        json tenants = json::array();
        for (const auto &[key, name] : SoakCallers::organisationsByKey()) {
            const bool isLimited = name == "limited";
            tenants.push_back({ { "name", name },
                                { "api_keys", { key } },
                                { "rate_per_s", isLimited ? SoakCallers::limitedRate : 0 },
                                { "burst", isLimited ? SoakCallers::limitedBurst : 0 } });
        }
        ++m_configVersion;
        m_store->put("config", "main",
                     { { "version", std::to_string(m_configVersion) },
                       { "routes",
                         { route("/safe/", "safe", "svc", "1500ms"),
                           route("/unsafe/", "unsafe", "svc", "1500ms"),
                           route("/long/", "safe", longService, "8000ms"),
                           route("/upload/", "unsafe", longService, "8000ms") } },
                       { "services",
                         { { { "name", "svc" }, { "max_connections", 390 } },
                           { { "name", longService }, { "max_connections", 390 } } } },
                       { "limits",
                         { { "max_header_bytes", 16384 },
                           { "max_body_bytes", 1000000 },
                           { "header_timeout", "3000ms" },
                           { "idle_timeout", "15000ms" } } },
                       { "tenants", tenants } });
    }

    // Injects a random fault and schedules the next one, until the fault phase ends.
    void injectFault()
    {
        if (m_loop.now() >= m_faultPhaseEnd) {
            callLater(m_loop, maxFaultDuration, [this] { clearFaults(); });
            return;
        }
        ++m_injectedFaultCount;
        const Duration duration
                = milliseconds(300 + randomIndex(maxFaultDuration / milliseconds(1) - 300));
        switch (randomIndex(7)) {
        case 0:
        case 1:
            injectVmFault(duration);
            break;
        case 2:
            injectStoreFault(duration);
            break;
        case 3:
            injectStoreLinkFault(duration);
            break;
        case 4:
            injectTargetFault(duration);
            break;
        case 5:
            injectRollingStop();
            break;
        default:
            injectFleetChange();
        }
        callLater(m_loop, milliseconds(randomIndex(2 * (meanFaultInterval / milliseconds(1)))),
                  [this] { injectFault(); });
    }

    void logEvent(const std::string &event)
    {
        // tools/soak/run redirects stderr to a file beside the logs of the processes.
        std::cerr << toSeconds(m_loop.now() - m_faultPhaseEnd + m_options.faultDuration) << " "
                  << event << '\n';
    }

    void injectVmFault(Duration duration)
    {
        const std::size_t vm = randomIndex(vmCount);
        const std::size_t kind = randomIndex(4);
        const std::string name = "vm-" + std::to_string(vm + 1);
        if (kind == 0) {
            logEvent("SIGKILL " + name);
            m_vms->signal(vm, SIGKILL);
        } else if (kind == 1) {
            terminate(vm);
            if (randomIndex(2) == 0)
                callLater(m_loop, randomDuration(maxSecondSigtermDelay),
                          [this, vm] { terminate(vm); });
        } else if (kind == 2) {
            logEvent("SIGHUP " + name);
            m_vms->signal(vm, SIGHUP);
        } else {
            logEvent("pause " + name);
            m_vms->signal(vm, SIGSTOP);
            callLater(m_loop, duration, [this, vm] { m_vms->signal(vm, SIGCONT); });
        }
    }

    Duration randomDuration(Duration max)
    {
        return milliseconds(randomIndex(max / milliseconds(1)));
    }

    void terminate(std::size_t vm)
    {
        logEvent("SIGTERM vm-" + std::to_string(vm + 1));
        if (m_vms->isLeaving(vm)) {
            m_vms->signal(vm, SIGTERM);
            return;
        }
        m_vms->signal(vm, SIGTERM);
        m_longCallers->visitLeavingVm(vm);
    }

    // Stops some VMs one after another while the earlier ones are still shutting down.
    void injectRollingStop()
    {
        const std::size_t first = randomIndex(vmCount);
        const std::size_t size = 2 + randomIndex(maxRollingStopSize - 1);
        const Duration interval = randomDuration(maxRollingStopInterval);
        logEvent("rolling stop of " + std::to_string(size) + " VMs");
        for (std::size_t i = 0; i < size; ++i)
            callLater(m_loop, static_cast<int>(i) * interval,
                      [this, vm = (first + i) % vmCount] { terminate(vm); });
    }

    void handleVmStart(std::size_t vm)
    {
        if (m_loop.now() >= m_faultPhaseEnd || m_startCount++ % earlySigtermPeriod != 0)
            return;
        callLater(m_loop,
                  milliseconds(m_trafficRandom() % (maxEarlySigtermDelay / milliseconds(1))),
                  [this, vm] { terminate(vm); });
    }

    void injectStoreFault(Duration duration)
    {
        static constexpr std::array<StoreMode, 3> modes
                = { StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::DropResponses };
        const std::size_t kind = randomIndex(modes.size() + 1);
        logEvent("store fault " + std::to_string(kind));
        m_storeDisturbedUntil = m_loop.now() + duration;
        if (kind == modes.size()) {
            m_store->compactHistory();
            return;
        }
        m_store->setMode(modes.at(kind));
        callLater(m_loop, duration, [this] { m_store->setMode(StoreMode::Normal); });
    }

    void injectStoreLinkFault(Duration duration)
    {
        static constexpr std::array<ProxyMode, 5> modes
                = { ProxyMode::Delay, ProxyMode::DropToServer, ProxyMode::DropAll,
                    ProxyMode::ResetOnce, ProxyMode::Refuse };
        const std::size_t vm = randomIndex(vmCount);
        const std::size_t mode = randomIndex(modes.size());
        logEvent("store link of vm-" + std::to_string(vm + 1) + " fault " + std::to_string(mode));
        m_vms->setStoreLinkMode(vm, modes.at(mode));
        callLater(m_loop, duration,
                  [this, vm] { m_vms->setStoreLinkMode(vm, ProxyMode::Forward); });
    }

    void injectTargetFault(Duration duration)
    {
        static constexpr std::array<ProxyMode, 4> linkModes
                = { ProxyMode::Delay, ProxyMode::DropAll, ProxyMode::ResetOnce, ProxyMode::Refuse };
        static constexpr std::array<TargetMode, 6> modes = {
            TargetMode::Slow,        TargetMode::RejectAll,          TargetMode::DropResponses,
            TargetMode::AppendBytes, TargetMode::DuplicateResponses, TargetMode::TruncateResponses
        };
        const auto ids = m_targets->ids();
        const std::string &id = ids.at(randomIndex(ids.size()));
        const std::size_t kind = randomIndex(linkModes.size() + modes.size());
        logEvent("target " + id + " fault " + std::to_string(kind));
        if (kind < linkModes.size()) {
            m_targets->setProxyMode(id, linkModes.at(kind));
            callLater(m_loop, duration,
                      [this, id] { m_targets->setProxyMode(id, ProxyMode::Forward); });
            return;
        }
        m_targets->setMode(id, modes.at(kind - linkModes.size()));
        callLater(m_loop, duration, [this, id] { m_targets->setMode(id, TargetMode::Healthy); });
    }

    void injectFleetChange()
    {
        const std::size_t kind = randomIndex(4);
        if (kind == 0) {
            logEvent("configuration is updated");
            putConfig();
        } else if (kind == 1) {
            const auto ids = m_targets->ids();
            const std::string &id = ids.at(randomIndex(ids.size()));
            logEvent("target " + id + " is replaced");
            if (!addTarget("svc"))
                m_violations.emplace_back("the address of a new target is in use");
            m_targets->drain(id);
        } else if (kind == 2) {
            logEvent("callers disconnect");
            m_callers->disconnectSome();
        } else {
            logEvent("zone is evacuated");
            m_store->put("evacuations", "south-a", json::object());
            callLater(m_loop, maxFaultDuration,
                      [this] { m_store->remove("evacuations", "south-a"); });
        }
    }

    void clearFaults()
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            m_vms->signal(vm, SIGCONT);
            m_vms->setStoreLinkMode(vm, ProxyMode::Forward);
        }
        m_store->setMode(StoreMode::Normal);
        for (const std::string &id : m_targets->ids()) {
            m_targets->setProxyMode(id, ProxyMode::Forward);
            m_targets->setMode(id, TargetMode::Healthy);
        }
        logEvent("faults cleared, recovery begins");
        callLater(m_loop, recoveryBound, [this] { m_steadyPhaseStart = m_loop.now(); });
        callLater(m_loop, recoveryBound + steadyPhase, [this] {
            m_steadyPhaseEnd = m_loop.now();
            callLater(m_loop, seconds(3), [this] { shutDown(); });
        });
    }

    void shutDown()
    {
        m_callers->stop();
        // The callers of long runs go on, so that each VM's last shutdown is checked without
        // faults.
        m_vms->terminateAll();
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            m_longCallers->visitLeavingVm(vm);
        waitForExit(m_loop.now() + SoakVms::shutdownGrace + seconds(3));
    }

    void waitForExit(Time deadline)
    {
        if (m_vms->allExited() || m_loop.now() >= deadline) {
            if (!m_vms->allExited())
                m_violations.emplace_back("a process did not exit");
            // Leaves time to notice closed connections.
            callLater(m_loop, milliseconds(200), [this] { m_loop.stop(); });
            return;
        }
        callLater(m_loop, milliseconds(100), [this, deadline] { waitForExit(deadline); });
    }

    long countStatus(int status) const
    {
        return std::count_if(m_callers->requests().begin(), m_callers->requests().end(),
                             [&](const auto &request) { return request.second.status == status; });
    }

    SoakOptions m_options;
    std::mt19937_64 m_random;
    std::mt19937_64 m_trafficRandom;
    int m_subnet;
    EventLoop m_loop;
    std::unique_ptr<SoakStore> m_store;
    std::unique_ptr<SoakTargets> m_targets;
    std::unique_ptr<SoakVms> m_vms;
    std::unique_ptr<SoakCallers> m_callers;
    std::unique_ptr<SoakLongCallers> m_longCallers;
    std::vector<std::string> m_violations;
    std::size_t m_lastTargetNumber = 0;
    int m_configVersion = 0;
    int m_injectedFaultCount = 0;
    std::size_t m_startCount = 0;
    Time m_faultPhaseEnd{};
    Time m_storeDisturbedUntil{};
    Time m_steadyPhaseStart{};
    Time m_steadyPhaseEnd{};
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    return Soak(options).runSeed();
}

} // namespace basildeck::soak
