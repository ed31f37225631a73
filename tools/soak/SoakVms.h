#pragma once

#include "soak/FaultProxy.h"

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basildeck::soak {

// The entry VMs of the soak: processes of the real program, each with its own address on loopback
// and its own proxy to the store.
class SoakVms
{
public:
    // Where a VM listens.
    static constexpr std::uint16_t callerPort = 8388;
    // From SIGTERM to the end.
    static constexpr Duration grace = seconds(6);

    SoakVms(EventLoop &loop, std::string program, std::string folder, int network);
    ~SoakVms();

    // Adds and starts a VM. False if its addresses are taken.
    bool add(const std::string &zone, const std::string &region, const Address &store);
    void start(std::size_t vm);
    // Sends a signal to the process. SIGKILL and SIGTERM are followed by a new start.
    void signal(std::size_t vm, int signal);
    void setStoreLink(std::size_t vm, ProxyMode mode);
    // Looks for processes that ended, and starts them again.
    void tick();
    // Ends all processes by SIGTERM; true once all have ended.
    void leaveAll();
    bool allEnded() const;

    std::size_t count() const { return m_vms.size(); }
    Address callerAddress(std::size_t vm) const;
    // The last moment at which the VM or its links were harmed.
    Time disturbedAt(std::size_t vm) const { return m_vms.at(vm).disturbedAt; }
    void noteDisturbance(std::size_t vm);
    const std::vector<std::string> &faults() const { return m_faults; }

private:
    struct Vm
    {
        std::string name;
        std::string ip;
        std::string settingsFile;
        std::string logFile;
        std::unique_ptr<FaultProxy> storeLink;
        pid_t pid = 0; // 0: not running
        std::optional<Time> killedAt;
        std::optional<Time> termAt;
        bool paused = false;
        Time disturbedAt{};
    };

    void writeSettings(const Vm &vm, const std::string &zone, const std::string &region,
                       const Address &storeLink) const;
    void takeEnd(Vm &vm, int status);

    EventLoop &m_loop;
    std::string m_program;
    std::string m_folder;
    int m_network; // second byte of the loopback addresses
    std::vector<Vm> m_vms;
    std::vector<std::string> m_faults;
    bool m_leaving = false;
};

} // namespace basildeck::soak
