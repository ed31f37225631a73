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

constexpr std::size_t readBytes = 64 * 1024;
constexpr int eventsInOneRound = 256;

// One kept-alive connection with at most one open request.
struct Client
{
    int descriptor = -1;
    bool busy = false;
    Time due;
    std::string in;
};

int connectTo(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &where.sin_addr);
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&where), sizeof where) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

// The length of the first whole answer in a buffer, or 0. Answers without Content-Length end with
// their last chunk.
std::size_t answerLength(const std::string &in)
{
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    std::string head = in.substr(0, end);
    std::transform(head.begin(), head.end(), head.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const auto field = head.find("content-length:");
    if (field == std::string::npos) {
        const auto last = in.find("\r\n0\r\n\r\n", end);
        return last == std::string::npos ? 0 : last + 7;
    }
    const std::size_t length = std::strtoull(head.c_str() + field + 15, nullptr, 10);
    return in.size() >= end + 4 + length ? end + 4 + length : 0;
}

class Load
{
public:
    explicit Load(const LoadOptions &options)
        : m_options(options)
    {
        m_epoll = ::epoll_create1(EPOLL_CLOEXEC);
        m_clients.resize(static_cast<std::size_t>(options.connections));
        for (std::size_t i = 0; i < m_clients.size(); ++i)
            open(i);
    }
    ~Load()
    {
        for (const Client &client : m_clients) {
            if (client.descriptor >= 0)
                ::close(client.descriptor);
        }
        ::close(m_epoll);
    }
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    LoadResult run()
    {
        const Time start = Clock::now();
        const Time end = start + m_options.duration;
        Time next = start;
        const bool paced = m_options.ratePerSecond > 0;
        const auto gap = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(paced ? 1 / m_options.ratePerSecond : 0));
        std::deque<Time> due;
        while (Clock::now() < end || anyBusy()) {
            const Time now = Clock::now();
            for (; paced && next <= now && next < end; next += gap)
                due.push_back(next);
            for (std::size_t i = 0; i < m_clients.size(); ++i) {
                if (m_clients[i].busy || now >= end + seconds(2))
                    continue;
                if (paced && !due.empty()) {
                    send(i, due.front());
                    due.pop_front();
                } else if (!paced && now < end) {
                    send(i, now);
                }
            }
            wait(paced ? 0 : 10);
            if (Clock::now() > end + seconds(5))
                break;
        }
        m_result.seconds = toSeconds(Clock::now() - start);
        std::sort(m_result.latenciesUs.begin(), m_result.latenciesUs.end());
        return std::move(m_result);
    }

private:
    bool anyBusy() const
    {
        return std::any_of(m_clients.begin(), m_clients.end(),
                           [](const Client &client) { return client.busy; });
    }

    void open(std::size_t index)
    {
        Client &client = m_clients[index];
        client = {};
        client.descriptor = connectTo(m_options.to);
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.u64 = index;
        if (client.descriptor >= 0)
            ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, client.descriptor, &event);
    }

    void broken(std::size_t index)
    {
        if (m_clients[index].busy || m_clients[index].descriptor < 0)
            ++m_result.statuses[0];
        if (m_clients[index].descriptor >= 0)
            ::close(m_clients[index].descriptor);
        open(index);
    }

    void send(std::size_t index, Time due)
    {
        Client &client = m_clients[index];
        client.busy = true;
        client.due = due;
        const std::string &request = m_options.request;
        if (::send(client.descriptor, request.data(), request.size(), MSG_NOSIGNAL)
            != static_cast<ssize_t>(request.size()))
            broken(index);
    }

    void wait(int milliseconds)
    {
        std::array<epoll_event, eventsInOneRound> events{};
        const int count = ::epoll_wait(m_epoll, events.data(), eventsInOneRound, milliseconds);
        for (int i = 0; i < count; ++i)
            receive(events[static_cast<std::size_t>(i)].data.u64);
    }

    void receive(std::size_t index)
    {
        Client &client = m_clients[index];
        static std::array<char, readBytes> buffer;
        const ssize_t length = ::recv(client.descriptor, buffer.data(), buffer.size(), 0);
        if (length <= 0) {
            broken(index);
            return;
        }
        client.in.append(buffer.data(), static_cast<std::size_t>(length));
        const std::size_t whole = answerLength(client.in);
        if (whole == 0)
            return;
        const int status = static_cast<int>(std::strtol(client.in.c_str() + 9, nullptr, 10));
        client.in.erase(0, whole);
        client.busy = false;
        ++m_result.statuses[status];
        const auto latency = std::chrono::duration_cast<microseconds>(Clock::now() - client.due);
        if (status < 300)
            m_result.latenciesUs.push_back(static_cast<std::uint32_t>(latency.count()));
    }

    const LoadOptions &m_options;
    LoadResult m_result;
    int m_epoll;
    std::vector<Client> m_clients;
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
    return Load(options).run();
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
