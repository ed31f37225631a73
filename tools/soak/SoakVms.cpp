#include "soak/SoakVms.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>

namespace basildeck::soak {

namespace {

constexpr std::uint16_t readinessPort = 8384;
constexpr std::uint16_t lookupPort = 8383;
constexpr std::uint16_t storeLinkPort = 8385;
// How much later than the grace a process may exit, because the machine may be busy with other
// work.
constexpr Duration shutdownTolerance = seconds(1);

} // namespace

SoakVms::SoakVms(EventLoop &loop, std::string program, std::string folder, int subnet)
    : m_loop(loop)
    , m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_subnet(subnet)
{}

SoakVms::~SoakVms()
{
    for (const Vm &vm : m_vms) {
        if (vm.pid > 0) {
            kill(vm.pid, SIGKILL);
            waitpid(vm.pid, nullptr, 0);
        }
    }
}

Address SoakVms::callerAddress(std::size_t vm) const
{
    return { m_vms.at(vm).ip, callerPort };
}

bool SoakVms::add(const std::string &zone, const std::string &region, const Address &store)
{
    Vm vm;
    const std::string number = std::to_string(m_vms.size() + 1);
    vm.name = "vm-" + number;
    vm.ip = "127." + std::to_string(m_subnet) + ".1." + number;
    vm.settingsFile = m_folder + "/" + vm.name + ".conf";
    vm.logFile = m_folder + "/" + vm.name + ".log";
    const Address linkAddress{ vm.ip, storeLinkPort };
    vm.storeLink = FaultProxy::make(m_loop, linkAddress, store);
    if (!vm.storeLink)
        return false;
    writeSettings(vm, zone, region, linkAddress);
    m_vms.push_back(std::move(vm));
    start(m_vms.size() - 1);
    return true;
}

void SoakVms::writeSettings(const Vm &vm, const std::string &zone, const std::string &region,
                            const Address &storeLink) const
{
    std::ofstream out(vm.settingsFile);
    const auto addressOf = [&](std::uint16_t port) { return vm.ip + ":" + std::to_string(port); };
    out << "node_name=" << vm.name << "\nregion=" << region << "\nzone=" << zone << "\nip=" << vm.ip
        << "\nzones.north-a=north\nzones.south-a=south\n"
        << "listen.front=" << addressOf(callerPort) << "\nlisten.ready=" << addressOf(readinessPort)
        << "\nlisten.directory=" << addressOf(lookupPort)
        << "\nprovider.address=" << storeLink.toString()
        << "\ninternal_port_range=7560,7575\nlimits.memory_mb=" << memoryMb << "\n"
        << "bounds=grace=6s,ttl_max=5s,retry_budget_ratio=0.2,retry_budget_slack=64,"
           "quota_overshoot=0.1,quota_slack=20,cold_overshoot=1.5,cold_slack=5\n";
}

void SoakVms::start(std::size_t index)
{
    Vm &vm = m_vms.at(index);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, vm.logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string edge = "edge";
    std::string option = "--settings";
    const std::array<char *, 5> arguments
            = { m_program.data(), edge.data(), option.data(), vm.settingsFile.data(), nullptr };
    if (posix_spawn(&vm.pid, m_program.c_str(), &actions, nullptr, arguments.data(), environ)
        != 0) {
        vm.pid = 0;
        m_violations.push_back(vm.name + " could not be started");
    }
    posix_spawn_file_actions_destroy(&actions);
    vm.sigtermTime.reset();
    vm.sigkillTime.reset();
    vm.paused = false;
    recordDisturbance(index);
    vm.processes.emplace_back();
    if (m_startCallback)
        m_startCallback(index);
}

void SoakVms::recordDisturbance(std::size_t vm)
{
    m_vms.at(vm).disturbances.push_back(m_loop.now());
}

void SoakVms::signal(std::size_t index, int signal)
{
    Vm &vm = m_vms.at(index);
    recordDisturbance(index);
    if (vm.pid == 0)
        return;
    Process &process = vm.processes.back();
    if (signal == SIGTERM && !process.sigtermTime)
        process.sigtermTime = m_loop.now();
    if (signal == SIGTERM && !vm.sigtermTime)
        vm.sigtermTime = m_loop.now();
    const bool isContinued = signal == SIGCONT && vm.paused;
    if (signal == SIGKILL || signal == SIGSTOP || isContinued)
        vm.killsAndPauses.push_back(m_loop.now());
    if (signal == SIGKILL)
        vm.sigkillTime = m_loop.now();
    if (signal == SIGSTOP)
        vm.paused = true;
    // The shutdown grace excludes the time in which the process is stopped by SIGSTOP.
    if (vm.paused && vm.sigtermTime)
        vm.sigtermTime = m_loop.now();
    if (signal == SIGCONT)
        vm.paused = false;
    kill(vm.pid, signal);
}

void SoakVms::setStoreLinkMode(std::size_t vm, ProxyMode mode)
{
    recordDisturbance(vm);
    m_vms.at(vm).storeLink->setMode(mode);
}

void SoakVms::handleExit(Vm &vm, int status)
{
    const bool exitedCleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    const bool killedBySoak = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL && vm.sigkillTime;
    if (!killedBySoak && !(exitedCleanly && vm.sigtermTime))
        m_violations.push_back(vm.name + " exited unexpectedly with wait status "
                               + std::to_string(status));
    vm.pid = 0;
    vm.processes.back().exitTime = m_loop.now();
}

bool SoakVms::wasKilledOrPaused(std::size_t vm, Time from, Time to) const
{
    const std::vector<Time> &times = m_vms.at(vm).killsAndPauses;
    return std::any_of(times.begin(), times.end(),
                       [&](Time time) { return time >= from && time <= to; });
}

bool SoakVms::wasDisturbed(std::size_t vm, Time from, Time to) const
{
    const std::vector<Time> &times = m_vms.at(vm).disturbances;
    return std::any_of(times.begin(), times.end(),
                       [&](Time time) { return time >= from && time <= to; });
}

void SoakVms::pollProcesses()
{
    const Time now = m_loop.now();
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        Vm &vm = m_vms[i];
        int status = 0;
        if (vm.pid > 0 && waitpid(vm.pid, &status, WNOHANG) == vm.pid)
            handleExit(vm, status);
        checkMemory(vm);
        if (vm.pid == 0 && !m_isTerminating)
            start(i);
        if (vm.pid > 0 && vm.sigtermTime && !vm.paused && !vm.sigkillTime
            && now - *vm.sigtermTime > shutdownGrace + shutdownTolerance) {
            m_violations.push_back(vm.name + " did not exit within the shutdown grace");
            signal(i, SIGKILL);
        }
    }
}

void SoakVms::checkMemory(Vm &vm)
{
    if (vm.pid == 0 || vm.hasExceededMemory)
        return;
    std::ifstream file("/proc/" + std::to_string(vm.pid) + "/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    file >> totalPages >> residentPages;
    const auto bytes = residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    m_peakMemoryBytes = std::max(m_peakMemoryBytes, bytes);
    vm.hasExceededMemory = bytes > memoryMb * 1024UL * 1024UL;
    if (vm.hasExceededMemory)
        m_violations.push_back(vm.name + " exceeded its memory with " + std::to_string(bytes)
                               + " bytes");
}

void SoakVms::terminateAll()
{
    m_isTerminating = true;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        signal(i, SIGCONT);
        signal(i, SIGTERM);
    }
}

bool SoakVms::allExited() const
{
    return std::all_of(m_vms.begin(), m_vms.end(), [](const Vm &vm) { return vm.pid == 0; });
}

} // namespace basildeck::soak
