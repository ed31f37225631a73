#include "soak/SoakCallers.h"

namespace basildeck::soak {

namespace {

constexpr Duration requestTimeout = milliseconds(2500);
constexpr std::size_t maxIdleConnectionsPerVm = 8;

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
    , m_timer(loop, [this] { sendRequest(); })
{}

void SoakCallers::start(double requestsPerSecond)
{
    m_timer.startRepeating(std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1 / requestsPerSecond)));
}

void SoakCallers::stop()
{
    m_timer.stop();
}

std::unique_ptr<HttpClientConnection> SoakCallers::takeConnection(std::size_t vm)
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

void SoakCallers::sendRequest()
{
    const auto randomIndex = [&](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    };
    const std::size_t vm = randomIndex(m_vms.count());
    auto connection = takeConnection(vm);
    if (!connection)
        return;
    const std::string id = "q" + std::to_string(m_nextRequestNumber++);
    const bool isUnsafe = randomIndex(3) == 0;
    const auto key
            = std::next(organisationsByKey().begin(),
                        static_cast<std::ptrdiff_t>(randomIndex(organisationsByKey().size())));
    const std::string path = (isUnsafe ? "/unsafe/" : "/safe/") + std::to_string(randomIndex(40));
    const std::string body = isUnsafe ? "order " + id : std::string();
    std::string requestText = std::string(isUnsafe ? "POST " : "GET ") + path
                              + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
                              + "\r\nApi-Key: " + key->first + "\r\nExpected-Organisation: "
                              + key->second + "\r\nCookie: Affinity-Key="
                              + std::to_string(randomIndex(40)) + "\r\nDeadline-Ms: 1500\r\n";
    if (isUnsafe)
        requestText += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    m_requests[id] = { isUnsafe, key->second, vm, m_loop.now(), 0 };
    auto request = std::make_unique<PendingRequest>();
    PendingRequest &raw = *request;
    raw.id = id;
    raw.vm = vm;
    raw.expectedBody = id + " " + path + " " + body;
    raw.connection = std::move(connection);
    raw.timeout = std::make_unique<Timer>(m_loop, [this, id] { finishRequest(id, false); });
    raw.timeout->startOnce(requestTimeout);
    m_pendingRequests[id] = std::move(request);
    raw.connection->begin({ requestText + "\r\n" + body, false,
                            [this, &raw](const MessageHead &head) {
                                const std::string *responseId = head.fields.find("Request-Id");
                                if (responseId == nullptr || *responseId != raw.id)
                                    m_violations.push_back(
                                            raw.id + " received the response to another request");
                                raw.status = head.status;
                                return true;
                            },
                            [&raw](std::string_view bytes) { raw.body.append(bytes); },
                            [this, id] { handleCompleteResponse(id); },
                            [this, id](ExchangeFailure) { finishRequest(id, false); } });
}

void SoakCallers::handleCompleteResponse(const std::string &id)
{
    const PendingRequest &request = *m_pendingRequests.at(id);
    m_requests[id].status = request.status;
    if (request.status / 100 == 2 && request.body != request.expectedBody)
        m_violations.push_back(id + " received a wrong body");
    finishRequest(id, true);
}

void SoakCallers::finishRequest(const std::string &id, bool keepConnection)
{
    const auto found = m_pendingRequests.find(id);
    if (found == m_pendingRequests.end())
        return;
    auto request = std::move(found->second);
    m_pendingRequests.erase(found);
    auto &idle = m_idle[request->vm];
    if (keepConnection && request->connection->isReusable()
        && idle.size() < maxIdleConnectionsPerVm) {
        idle.push_back(std::move(request->connection));
    } else {
        request->connection->close();
        m_loop.deleteLater(std::move(request->connection));
    }
    m_loop.deleteLater(std::move(request));
}

void SoakCallers::disconnectSome()
{
    std::vector<std::string> ids;
    for (const auto &[id, request] : m_pendingRequests) {
        if (std::uniform_int_distribution<int>(0, 1)(m_random) == 0)
            ids.push_back(id);
    }
    for (const std::string &id : ids)
        finishRequest(id, false);
}

} // namespace basildeck::soak
