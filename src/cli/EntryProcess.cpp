#include "cli/EntryProcess.h"

#include "admin/AdminTask.h"
#include "core/Log.h"
#include "http/FrontendTask.h"
#include "peer/PeerTask.h"
#include "store/StoreTask.h"

#include <csignal>

namespace basildeck {

namespace {

constexpr const char *component = "entry";
constexpr timespec signalPollInterval{ 0, 50'000'000 };

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

auto listenFailure(const Address &address)
{
    return failure(ErrorKind::InvalidSetting,
                   "cannot listen on address \"" + address.toString() + "\"");
}

} // namespace

Result<std::unique_ptr<EntryProcess>> EntryProcess::make(const Settings &settings)
{
    // Blocks the signals before any thread starts, so that only waitForSignals() receives them.
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::unique_ptr<EntryProcess> process(new EntryProcess);
    process->m_front = FrontendTask::make(settings);
    if (!process->m_front)
        return listenFailure(settings.callerAddress);
    process->m_store = StoreTask::make(settings);
    if (!process->m_store)
        return failure(ErrorKind::Internal, "cannot create the store client");
    process->m_peer
            = PeerTask::make(settings, process->m_front->mailbox(), process->m_store->mailbox());
    if (!process->m_peer)
        return listenFailure(settings.peerAddress);
    process->m_admin = AdminTask::make(settings);
    if (!process->m_admin)
        return listenFailure(settings.operatorAddress);
    process->m_front->connect(process->m_peer->mailbox(), process->m_admin->mailbox());
    process->m_store->connect(process->m_peer->mailbox());
    process->m_peer->connect(process->m_admin->mailbox());
    process->m_admin->connect(process->m_front->mailbox(), process->m_peer->mailbox(),
                              process->m_peer->statistics(), process->m_store->statistics());
    return process;
}

EntryProcess::~EntryProcess() = default;

void EntryProcess::requestLeave(bool immediate)
{
    m_front->mailbox().post(LeaveRequested{ immediate });
    m_peer->mailbox().post(LeaveRequested{ immediate });
}

void EntryProcess::waitForSignals()
{
    const sigset_t signals = terminationSignals();
    bool leaveRequested = false;
    while (!ended()) {
        if (sigtimedwait(&signals, nullptr, &signalPollInterval) < 0)
            continue;
        requestLeave(leaveRequested);
        leaveRequested = true;
    }
}

void EntryProcess::start()
{
    m_threads.emplace_back([this] { m_peer->run(); });
    m_threads.emplace_back([this] { m_store->run(); });
    m_threads.emplace_back([this] { m_admin->run(); });
    m_frontThread = std::thread([this] {
        m_front->run();
        m_ended.store(true);
    });
    BASILDECK_INFO(component) << "entry VM is serving";
}

// The front uses the other tasks until it has drained, so they are stopped after it.
void EntryProcess::join()
{
    m_frontThread.join();
    m_peer->stop();
    m_store->stop();
    m_admin->stop();
    for (std::thread &thread : m_threads)
        thread.join();
    BASILDECK_INFO(component) << "entry VM has left the fleet";
}

void EntryProcess::run()
{
    start();
    waitForSignals();
    join();
}

} // namespace basildeck
