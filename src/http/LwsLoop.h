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

// One libwebsockets context. The thread that calls run() owns every socket of the loop; the only
// calls that other threads may make are wake() and stop().
class LwsLoop
{
public:
    struct Options
    {
        std::size_t maxHeaderBytes = 8192;
        std::size_t maxHeaderPool = 1024; // requests whose heads are parsed at the same time
        microseconds tick{ 10'000 };
        seconds timeout{ 20 }; // for heads, handshakes and idle steps of the library
    };

    // Returns null if the library cannot make a context.
    static std::unique_ptr<LwsLoop> make(const Options &options);
    ~LwsLoop();
    LwsLoop(const LwsLoop &) = delete;
    LwsLoop &operator=(const LwsLoop &) = delete;

    // Functions that the loop's thread calls: after a wake, and at each tick.
    void setOnWake(std::function<void()> onWake) { m_onWake = std::move(onWake); }
    void setOnTick(std::function<void()> onTick) { m_onTick = std::move(onTick); }

    // Serves until stop() is called.
    void run();
    // Serves one round, waiting at most until the next tick.
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
