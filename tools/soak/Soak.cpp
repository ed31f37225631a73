#include "soak/Soak.h"

#include "soak/SoakChecks.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

namespace basildeck::soak {

namespace {

constexpr std::size_t targetCount = 8;
constexpr double requestsPerSecond = 150;
constexpr Duration warmUp = seconds(3);
constexpr Duration meanFaultInterval = milliseconds(500);
constexpr Duration maxFaultDuration = milliseconds(3000);
constexpr std::size_t longTargetCount = 3;
constexpr Duration settlingTime = seconds(4);
constexpr Duration drillChangeInterval = seconds(2);
constexpr int silentStoreDrillCount = 2;
// The third byte of the targets' addresses, as long as those of SoakPartitions.
constexpr int targetByte = 100;
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
            m_probes->start();
            m_faultPhaseEnd = m_loop.now() + m_options.faultDuration;
            injectFault();
            m_partitions->start(m_faultPhaseEnd);
        });
        m_loop.run();
        cancelCalls();
        const std::vector<std::string> violations = checkInvariants(
                { *m_callers, *m_longCallers, *m_probes, *m_targets, *m_vms, *m_partitions,
                  *m_storeFaults, m_steadyPhaseStart, m_steadyPhaseEnd });
        m_violations.insert(m_violations.end(), violations.begin(), violations.end());
        std::ostringstream summary;
        summary << m_callers->requests().size() << " requests and "
                << m_longCallers->requests().size() << " long ones, " << countStatus(200)
                << " served, " << countStatus(429) << " over quota, " << countStatus(503)
                << " refused, " << m_injectedFaultCount << " faults injected, " << m_callsInDrill
                << " calls to the store in the restore drill, " << m_violations.size()
                << " violations, " << m_targets->endlessResponseCount()
                << " endless responses, peak memory " << m_vms->peakMemoryBytes() / 1024 / 1024
                << " MiB";
        for (const UnwatchedChange &change : m_storeFaults->unwatchedChanges())
            summary << ", " << toSeconds(knownByAllAt(change.version) - change.time)
                    << " s until all VMs knew a change after " << change.fault;
        return { summary.str(), m_violations };
    }

private:
    Time knownByAllAt(int version) const
    {
        Time last{};
        for (std::size_t vm = 0; vm < m_vms->count(); ++vm)
            last = std::max(last, m_probes->shownAt(vm, version));
        return last;
    }

    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::string loopbackPrefix(int thirdByte) const
    {
        return "127." + std::to_string(m_subnet) + "." + std::to_string(thirdByte) + ".";
    }

    std::string loopbackIp(int thirdByte, std::size_t lastByte) const
    {
        return loopbackPrefix(thirdByte) + std::to_string(lastByte);
    }

    bool startFleet()
    {
        const Address storeAddress{ loopbackIp(2, 1), 8382 };
        m_store = SoakStore::make(m_loop, storeAddress);
        if (!m_store)
            return false;
        m_operator = std::make_unique<SoakOperator>(m_loop, *m_store);
        m_operator->updateConfig();
        m_targets = std::make_unique<SoakTargets>(m_loop, *m_store, m_trafficRandom);
        m_partitions = std::make_unique<SoakPartitions>(
                m_loop, m_options.vmCount, m_subnet, m_options.seed,
                [this](const std::string &event) { logEvent(event); });
        for (std::size_t i = 0; i < targetCount; ++i) {
            if (!addTarget("svc"))
                return false;
        }
        for (std::size_t i = 0; i < longTargetCount; ++i) {
            if (!addTarget(std::string(SoakTargets::longService)))
                return false;
        }
        m_storeFaults = std::make_unique<SoakStoreFaults>(
                m_loop, *m_store, *m_operator, *m_targets, m_random,
                [this](const std::string &event) { logEvent(event); });
        m_vms = std::make_unique<SoakVms>(m_loop, m_options.program, m_options.folder, m_subnet);
        for (std::size_t i = 0; i < m_options.vmCount; ++i) {
            const bool isNorth = i % 2 == 0;
            const Address view{ loopbackIp(2, 2 + i), storeAddress.port };
            if (!m_store->addView(view, loopbackPrefix(targetByte), m_partitions->targetPrefix(i))
                || !m_vms->add(isNorth ? "north-a" : "south-a", isNorth ? "north" : "south", view))
                return false;
        }
        m_vms->setStartCallback([this](std::size_t vm) { handleVmStart(vm); });
        m_callers = std::make_unique<SoakCallers>(m_loop, *m_vms, m_trafficRandom);
        m_probes = std::make_unique<SoakProbes>(m_loop, *m_vms, *m_operator);
        m_longCallers = std::make_unique<SoakLongCallers>(m_loop, *m_vms, m_trafficRandom());
        return true;
    }

    bool addTarget(const std::string &service)
    {
        const std::size_t number = ++m_lastTargetNumber;
        const Address proxy{ loopbackIp(targetByte, number), SoakTargets::port };
        return m_partitions->addTarget(std::to_string(number), proxy)
               && m_targets->add("i-" + std::to_string(number), service,
                                 number % 2 == 0 ? "north-a" : "south-a",
                                 { loopbackIp(3, number), SoakTargets::port }, proxy);
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
            m_storeFaults->inject(duration);
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
            injectFleetChange(static_cast<FleetChange>(randomIndex(4)));
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
        const std::size_t vm = randomIndex(m_options.vmCount);
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
        const std::size_t first = randomIndex(m_options.vmCount);
        const std::size_t size = 2 + randomIndex(maxRollingStopSize - 1);
        const Duration interval = randomDuration(maxRollingStopInterval);
        logEvent("rolling stop of " + std::to_string(size) + " VMs");
        for (std::size_t i = 0; i < size; ++i)
            callLater(m_loop, static_cast<int>(i) * interval,
                      [this, vm = (first + i) % m_options.vmCount] { terminate(vm); });
    }

    void handleVmStart(std::size_t vm)
    {
        if (m_loop.now() >= m_faultPhaseEnd || m_startCount++ % earlySigtermPeriod != 0)
            return;
        callLater(m_loop,
                  milliseconds(m_trafficRandom() % (maxEarlySigtermDelay / milliseconds(1))),
                  [this, vm] { terminate(vm); });
    }

    // A restore of the store without other faults, amid changes of the fleet.
    void drillRestore()
    {
        m_callsBeforeDrill = m_store->callCount();
        injectFleetChange(FleetChange::Config);
        injectFleetChange(FleetChange::Target);
        callLater(m_loop, drillChangeInterval, [this] {
            injectFleetChange(FleetChange::Config);
            const Duration outage = m_storeFaults->restore();
            for (int i = 1; i <= 2; ++i)
                callLater(m_loop, outage + i * settlingTime / 2, [this] {
                    injectFleetChange(FleetChange::Config);
                    injectFleetChange(FleetChange::Target);
                });
            callLater(m_loop, outage + 2 * settlingTime, [this] {
                m_callsInDrill = m_store->callCount() - m_callsBeforeDrill;
                shutDown();
            });
        });
    }

    void injectStoreLinkFault(Duration duration)
    {
        static constexpr std::array<ProxyMode, 5> modes
                = { ProxyMode::Delay, ProxyMode::DropToServer, ProxyMode::DropAll,
                    ProxyMode::ResetOnce, ProxyMode::Refuse };
        const std::size_t vm = randomIndex(m_options.vmCount);
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
        static constexpr std::array<TargetMode, 10> modes = { TargetMode::Slow,
                                                              TargetMode::RejectAll,
                                                              TargetMode::DropResponses,
                                                              TargetMode::AppendBytes,
                                                              TargetMode::DuplicateResponses,
                                                              TargetMode::TruncateResponses,
                                                              TargetMode::AskForHoldOff,
                                                              TargetMode::RepeatRefusals,
                                                              TargetMode::CutHeads,
                                                              TargetMode::EndlessBytes };
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

    enum class FleetChange { Config, Target, Disconnect, Evacuation };

    void injectFleetChange(FleetChange kind)
    {
        if (kind == FleetChange::Config) {
            logEvent("configuration is updated");
            m_operator->updateConfig();
        } else if (kind == FleetChange::Target) {
            const auto ids = m_targets->ids();
            const std::string &id = ids.at(randomIndex(ids.size()));
            logEvent("target " + id + " is replaced");
            if (!addTarget("svc"))
                m_violations.emplace_back("the address of a new target is in use");
            m_targets->drain(id);
        } else if (kind == FleetChange::Disconnect) {
            logEvent("callers disconnect");
            m_callers->disconnectSome();
        } else {
            logEvent("zone is evacuated");
            m_operator->evacuate("south-a");
            callLater(m_loop, maxFaultDuration, [this] { m_operator->endEvacuation("south-a"); });
        }
    }

    void clearFaults()
    {
        for (std::size_t vm = 0; vm < m_options.vmCount; ++vm) {
            m_vms->signal(vm, SIGCONT);
            m_vms->setStoreLinkMode(vm, ProxyMode::Forward);
        }
        m_storeFaults->clear();
        for (const std::string &id : m_targets->ids()) {
            m_targets->setProxyMode(id, ProxyMode::Forward);
            m_targets->setMode(id, TargetMode::Healthy);
        }
        logEvent("faults cleared, recovery begins");
        callLater(m_loop, recoveryBound, [this] { m_steadyPhaseStart = m_loop.now(); });
        callLater(m_loop, recoveryBound + steadyPhase, [this] {
            m_steadyPhaseEnd = m_loop.now();
            m_targets->setCheckingIn(false);
            callLater(m_loop, m_partitions->drill() + settlingTime, [this] { drillLostWatches(); });
        });
    }

    // Losses of watches some seconds after the last change, so that they may wait for long: those
    // of all kinds, then only those of the configuration.
    void drillLostWatches()
    {
        callLater(m_loop, m_storeFaults->loseWatches({}) + settlingTime, [this] {
            callLater(m_loop, m_storeFaults->loseWatches("config"), [this] {
                m_targets->setCheckingIn(true);
                drillSilentStore(silentStoreDrillCount);
            });
        });
    }

    // Silences of the store without other faults, one after another, each right after a change.
    void drillSilentStore(int count)
    {
        if (count == 0) {
            drillRestore();
            return;
        }
        callLater(m_loop, m_storeFaults->fallSilentAfterChange(),
                  [this, count] { drillSilentStore(count - 1); });
    }

    void shutDown()
    {
        m_callers->stop();
        m_probes->stop();
        // The callers of long runs go on, so that each VM's last shutdown is checked without
        // faults.
        m_vms->terminateAll();
        for (std::size_t vm = 0; vm < m_options.vmCount; ++vm)
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
    std::unique_ptr<SoakOperator> m_operator;
    std::unique_ptr<SoakTargets> m_targets;
    std::unique_ptr<SoakStoreFaults> m_storeFaults;
    std::unique_ptr<SoakVms> m_vms;
    std::unique_ptr<SoakPartitions> m_partitions;
    std::unique_ptr<SoakCallers> m_callers;
    std::unique_ptr<SoakLongCallers> m_longCallers;
    std::unique_ptr<SoakProbes> m_probes;
    std::vector<std::string> m_violations;
    std::size_t m_lastTargetNumber = 0;
    int m_injectedFaultCount = 0;
    std::size_t m_startCount = 0;
    Time m_faultPhaseEnd{};
    std::uint64_t m_callsBeforeDrill = 0;
    std::uint64_t m_callsInDrill = 0;
    Time m_steadyPhaseStart{};
    Time m_steadyPhaseEnd{};
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    return Soak(options).runSeed();
}

} // namespace basildeck::soak
