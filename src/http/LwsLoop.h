#pragma once

#include "basildeck/Time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

struct lws;
struct lws_context;
struct lws_protocols;
struct lws_vhost;

namespace basildeck {

// An event loop on one libwebsockets context. The thread that calls run() owns every socket of the
// loop; other threads may only call wake() and stop().
class LwsLoop
{
public:
    struct Options
    {
        std::size_t maxHeaderBytes = 8192;
        std::size_t maxHeaderPool = 1024; // maximum number of request heads parsed concurrently
        microseconds tick{ 10'000 };
        seconds timeout{ 20 }; // for request heads, handshakes and other steps of libwebsockets
    };

    // Returns null if libwebsockets cannot create a context.
    static std::unique_ptr<LwsLoop> make(const Options &options);
    ~LwsLoop();
    LwsLoop(const LwsLoop &) = delete;
    LwsLoop &operator=(const LwsLoop &) = delete;

    // Set the callbacks that run on the loop's thread, after wake() and at each tick.
    void setOnWake(std::function<void()> onWake) { m_onWake = std::move(onWake); }
    void setOnTick(std::function<void()> onTick) { m_onTick = std::move(onTick); }

    // Runs the loop until stop() is called.
    void run();
    // Runs one iteration of the loop, which blocks until the next tick at most.
    void serviceOnce();

    void wake();
    void stop();

    lws_context *context() const { return m_context; }

private:
    LwsLoop() = default;

    struct Timer;

    lws_context *m_context = nullptr;
    std::unique_ptr<Timer> m_timer;
    std::function<void()> m_onWake;
    std::function<void()> m_onTick;
    struct Flags;
    std::unique_ptr<Flags> m_flags;
};

} // namespace basildeck
