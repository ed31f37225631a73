#pragma once

#include "basildeck/Time.h"

#include <uv.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace basildeck {

// The event loop of one task, implemented with libuv. Not thread-safe.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void run();
    void stop();
    Time now() const { return Clock::now(); }
    // Calls a function after the current callback has returned, before the loop blocks again.
    void defer(std::function<void()> function);
    // Destroys an object after the current callback has returned. Needed for an object that may be
    // executing one of its own callbacks.
    template <typename T>
    void deleteLater(std::unique_ptr<T> object)
    {
        if (object)
            m_deferredDeletions.push_back(std::make_unique<DeferredObject<T>>(std::move(object)));
    }

    uv_loop_t *handle() { return &m_loop; }

private:
    // Type-erased owner of an object that waits for its destruction.
    struct DeferredDeletion
    {
        virtual ~DeferredDeletion() = default;
    };
    template <typename T>
    struct DeferredObject final : DeferredDeletion
    {
        explicit DeferredObject(std::unique_ptr<T> o)
            : object(std::move(o))
        {}
        std::unique_ptr<T> object;
    };

    void runDeferred();

    uv_loop_t m_loop;
    uv_prepare_t m_prepare;
    std::vector<std::function<void()>> m_deferred;
    std::vector<std::unique_ptr<DeferredDeletion>> m_deferredDeletions;
};

// Calls a function once after a delay, or periodically. Destruction cancels the timer.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> function);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startRepeating(Duration period);
    void stop();

private:
    struct Handle;
    Handle *m_handle; // freed by the close callback, which runs on the loop
};

// Reports when a file descriptor is readable or writable. Does not own the descriptor.
class DescriptorWatcher
{
public:
    // A descriptor in an error state is reported as readable, so that the next read returns the
    // error.
    using ReadyCallback = std::function<void(bool readable, bool writable)>;

    DescriptorWatcher(EventLoop &loop, int descriptor, ReadyCallback callback);
    ~DescriptorWatcher();
    DescriptorWatcher(const DescriptorWatcher &) = delete;
    DescriptorWatcher &operator=(const DescriptorWatcher &) = delete;

    // Sets which events are reported. With none, polling stops. The close by the peer, after which
    // it sends nothing more, is reported as readable.
    void setInterest(bool read, bool write, bool close = false);

private:
    struct Handle;
    Handle *m_handle; // freed by the close callback, which runs on the loop
};

// Calls a function on the loop when the process receives a signal.
class SignalWatcher
{
public:
    SignalWatcher(EventLoop &loop, int signal, std::function<void()> function);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    struct Handle;
    Handle *m_handle; // freed by the close callback, which runs on the loop
};

} // namespace basildeck
