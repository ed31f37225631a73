#pragma once

#include "basildeck/Result.h"
#include "config/Settings.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace basildeck {

class AdminTask;
class FrontendTask;
class PeerTask;
class StoreTask;

// The process on an entry VM: its four tasks, each on a thread of its own.
class EntryProcess
{
public:
    // Opens all addresses. The error says which one is taken.
    static Result<std::unique_ptr<EntryProcess>> make(const Settings &settings);
    ~EntryProcess();

    // Serves until SIGTERM or SIGINT, then leaves. A second signal hurries.
    void run();

    // The parts of run(), for programs that hold several VMs.
    void start();
    void requestLeave(bool immediate);
    bool ended() const { return m_ended.load(); }
    // Waits until the process has left.
    void join();

private:
    EntryProcess() = default;
    void waitForSignals();

    std::unique_ptr<FrontendTask> m_front;
    std::unique_ptr<PeerTask> m_peer;
    std::unique_ptr<StoreTask> m_store;
    std::unique_ptr<AdminTask> m_admin;
    std::atomic<bool> m_ended{ false };
    std::vector<std::thread> m_threads;
    std::thread m_frontThread;
};

} // namespace basildeck
