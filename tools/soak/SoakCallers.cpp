#include "soak/SoakCallers.h"

namespace basildeck::soak {

namespace {

constexpr Duration callTimeout = milliseconds(2500);
constexpr std::size_t maxIdlePerVm = 8;

} // namespace

const std::map<std::string, std::string> &SoakCallers::organisationsByKey()
{
    static const std::map<std::string, std::string> keys
            = { { "key-alpha", "alpha" }, { "key-beta", "beta" }, { "key-limited", "limited" } };
    return keys;
}

SoakCallers::SoakCallers(EventLoop &loop, SoakVms &vms, std::mt19937_64 &random)
    : m_loop(loop)
    , m_vms(vms)
    , m_random(random)
    , m_timer(loop, [this] { send(); })
{}

void SoakCallers::start(double perSecond)
{
    m_timer.startRepeating(
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond)));
}

void SoakCallers::stop()
{
    m_timer.stop();
}

std::unique_ptr<HttpClientConnection> SoakCallers::connectionTo(std::size_t vm)
{
    auto &idle = m_idle[vm];
    while (!idle.empty()) {
        auto connection = std::move(idle.front());
        idle.pop_front();
        if (connection->isReusable())
            return connection;
        connection->close();
        m_loop.deleteLater(std::move(connection));
    }
    return HttpClientConnection::make(m_loop, m_vms.callerAddress(vm));
}

void SoakCallers::send()
{
    const auto pick = [&](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    };
    const std::size_t vm = pick(m_vms.count());
    auto connection = connectionTo(vm);
    if (!connection)
        return;
    const std::string id = "q" + std::to_string(m_next++);
    const bool isUnsafe = pick(3) == 0;
    const auto key = std::next(organisationsByKey().begin(),
                               static_cast<std::ptrdiff_t>(pick(organisationsByKey().size())));
    const std::string path = (isUnsafe ? "/unsafe/" : "/safe/") + std::to_string(pick(40));
    const std::string body = isUnsafe ? "order " + id : std::string();
    std::string text = std::string(isUnsafe ? "POST " : "GET ") + path
                       + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
                       + "\r\nApi-Key: " + key->first + "\r\nExpected-Organisation: " + key->second
                       + "\r\nCookie: Affinity-Key=" + std::to_string(pick(40))
                       + "\r\nDeadline-Ms: 1500\r\n";
    if (isUnsafe)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_calls[id] = { isUnsafe, key->second, vm, m_loop.now(), 0 };
    auto call = std::make_unique<Call>();
    Call &raw = *call;
    raw.id = id;
    raw.vm = vm;
    raw.expectedBody = id + " " + path + " " + body;
    raw.connection = std::move(connection);
    raw.timeout = std::make_unique<Timer>(m_loop, [this, id] { drop(id, false); });
    raw.timeout->startOnce(callTimeout);
    m_open[id] = std::move(call);
    raw.connection->begin(
            { text + "\r\n" + body, false,
              [this, &raw](const MessageHead &head) {
                  const std::string *answered = head.fields.find("Request-Id");
                  if (answered == nullptr || *answered != raw.id)
                      m_faults.push_back(raw.id + " got an answer to another request");
                  raw.status = head.status;
                  return true;
              },
              [&raw](std::string_view bytes) { raw.body.append(bytes); },
              [this, id] { takeWhole(id); }, [this, id](ExchangeFailure) { drop(id, false); } });
}

void SoakCallers::takeWhole(const std::string &id)
{
    const Call &call = *m_open.at(id);
    m_calls[id].status = call.status;
    if (call.status / 100 == 2 && call.body != call.expectedBody)
        m_faults.push_back(id + " got a body that is not its own");
    drop(id, true);
}

void SoakCallers::drop(const std::string &id, bool keep)
{
    const auto found = m_open.find(id);
    if (found == m_open.end())
        return;
    auto call = std::move(found->second);
    m_open.erase(found);
    auto &idle = m_idle[call->vm];
    if (keep && call->connection->isReusable() && idle.size() < maxIdlePerVm) {
        idle.push_back(std::move(call->connection));
    } else {
        call->connection->close();
        m_loop.deleteLater(std::move(call->connection));
    }
    m_loop.deleteLater(std::move(call));
}

void SoakCallers::leaveSome()
{
    std::vector<std::string> ids;
    for (const auto &[id, call] : m_open) {
        if (std::uniform_int_distribution<int>(0, 1)(m_random) == 0)
            ids.push_back(id);
    }
    for (const std::string &id : ids)
        drop(id, false);
}

} // namespace basildeck::soak
