#include "Net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

const Clock::time_point started = Clock::now();

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

int waitFor(int descriptor, short events, double until)
{
    for (;;) {
        const double left = until - now();
        if (left <= 0)
            return 0;
        pollfd polled{ descriptor, events, 0 };
        const int ready = ::poll(&polled, 1, static_cast<int>(std::min(left, 1.0) * 1000) + 1);
        if (ready > 0)
            return polled.revents;
        if (ready < 0 && errno != EINTR)
            return 0;
    }
}

} // namespace

double now()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleepUntil(double second)
{
    sleepFor(second - now());
}

std::string Message::field(const std::string &name) const
{
    const auto found = fields.find(lowerCase(name));
    return found == fields.end() ? std::string() : found->second;
}

Channel::~Channel()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

std::unique_ptr<Channel> Channel::connect(const Address &to, double timeout, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    auto channel = std::make_unique<Channel>(descriptor);
    const int one = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const sockaddr_in address = toSocketAddress(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0
        && errno != EINPROGRESS)
        return nullptr;
    if (waitFor(descriptor, POLLOUT, now() + timeout) == 0)
        return nullptr;
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0 ? std::move(channel) : nullptr;
}

bool Channel::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (waitFor(m_descriptor, POLLOUT, now() + 60) == 0)
                return false;
            continue;
        }
        if (sent < 0 && errno == EINTR)
            continue;
        return false;
    }
    return true;
}

std::size_t Channel::read(char *to, std::size_t most, double timeout)
{
    const double until = now() + timeout;
    for (;;) {
        const ssize_t count = ::recv(m_descriptor, to, most, 0);
        if (count > 0)
            return static_cast<std::size_t>(count);
        if (count == 0)
            return 0;
        if (errno == EINTR)
            continue;
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            m_isReset = true;
            return 0;
        }
        if (waitFor(m_descriptor, POLLIN, until) == 0) {
            m_isTimedOut = true;
            return 0;
        }
    }
}

bool Channel::fill(double until)
{
    std::array<char, 65536> buffer;
    const std::size_t count = read(buffer.data(), buffer.size(), until - now());
    m_input.append(buffer.data(), count);
    return count > 0;
}

std::optional<Message> Channel::readMessage(bool isResponse, double timeout)
{
    const double until = now() + timeout;
    std::size_t end = 0;
    while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    Message message;
    const std::string head = m_input.substr(0, end);
    m_input.erase(0, end + 4);
    std::size_t line = head.find("\r\n");
    const std::string first = head.substr(0, line);
    if (isResponse) {
        message.status = first.size() > 9 ? std::atoi(first.c_str() + 9) : 0;
    } else {
        const std::size_t space = first.find(' ');
        const std::size_t last = first.rfind(' ');
        message.method = first.substr(0, space);
        message.target = first.substr(space + 1, last - space - 1);
    }
    while (line != std::string::npos) {
        const std::size_t next = head.find("\r\n", line + 2);
        const std::string text = head.substr(line + 2, next == std::string::npos ? std::string::npos
                                                                                 : next - line - 2);
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos)
            message.fields[lowerCase(text.substr(0, colon))] = trimmed(text.substr(colon + 1));
        line = next;
    }
    message.keepsChannel = lowerCase(message.field("connection")) != "close";
    const std::string length = message.field("content-length");
    if (lowerCase(message.field("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t sizeEnd = 0;
            while ((sizeEnd = m_input.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return message;
            }
            const std::size_t size = std::strtoul(m_input.c_str(), nullptr, 16);
            while (m_input.size() < sizeEnd + 2 + size + 2) {
                if (!fill(until)) {
                    message.body += m_input.substr(sizeEnd + 2, size);
                    return message;
                }
            }
            message.body += m_input.substr(sizeEnd + 2, size);
            m_input.erase(0, sizeEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else if (!length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (m_input.size() < size) {
            if (!fill(until)) {
                message.body = std::exchange(m_input, {});
                return message;
            }
        }
        message.body = m_input.substr(0, size);
        m_input.erase(0, size);
    } else if (isResponse && message.status != 204 && message.status != 304) {
        while (fill(until)) {
        }
        message.body = std::exchange(m_input, {});
        message.keepsChannel = false;
        message.isComplete = !m_isReset && !m_isTimedOut;
        return message;
    }
    message.isComplete = true;
    return message;
}

void Channel::reset()
{
    const linger resetOnClose{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    ::close(std::exchange(m_descriptor, -1));
}

void Channel::shutDown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

bool Channel::hasEnded() const
{
    pollfd polled{ m_descriptor, POLLIN | POLLRDHUP, 0 };
    return ::poll(&polled, 1, 0) > 0 && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

struct Server::Shared
{
    std::mutex mutex;
    std::set<int> open;
    std::atomic<bool> ends = false;
};

Server::Server(const Address &at, Serve serve)
    : m_shared(std::make_shared<Shared>())
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = toSocketAddress(at);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0
        || ::listen(m_listener, 512) < 0) {
        std::fprintf(stderr, "cannot listen at %s\n", at.text().c_str());
        std::_Exit(2);
    }
    m_thread = std::thread([listener = m_listener, shared = m_shared, serve = std::move(serve)] {
        while (!shared->ends) {
            if (waitFor(listener, POLLIN, now() + 0.05) == 0)
                continue;
            const int accepted
                    = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int noDelay = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            {
                const std::lock_guard lock(shared->mutex);
                shared->open.insert(accepted);
            }
            std::thread([accepted, shared, serve] {
                Channel channel(accepted);
                serve(channel);
                const std::lock_guard lock(shared->mutex);
                shared->open.erase(accepted);
            }).detach();
        }
    });
}

void Server::crash()
{
    if (m_listener < 0)
        return;
    m_shared->ends = true;
    if (m_thread.joinable())
        m_thread.join();
    ::close(std::exchange(m_listener, -1));
    const std::lock_guard lock(m_shared->mutex);
    for (const int descriptor : m_shared->open)
        ::shutdown(descriptor, SHUT_RDWR);
}

Server::~Server()
{
    crash();
}

std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool canBind(const Address &at)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    const sockaddr_in address = toSocketAddress(at);
    const bool isBound
            = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
              == 0;
    ::close(descriptor);
    return isBound;
}

} // namespace review
