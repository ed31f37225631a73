#include "soak/FaultProxy.h"

namespace basildeck::soak {

namespace {

constexpr Duration delayTime = milliseconds(120);

} // namespace

void callLater(EventLoop &loop, Duration delay, std::function<void()> function)
{
    // The timer owns itself until it has fired.
    struct Call
    {
        std::unique_ptr<Timer> timer;
    };
    auto call = std::make_shared<Call>();
    call->timer = std::make_unique<Timer>(loop, [&loop, call, function = std::move(function)] {
        function();
        loop.deleteLater(std::move(call->timer));
    });
    call->timer->startOnce(delay);
}

std::unique_ptr<FaultProxy> FaultProxy::make(EventLoop &loop, const Address &at, const Address &to)
{
    std::unique_ptr<FaultProxy> proxy(new FaultProxy(loop, to));
    auto listener = TcpListener::make(loop, at, [raw = proxy.get()](int fd) { raw->accept(fd); });
    if (!listener)
        return nullptr;
    proxy->m_listener = std::move(listener.value());
    return proxy;
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::accept(int descriptor)
{
    auto near = std::make_unique<TcpStream>(m_loop, descriptor, false);
    auto far = m_mode == ProxyMode::Refuse ? nullptr : TcpStream::connect(m_loop, m_to);
    if (!far) {
        near->reset();
        return;
    }
    const std::uint64_t number = m_next++;
    near->setCallbacks(
            { {},
              [this, number](std::string_view bytes) { pass(number, true, bytes); },
              [this, number](CloseReason how) { end(number, how == CloseReason::ConnectionError); },
              {} });
    far->setCallbacks(
            { {},
              [this, number](std::string_view bytes) { pass(number, false, bytes); },
              [this, number](CloseReason how) { end(number, how == CloseReason::ConnectionError); },
              {} });
    m_links[number] = { std::move(near), std::move(far), false };
}

void FaultProxy::pass(std::uint64_t number, bool towardsServer, std::string_view bytes)
{
    Link &link = m_links.at(number);
    const bool isLost
            = m_mode == ProxyMode::Silent || (m_mode == ProxyMode::OneWay && towardsServer);
    link.tainted = link.tainted || isLost;
    if (link.tainted)
        return;
    if (m_mode == ProxyMode::Delay)
        callLater(m_loop, delayTime, [this, number, towardsServer, text = std::string(bytes)] {
            deliver(number, towardsServer, text);
        });
    else
        deliver(number, towardsServer, std::string(bytes));
}

void FaultProxy::deliver(std::uint64_t number, bool towardsServer, const std::string &bytes)
{
    const auto found = m_links.find(number);
    if (found != m_links.end())
        (towardsServer ? found->second.far : found->second.near)->write(bytes);
}

void FaultProxy::end(std::uint64_t number, bool reset)
{
    const auto found = m_links.find(number);
    if (found == m_links.end())
        return;
    Link link = std::move(found->second);
    m_links.erase(found);
    for (auto *side : { &link.near, &link.far }) {
        if (reset)
            (*side)->reset();
        else
            (*side)->close();
        m_loop.deleteLater(std::move(*side));
    }
}

void FaultProxy::endAll()
{
    while (!m_links.empty())
        end(m_links.begin()->first, true);
}

void FaultProxy::setMode(ProxyMode mode)
{
    m_mode = mode == ProxyMode::ResetAll ? ProxyMode::Pass : mode;
    if (mode == ProxyMode::ResetAll || mode == ProxyMode::Refuse)
        endAll();
}

} // namespace basildeck::soak
