#include "standin/LoadGenerator.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <sstream>

namespace basildeck::standin {

namespace {

constexpr std::size_t receiveBufferSize = 64 * 1024;
constexpr int maxEventsPerWait = 256;

// A keep-alive connection with at most one outstanding request.
struct ClientConnection
{
    int descriptor = -1;
    bool hasOpenRequest = false;
    Time scheduledTime;
    std::string received;
};

int connectSocket(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in destination{};
    destination.sin_family = AF_INET;
    destination.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &destination.sin_addr);
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&destination), sizeof destination)
        == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

// Returns the length of the first response in a buffer, or 0 if it is incomplete. A response
// without Content-Length is taken to be chunked and ends with its last chunk.
std::size_t completeResponseLength(const std::string &received)
{
    const auto end = received.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    std::string head = received.substr(0, end);
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const auto field = head.find("content-length:");
    if (field == std::string::npos) {
        const auto lastChunk = received.find("\r\n0\r\n\r\n", end);
        return lastChunk == std::string::npos ? 0 : lastChunk + 7;
    }
    const std::size_t length = std::strtoull(head.c_str() + field + 15, nullptr, 10);
    return received.size() >= end + 4 + length ? end + 4 + length : 0;
}

class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : m_options(options)
    {
        m_epoll = ::epoll_create1(EPOLL_CLOEXEC);
        m_connections.resize(static_cast<std::size_t>(options.connections));
        for (std::size_t i = 0; i < m_connections.size(); ++i)
            open(i);
    }
    ~LoadRun()
    {
        for (const ClientConnection &connection : m_connections) {
            if (connection.descriptor >= 0)
                ::close(connection.descriptor);
        }
        ::close(m_epoll);
    }
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    LoadResult run()
    {
        const Time start = Clock::now();
        const Time end = start + m_options.duration;
        Time nextScheduledTime = start;
        const bool isPaced = m_options.ratePerSecond > 0;
        const auto sendInterval = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(isPaced ? 1 / m_options.ratePerSecond : 0));
        std::deque<Time> unsentTimes;
        while (Clock::now() < end || hasOpenRequests()) {
            const Time now = Clock::now();
            for (; isPaced && nextScheduledTime <= now && nextScheduledTime < end;
                 nextScheduledTime += sendInterval)
                unsentTimes.push_back(nextScheduledTime);
            for (std::size_t i = 0; i < m_connections.size(); ++i) {
                if (m_connections[i].hasOpenRequest || now >= end + seconds(2))
                    continue;
                if (isPaced && !unsentTimes.empty()) {
                    send(i, unsentTimes.front());
                    unsentTimes.pop_front();
                } else if (!isPaced && now < end) {
                    send(i, now);
                }
            }
            pollEvents(isPaced ? 0 : 10);
            if (Clock::now() > end + seconds(5))
                break;
        }
        m_result.seconds = toSeconds(Clock::now() - start);
        std::sort(m_result.latenciesUs.begin(), m_result.latenciesUs.end());
        return std::move(m_result);
    }

private:
    bool hasOpenRequests() const
    {
        return std::any_of(
                m_connections.begin(), m_connections.end(),
                [](const ClientConnection &connection) { return connection.hasOpenRequest; });
    }

    void open(std::size_t index)
    {
        ClientConnection &connection = m_connections[index];
        connection = {};
        connection.descriptor = connectSocket(m_options.to);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = index;
        if (connection.descriptor >= 0)
            ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, connection.descriptor, &event);
    }

    void handleConnectionFailure(std::size_t index)
    {
        if (m_connections[index].hasOpenRequest || m_connections[index].descriptor < 0)
            ++m_result.statuses[0];
        if (m_connections[index].descriptor >= 0)
            ::close(m_connections[index].descriptor);
        open(index);
    }

    void send(std::size_t index, Time scheduledTime)
    {
        ClientConnection &connection = m_connections[index];
        connection.hasOpenRequest = true;
        connection.scheduledTime = scheduledTime;
        const std::string &request = m_options.request;
        if (::send(connection.descriptor, request.data(), request.size(), MSG_NOSIGNAL)
            != static_cast<ssize_t>(request.size()))
            handleConnectionFailure(index);
    }

    void pollEvents(int milliseconds)
    {
        std::array<epoll_event, maxEventsPerWait> events{};
        const int count = ::epoll_wait(m_epoll, events.data(), maxEventsPerWait, milliseconds);
        for (int i = 0; i < count; ++i)
            receive(events[static_cast<std::size_t>(i)].data.u64);
    }

    void receive(std::size_t index)
    {
        ClientConnection &connection = m_connections[index];
        static std::array<char, receiveBufferSize> buffer;
        const ssize_t length = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
        if (length <= 0) {
            handleConnectionFailure(index);
            return;
        }
        connection.received.append(buffer.data(), static_cast<std::size_t>(length));
        const std::size_t responseLength = completeResponseLength(connection.received);
        if (responseLength == 0)
            return;
        const int status
                = static_cast<int>(std::strtol(connection.received.c_str() + 9, nullptr, 10));
        connection.received.erase(0, responseLength);
        connection.hasOpenRequest = false;
        ++m_result.statuses[status];
        const auto latency
                = std::chrono::duration_cast<microseconds>(Clock::now() - connection.scheduledTime);
        if (status < 300)
            m_result.latenciesUs.push_back(static_cast<std::uint32_t>(latency.count()));
    }

    const LoadOptions &m_options;
    LoadResult m_result;
    int m_epoll;
    std::vector<ClientConnection> m_connections;
};

} // namespace

double LoadResult::perSecond() const
{
    return seconds > 0 ? static_cast<double>(succeeded()) / seconds : 0;
}

std::uint32_t LoadResult::quantileUs(double quantile) const
{
    if (latenciesUs.empty())
        return 0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(latenciesUs.size()));
    return latenciesUs[std::min(index, latenciesUs.size() - 1)];
}

LoadResult runLoad(const LoadOptions &options)
{
    return LoadRun(options).run();
}

std::string describe(const LoadResult &result)
{
    std::ostringstream out;
    out << result.succeeded() << " succeeded, " << static_cast<std::uint64_t>(result.perSecond())
        << "/s, p50 " << result.quantileUs(0.5) << " us, p99 " << result.quantileUs(0.99)
        << " us; by status:";
    for (const auto &[status, count] : result.statuses)
        out << ' ' << status << '=' << count;
    return out.str();
}

} // namespace basildeck::standin
