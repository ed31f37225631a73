#include "http/LwsLoop.h"

#include <libwebsockets.h>

#include <atomic>

namespace basildeck {

struct LwsLoop::Flags
{
    std::atomic<bool> stopped{ false };
    std::atomic<bool> woken{ false };
};

// `entry` must be the first member, so that the callback can cast its address to the Timer.
struct LwsLoop::Timer
{
    lws_sorted_usec_list_t entry{};
    LwsLoop *loop = nullptr;
    microseconds period{ 0 };

    static void onExpired(lws_sorted_usec_list_t *entry)
    {
        auto *timer = reinterpret_cast<Timer *>(entry);
        timer->schedule();
        if (timer->loop->m_onTick)
            timer->loop->m_onTick();
    }

    void schedule() { lws_sul_schedule(loop->m_context, 0, &entry, onExpired, period.count()); }
};

std::unique_ptr<LwsLoop> LwsLoop::make(const Options &options)
{
    lws_set_log_level(LLL_ERR, [](int, const char *) {});
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.max_http_header_data2 = static_cast<unsigned int>(options.maxHeaderBytes);
    info.max_http_header_pool2 = static_cast<unsigned int>(options.maxHeaderPool);
    info.timeout_secs = static_cast<unsigned int>(options.timeout.count());
    info.pt_serv_buf_size = 65536;
    info.gid = -1;
    info.uid = -1;
    std::unique_ptr<LwsLoop> loop(new LwsLoop);
    loop->m_flags = std::make_unique<Flags>();
    loop->m_context = lws_create_context(&info);
    if (loop->m_context == nullptr)
        return nullptr;
    loop->m_timer = std::make_unique<Timer>();
    loop->m_timer->loop = loop.get();
    loop->m_timer->period = options.tick;
    loop->m_timer->schedule();
    return loop;
}

LwsLoop::~LwsLoop()
{
    if (m_context != nullptr)
        lws_context_destroy(m_context);
}

void LwsLoop::run()
{
    while (!m_flags->stopped.load())
        serviceOnce();
}

void LwsLoop::serviceOnce()
{
    lws_service(m_context, 0);
    if (m_flags->woken.exchange(false) && m_onWake)
        m_onWake();
}

void LwsLoop::wake()
{
    m_flags->woken.store(true);
    lws_cancel_service(m_context);
}

void LwsLoop::stop()
{
    m_flags->stopped.store(true);
    lws_cancel_service(m_context);
}

} // namespace basildeck
