#pragma once

#include "basildeck/Result.h"
#include "config/Settings.h"

#include <atomic>
#include <memory>

namespace basildeck {

class AdminTask;
class FrontTask;
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

private:
    EntryProcess() = default;
    void waitForSignals(const std::atomic<bool> &ended);
    void requestLeave(bool hurry);

    std::unique_ptr<FrontTask> m_front;
    std::unique_ptr<PeerTask> m_peer;
    std::unique_ptr<StoreTask> m_store;
    std::unique_ptr<AdminTask> m_admin;
};

} // namespace basildeck
