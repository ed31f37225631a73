#pragma once

#include "soak/FaultProxy.h"

#include <sys/types.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basildeck::soak {

// The entry VMs of the soak: processes of the program under test, each with a loopback address and
// a FaultProxy to the store of its own.
class SoakVms
{
public:
    // One process of a VM.
    struct Process
    {
        std::optional<Time> sigtermTime; // of the first SIGTERM
        std::optional<Time> exitTime;
    };

    // The port on which a VM accepts requests of callers.
    static constexpr std::uint16_t callerPort = 8388;
    // The time from SIGTERM within which a process has to exit.
    static constexpr Duration shutdownGrace = seconds(6);
    // The memory that a process may use, as its settings say.
    static constexpr std::size_t memoryMb = 256;

    SoakVms(EventLoop &loop, std::string program, std::string folder, int subnet);
    ~SoakVms();

    // Adds and starts a VM. False if the address of its store link is in use.
    bool add(const std::string &zone, const std::string &region, const Address &store);
    void start(std::size_t vm);
    // Sends a signal to the process. A process that exits after SIGKILL or SIGTERM is restarted.
    void signal(std::size_t vm, int signal);
    void setStoreLinkMode(std::size_t vm, ProxyMode mode);
    // Reaps and restarts exited processes, and kills those that exceed the shutdown grace.
    void pollProcesses();
    // Sends SIGTERM to all processes. allExited() is true once all of them have exited.
    void terminateAll();
    bool allExited() const;

    // Called after each start of a process.
    void setStartCallback(std::function<void(std::size_t vm)> callback)
    {
        m_startCallback = std::move(callback);
    }

    std::size_t count() const { return m_vms.size(); }
    // The index of the process that a VM runs, or ran last.
    std::size_t currentProcess(std::size_t vm) const { return m_vms.at(vm).processes.size() - 1; }
    // Whether a VM's process has received SIGTERM.
    bool isLeaving(std::size_t vm) const
    {
        return process(vm, currentProcess(vm)).sigtermTime.has_value();
    }
    const Process &process(std::size_t vm, std::size_t index) const
    {
        return m_vms.at(vm).processes.at(index);
    }
    // Whether a process of the VM was killed, stopped or continued in a period.
    bool wasKilledOrPaused(std::size_t vm, Time from, Time to) const;
    Address callerAddress(std::size_t vm) const;
    // Whether the VM was started, or a fault was injected into it or its store link, in a period.
    bool wasDisturbed(std::size_t vm, Time from, Time to) const;
    void recordDisturbance(std::size_t vm);
    const std::vector<std::string> &violations() const { return m_violations; }
    // The most resident memory of any process.
    std::size_t peakMemoryBytes() const { return m_peakMemoryBytes; }

private:
    struct Vm
    {
        std::string name;
        std::string ip;
        std::string settingsFile;
        std::string logFile;
        std::unique_ptr<FaultProxy> storeLink;
        pid_t pid = 0; // 0: not running
        std::vector<Process> processes;
        std::vector<Time> killsAndPauses;
        std::optional<Time> sigkillTime;
        std::optional<Time> sigtermTime;
        bool paused = false;
        bool hasExceededMemory = false;
        std::vector<Time> disturbances;
    };

    void writeSettings(const Vm &vm, const std::string &zone, const std::string &region,
                       const Address &storeLink) const;
    void handleExit(Vm &vm, int status);
    void checkMemory(Vm &vm);

    EventLoop &m_loop;
    std::string m_program;
    std::string m_folder;
    int m_subnet; // the second byte of the loopback addresses
    std::vector<Vm> m_vms;
    std::function<void(std::size_t)> m_startCallback;
    std::vector<std::string> m_violations;
    std::size_t m_peakMemoryBytes = 0;
    bool m_isTerminating = false;
};

} // namespace basildeck::soak
