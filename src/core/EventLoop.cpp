#include "core/EventLoop.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

std::uint64_t ceilToMilliseconds(Duration duration)
{
    const auto count = std::chrono::ceil<milliseconds>(duration).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

template <typename Handle>
void closeAndDelete(Handle *handle)
{
    // After uv_close() no callback is made. The std::function lives in the handle, because it may
    // be the one that is executing now; the close callback frees both.
    uv_close(reinterpret_cast<uv_handle_t *>(&handle->uv),
             [](uv_handle_t *closed) { delete static_cast<Handle *>(closed->data); });
}

} // namespace

EventLoop::EventLoop()
{
    CHECK_EQ(uv_loop_init(&m_loop), 0);
    uv_prepare_init(&m_loop, &m_prepare);
    m_prepare.data = this;
    uv_prepare_start(&m_prepare, [](uv_prepare_t *prepare) {
        static_cast<EventLoop *>(prepare->data)->runDeferred();
    });
    uv_unref(reinterpret_cast<uv_handle_t *>(&m_prepare));
}

EventLoop::~EventLoop()
{
    runDeferred();
    uv_close(reinterpret_cast<uv_handle_t *>(&m_prepare), nullptr);
    uv_run(&m_loop, UV_RUN_NOWAIT);
    uv_loop_close(&m_loop);
}

void EventLoop::run()
{
    uv_run(&m_loop, UV_RUN_DEFAULT);
}

void EventLoop::stop()
{
    uv_stop(&m_loop);
}

void EventLoop::defer(std::function<void()> function)
{
    m_deferred.push_back(std::move(function));
}

void EventLoop::runDeferred()
{
    // Functions run before deletions: they may refer to objects that are about to be destroyed.
    while (!m_deferred.empty() || !m_deferredDeletions.empty()) {
        if (m_deferred.empty()) {
            const auto deletions = std::exchange(m_deferredDeletions, {});
            continue;
        }
        const auto functions = std::exchange(m_deferred, {});
        for (const auto &function : functions)
            function();
    }
}

struct Timer::Handle
{
    uv_timer_t uv;
    std::function<void()> function;
};

Timer::Timer(EventLoop &loop, std::function<void()> function)
    : m_handle(new Handle{ {}, std::move(function) })
{
    uv_timer_init(loop.handle(), &m_handle->uv);
    m_handle->uv.data = m_handle;
}

Timer::~Timer()
{
    closeAndDelete(m_handle);
}

namespace {

template <typename Handle>
void callFunction(Handle *handle)
{
    handle->function();
}

} // namespace

void Timer::startOnce(Duration delay)
{
    uv_update_time(m_handle->uv.loop);
    uv_timer_start(
            &m_handle->uv,
            [](uv_timer_t *timer) { callFunction(static_cast<Handle *>(timer->data)); },
            ceilToMilliseconds(delay), 0);
}

void Timer::startRepeating(Duration period)
{
    const std::uint64_t periodMs = std::max<std::uint64_t>(1, ceilToMilliseconds(period));
    uv_timer_start(
            &m_handle->uv,
            [](uv_timer_t *timer) { callFunction(static_cast<Handle *>(timer->data)); }, periodMs,
            periodMs);
}

void Timer::stop()
{
    uv_timer_stop(&m_handle->uv);
}

struct DescriptorWatcher::Handle
{
    uv_poll_t uv;
    ReadyCallback function;
    bool readInterest = false;
    bool writeInterest = false;
    bool closeInterest = false;
};

DescriptorWatcher::DescriptorWatcher(EventLoop &loop, int descriptor, ReadyCallback callback)
    : m_handle(new Handle{ {}, std::move(callback), false, false, false })
{
    CHECK_EQ(uv_poll_init(loop.handle(), &m_handle->uv, descriptor), 0);
    m_handle->uv.data = m_handle;
}

DescriptorWatcher::~DescriptorWatcher()
{
    closeAndDelete(m_handle);
}

void DescriptorWatcher::setInterest(bool read, bool write, bool close)
{
    if (read == m_handle->readInterest && write == m_handle->writeInterest
        && close == m_handle->closeInterest)
        return;
    m_handle->readInterest = read;
    m_handle->writeInterest = write;
    m_handle->closeInterest = close;
    if (!read && !write && !close) {
        uv_poll_stop(&m_handle->uv);
        return;
    }
    const int events
            = (read ? UV_READABLE : 0) | (write ? UV_WRITABLE : 0) | (close ? UV_DISCONNECT : 0);
    uv_poll_start(&m_handle->uv, events, [](uv_poll_t *poll, int status, int readyEvents) {
        auto *handle = static_cast<Handle *>(poll->data);
        // libuv stops polling after it reports an error. Data received before the error can still
        // be read, so clear the interest: the next setInterest() then restarts polling.
        if (status < 0)
            handle->readInterest = handle->writeInterest = handle->closeInterest = false;
        const bool readable = status < 0 || (readyEvents & (UV_READABLE | UV_DISCONNECT)) != 0;
        handle->function(readable, (readyEvents & UV_WRITABLE) != 0);
    });
}

struct SignalWatcher::Handle
{
    uv_signal_t uv;
    std::function<void()> function;
};

SignalWatcher::SignalWatcher(EventLoop &loop, int signal, std::function<void()> function)
    : m_handle(new Handle{ {}, std::move(function) })
{
    uv_signal_init(loop.handle(), &m_handle->uv);
    m_handle->uv.data = m_handle;
    uv_signal_start(
            &m_handle->uv,
            [](uv_signal_t *signalHandle, int) {
                callFunction(static_cast<Handle *>(signalHandle->data));
            },
            signal);
}

SignalWatcher::~SignalWatcher()
{
    closeAndDelete(m_handle);
}

} // namespace basildeck
