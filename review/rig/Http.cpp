#include "Http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <thread>
#include <utility>

namespace rig {

namespace {

sockaddr_in toAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string word(const std::string &text, int index)
{
    std::size_t start = 0;
    for (int i = 0; i < index; ++i) {
        start = text.find(' ', start);
        if (start == std::string::npos)
            return {};
        ++start;
    }
    return text.substr(start, text.find(' ', start) - start);
}

void noDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

std::string Message::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

int Message::status() const
{
    return std::atoi(word(start, 1).c_str());
}

std::string Message::method() const
{
    return word(start, 0);
}

std::string Message::target() const
{
    return word(start, 1);
}

std::unique_ptr<Channel> Channel::connect(const std::string &ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = toAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0) {
        ::close(descriptor);
        return nullptr;
    }
    noDelay(descriptor);
    return std::make_unique<Channel>(descriptor);
}

bool Channel::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Channel::readMore(Time until)
{
    const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
    pollfd entry{ m_descriptor, POLLIN, 0 };
    if (left < 0 || poll(&entry, 1, static_cast<int>(left) + 1) <= 0)
        return false;
    static thread_local std::array<char, 65536> buffer;
    const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return false;
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Channel::read(bool isResponse, Time until)
{
    for (;;) {
        std::size_t end = m_input.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!readMore(until))
                return std::nullopt;
            end = m_input.find("\r\n\r\n");
        }
        Message message;
        std::size_t at = m_input.find("\r\n");
        message.start = m_input.substr(0, at);
        while (at < end) {
            const std::size_t next = m_input.find("\r\n", at + 2);
            const std::string line = m_input.substr(at + 2, next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos)
                message.fields[lowerCase(line.substr(0, colon))]
                        = line.substr(line.find_first_not_of(' ', colon + 1));
            at = next;
        }
        m_input.erase(0, end + 4);
        if (isResponse && message.status() / 100 == 1)
            continue;
        if (lowerCase(message.field("transfer-encoding")) == "chunked") {
            for (;;) {
                std::size_t line = m_input.find("\r\n");
                while (line == std::string::npos) {
                    if (!readMore(until))
                        return std::nullopt;
                    line = m_input.find("\r\n");
                }
                const std::size_t size = std::strtoul(m_input.c_str(), nullptr, 16);
                while (m_input.size() < line + 2 + size + 2) {
                    if (!readMore(until))
                        return std::nullopt;
                }
                message.body.append(m_input, line + 2, size);
                m_input.erase(0, line + 2 + size + 2);
                if (size == 0)
                    return message;
            }
        }
        const std::string length = message.field("content-length");
        if (length.empty() && isResponse) {
            while (readMore(until)) {
            }
            message.body = std::exchange(m_input, {});
            return message;
        }
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (m_input.size() < size) {
            if (!readMore(until))
                return std::nullopt;
        }
        message.body = m_input.substr(0, size);
        m_input.erase(0, size);
        return message;
    }
}

void Channel::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

void Channel::shutDown()
{
    if (m_descriptor < 0)
        return;
    // Input that was not read is answered by a reset, like at the end of a process.
    const linger now{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    shutdown(m_descriptor, SHUT_RDWR);
}

bool Link::send(Channel &channel, std::string_view bytes)
{
    constexpr std::size_t pieceBytes = 256UL * 1024;
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, pieceBytes);
        Time turn;
        {
            const std::lock_guard lock(m_mutex);
            turn = std::max(m_freeAt, Clock::now());
            const std::chrono::duration<double> time(static_cast<double>(piece.size())
                                                     / m_bytesPerSecond);
            m_freeAt = turn + std::chrono::duration_cast<Clock::duration>(time);
        }
        std::this_thread::sleep_until(turn);
        if (!channel.send(piece))
            return false;
        bytes.remove_prefix(piece.size());
    }
    return true;
}

int listenAt(const std::string &ip, std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = toAddress(ip, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0
        || listen(descriptor, 512) < 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace rig
