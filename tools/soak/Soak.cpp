#include "soak/Soak.h"

#include "soak/SoakCallers.h"
#include "soak/SoakTargets.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <sstream>

namespace basildeck::soak {

using nlohmann::json;

namespace {

constexpr std::size_t vmCount = 5;
constexpr std::size_t targetCount = 8;
constexpr double callsPerSecond = 150;
constexpr Duration warmUp = seconds(3);
constexpr Duration meanFaultGap = milliseconds(500);
constexpr Duration longestFault = milliseconds(3000);
// The platform's bounds, as its settings give them.
constexpr Duration recoverBound = seconds(15);
constexpr Duration stableWindow = seconds(4);
constexpr Duration drainBound = milliseconds(2500);
constexpr Duration quotaWindow = seconds(5);
constexpr Duration calmTime = seconds(3);
// Part of the requests without a quota that is served once the fleet has recovered.
constexpr double servedInCalm = 0.95;

class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_subnet(static_cast<int>(20 + options.seed % 200))
    {}

    SoakReport play()
    {
        if (!startAll()) {
            m_faults.emplace_back("the addresses of the soak are taken");
            return { "not played", m_faults };
        }
        Timer tick(m_loop, [this] { m_vms->pollProcesses(); });
        tick.startRepeating(milliseconds(50));
        callLater(m_loop, warmUp, [this] {
            m_callers->start(callsPerSecond);
            m_faultsEnd = m_loop.now() + m_options.faultTime;
            harm();
        });
        m_loop.run();
        check();
        std::ostringstream text;
        text << m_callers->requests().size() << " requests, " << count(200) << " served, "
             << count(429) << " over quota, " << count(503) << " refused, " << m_harms
             << " faults, " << m_faults.size() << " promises broken";
        return { text.str(), m_faults };
    }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    std::string ip(int third, std::size_t last) const
    {
        return "127." + std::to_string(m_subnet) + "." + std::to_string(third) + "."
               + std::to_string(last);
    }

    bool startAll()
    {
        const Address storeAddress{ ip(2, 1), 8382 };
        m_store = SoakStore::make(m_loop, storeAddress);
        if (!m_store)
            return false;
        putConfig();
        m_targets = std::make_unique<SoakTargets>(m_loop, *m_store, m_random);
        for (std::size_t i = 0; i < targetCount; ++i) {
            if (!addTarget())
                return false;
        }
        m_vms = std::make_unique<SoakVms>(m_loop, m_options.program, m_options.folder, m_subnet);
        for (std::size_t i = 0; i < vmCount; ++i) {
            const bool isNorth = i % 2 == 0;
            if (!m_vms->add(isNorth ? "north-a" : "south-a", isNorth ? "north" : "south",
                            storeAddress))
                return false;
        }
        m_callers = std::make_unique<SoakCallers>(m_loop, *m_vms, m_random);
        return true;
    }

    bool addTarget()
    {
        const std::size_t number = ++m_lastTarget;
        return m_targets->add("i-" + std::to_string(number),
                              number % 2 == 0 ? "north-a" : "south-a", { ip(3, number), 8080 },
                              { ip(4, number), 8080 });
    }

    void putConfig()
    {
        const auto route = [](const std::string &prefix, const std::string &type) {
            return json{ { "name", prefix },        { "host", "soak.example" },
                         { "path_prefix", prefix }, { "type", type },
                         { "timeout", "1500ms" },   { "aim", "1000ms" },
                         { "priority", 1 },         { "service", "svc" },
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
                       { "routes", { route("/safe/", "safe"), route("/unsafe/", "unsafe") } },
                       { "services", { { { "name", "svc" }, { "max_connections", 390 } } } },
                       { "limits",
                         { { "max_header_bytes", 16384 },
                           { "max_body_bytes", 1000000 },
                           { "header_timeout", "3000ms" },
                           { "idle_timeout", "15000ms" } } },
                       { "tenants", tenants } });
    }

    // Harms something now and something else a little later, until the time is over.
    void harm()
    {
        if (m_loop.now() >= m_faultsEnd) {
            callLater(m_loop, longestFault, [this] { recover(); });
            return;
        }
        ++m_harms;
        const Duration length = milliseconds(300 + pick(longestFault / milliseconds(1) - 300));
        switch (pick(6)) {
        case 0:
        case 1:
            harmVm(length);
            break;
        case 2:
            harmStore(length);
            break;
        case 3:
            harmStoreLink(length);
            break;
        case 4:
            harmTarget(length);
            break;
        default:
            changeSomething();
        }
        callLater(m_loop, milliseconds(pick(2 * (meanFaultGap / milliseconds(1)))),
                  [this] { harm(); });
    }

    void say(const std::string &what)
    {
        // The log of faults lies beside those of the processes.
        std::cerr << toSeconds(m_loop.now() - m_faultsEnd + m_options.faultTime) << " " << what
                  << '\n';
    }

    void harmVm(Duration length)
    {
        const std::size_t vm = pick(vmCount);
        const std::size_t kind = pick(4);
        const std::string name = "vm-" + std::to_string(vm + 1);
        if (kind == 0) {
            say("SIGKILL " + name);
            m_vms->signal(vm, SIGKILL);
        } else if (kind == 1) {
            say("SIGTERM " + name);
            m_vms->signal(vm, SIGTERM);
        } else if (kind == 2) {
            say("SIGHUP " + name);
            m_vms->signal(vm, SIGHUP);
        } else {
            say("pause " + name);
            m_vms->signal(vm, SIGSTOP);
            callLater(m_loop, length, [this, vm] { m_vms->signal(vm, SIGCONT); });
        }
    }

    void harmStore(Duration length)
    {
        static constexpr std::array<StoreMode, 3> modes
                = { StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::DropResponses };
        const std::size_t kind = pick(modes.size() + 1);
        say("store fault " + std::to_string(kind));
        m_storeHarmedAt = m_loop.now() + length;
        if (kind == modes.size()) {
            m_store->compactHistory();
            return;
        }
        m_store->setMode(modes.at(kind));
        callLater(m_loop, length, [this] { m_store->setMode(StoreMode::Normal); });
    }

    void harmStoreLink(Duration length)
    {
        static constexpr std::array<ProxyMode, 5> modes
                = { ProxyMode::Delay, ProxyMode::DropToServer, ProxyMode::DropAll,
                    ProxyMode::ResetOnce, ProxyMode::Refuse };
        const std::size_t vm = pick(vmCount);
        const std::size_t mode = pick(modes.size());
        say("store link of vm-" + std::to_string(vm + 1) + " fault " + std::to_string(mode));
        m_vms->setStoreLinkMode(vm, modes.at(mode));
        callLater(m_loop, length, [this, vm] { m_vms->setStoreLinkMode(vm, ProxyMode::Forward); });
    }

    void harmTarget(Duration length)
    {
        static constexpr std::array<ProxyMode, 4> links
                = { ProxyMode::Delay, ProxyMode::DropAll, ProxyMode::ResetOnce, ProxyMode::Refuse };
        static constexpr std::array<TargetMode, 6> modes = {
            TargetMode::Slow,        TargetMode::RejectAll,          TargetMode::DropResponses,
            TargetMode::AppendBytes, TargetMode::DuplicateResponses, TargetMode::TruncateResponses
        };
        const auto ids = m_targets->ids();
        const std::string &id = ids.at(pick(ids.size()));
        const std::size_t kind = pick(links.size() + modes.size());
        say("target " + id + " fault " + std::to_string(kind));
        if (kind < links.size()) {
            m_targets->setProxyMode(id, links.at(kind));
            callLater(m_loop, length,
                      [this, id] { m_targets->setProxyMode(id, ProxyMode::Forward); });
            return;
        }
        m_targets->setMode(id, modes.at(kind - links.size()));
        callLater(m_loop, length, [this, id] { m_targets->setMode(id, TargetMode::Healthy); });
    }

    void changeSomething()
    {
        const std::size_t kind = pick(4);
        if (kind == 0) {
            say("configuration changes");
            putConfig();
        } else if (kind == 1) {
            const auto ids = m_targets->ids();
            const std::string &id = ids.at(pick(ids.size()));
            say("target " + id + " is replaced");
            if (!addTarget())
                m_faults.emplace_back("a new target has no address");
            m_targets->drain(id);
        } else if (kind == 2) {
            say("callers leave");
            m_callers->disconnectSome();
        } else {
            say("zone is evacuated");
            m_store->put("evacuations", "south-a", json::object());
            callLater(m_loop, longestFault, [this] { m_store->remove("evacuations", "south-a"); });
        }
    }

    void recover()
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
        say("recovery begins");
        callLater(m_loop, recoverBound, [this] { m_calmFrom = m_loop.now(); });
        callLater(m_loop, recoverBound + calmTime, [this] {
            m_calmTo = m_loop.now();
            callLater(m_loop, seconds(3), [this] { leave(); });
        });
    }

    void leave()
    {
        m_callers->stop();
        m_vms->terminateAll();
        waitForEnd(m_loop.now() + SoakVms::shutdownGrace + seconds(3));
    }

    void waitForEnd(Time until)
    {
        if (m_vms->allExited() || m_loop.now() >= until) {
            if (!m_vms->allExited())
                m_faults.emplace_back("a process did not end");
            m_loop.stop();
            return;
        }
        callLater(m_loop, milliseconds(100), [this, until] { waitForEnd(until); });
    }

    long count(int status) const
    {
        return std::count_if(m_callers->requests().begin(), m_callers->requests().end(),
                             [&](const auto &request) { return request.second.status == status; });
    }

    void check()
    {
        for (const auto *faults :
             { &m_targets->faults(), &m_callers->violations(), &m_vms->violations() })
            m_faults.insert(m_faults.end(), faults->begin(), faults->end());
        checkRuns();
        checkQuota();
        checkLeaving();
        checkRecovery();
    }

    void checkRuns()
    {
        for (const auto &[id, execution] : m_targets->executions()) {
            const auto request = m_callers->requests().find(id);
            if (request == m_callers->requests().end()) {
                m_faults.push_back(id + " ran, but no caller sent it");
                continue;
            }
            const int status = request->second.status;
            if (request->second.unsafe && execution.executionCount > 1)
                m_faults.push_back(id + " is not idempotent and ran "
                                   + std::to_string(execution.executionCount) + " times");
            if (request->second.unsafe && (status == 429 || status == 503))
                m_faults.push_back(id + " ran, but its caller was told that it did not");
        }
    }

    void checkQuota()
    {
        std::vector<Time> ran;
        for (const auto &[id, execution] : m_targets->executions()) {
            if (execution.organisation == "limited")
                ran.push_back(execution.firstStart);
        }
        std::sort(ran.begin(), ran.end());
        const double most
                = (SoakCallers::limitedRate * toSeconds(quotaWindow) + SoakCallers::limitedBurst)
                          * 1.1
                  + 20;
        for (std::size_t from = 0, to = 0; to < ran.size(); ++to) {
            while (ran[to] - ran[from] > quotaWindow)
                ++from;
            if (static_cast<double>(to - from + 1) > most) {
                m_faults.push_back("quota exceeded: " + std::to_string(to - from + 1) + " of "
                                   + std::to_string(most) + " in a window");
                return;
            }
        }
    }

    // Only VMs that were in touch with the store are bound.
    void checkLeaving()
    {
        for (const SoakTargets::DrainingArrival &arrival : m_targets->drainingArrivals()) {
            const auto request = m_callers->requests().find(arrival.requestId);
            if (arrival.sinceDraining <= drainBound || request == m_callers->requests().end())
                continue;
            const Time disturbed
                    = std::max(m_vms->lastDisturbance(request->second.vm), m_storeHarmedAt);
            if (arrival.time > disturbed + stableWindow)
                m_faults.push_back(arrival.requestId + " reached a target "
                                   + std::to_string(toSeconds(arrival.sinceDraining))
                                   + " s after it said that it leaves");
        }
    }

    void checkRecovery()
    {
        double asked = 0;
        double served = 0;
        for (const auto &[id, request] : m_callers->requests()) {
            if (request.organisation == "limited" || request.sentAt < m_calmFrom
                || request.sentAt > m_calmTo)
                continue;
            asked += 1;
            served += request.status == 200 ? 1 : 0;
        }
        if (served < servedInCalm * asked || asked == 0)
            m_faults.push_back("after the recovery " + std::to_string(served) + " of "
                               + std::to_string(asked) + " were served");
    }

    SoakOptions m_options;
    std::mt19937_64 m_random;
    int m_subnet;
    EventLoop m_loop;
    std::unique_ptr<SoakStore> m_store;
    std::unique_ptr<SoakTargets> m_targets;
    std::unique_ptr<SoakVms> m_vms;
    std::unique_ptr<SoakCallers> m_callers;
    std::vector<std::string> m_faults;
    std::size_t m_lastTarget = 0;
    int m_configVersion = 0;
    int m_harms = 0;
    Time m_faultsEnd{};
    Time m_storeHarmedAt{};
    Time m_calmFrom{};
    Time m_calmTo{};
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    return Soak(options).play();
}

} // namespace basildeck::soak
