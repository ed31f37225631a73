#include "standin/RawSocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>

namespace basildeck::standin {

namespace {

constexpr std::size_t receiveBlockSize = 64 * 1024;
constexpr int listenBacklog = 1024;

sockaddr_in socketAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string toLowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::optional<std::size_t> parseNumber(std::string_view text, int base)
{
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc() || end == text.data())
        return std::nullopt;
    return value;
}

// Appends the given number of bytes from the socket to a body. Returns false if the connection ends
// earlier.
bool readFixedLength(RawSocket &socket, std::string &body, std::size_t length)
{
    const std::size_t endSize = body.size() + length;
    while (body.size() < endSize) {
        if (socket.buffer().empty() && !socket.receive())
            return false;
        const std::size_t byteCount = std::min(endSize - body.size(), socket.buffer().size());
        body.append(socket.buffer(), 0, byteCount);
        socket.buffer().erase(0, byteCount);
    }
    return true;
}

// Reads a line and removes its CR LF.
std::optional<std::string> readLine(RawSocket &socket)
{
    std::size_t end = 0;
    while ((end = socket.buffer().find("\r\n")) == std::string::npos) {
        if (!socket.receive())
            return std::nullopt;
    }
    std::string line = socket.buffer().substr(0, end);
    socket.buffer().erase(0, end + 2);
    return line;
}

bool readChunkedBody(RawSocket &socket, std::string &body)
{
    while (true) {
        const auto line = readLine(socket);
        const auto length = line ? parseNumber(*line, 16) : std::nullopt;
        if (!length)
            return false;
        if (!readFixedLength(socket, body, *length) || !readLine(socket))
            return false;
        if (*length == 0)
            return true;
    }
}

} // namespace

std::unique_ptr<RawSocket> RawSocket::connect(const Address &address, const std::string &from)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto result = std::make_unique<RawSocket>(descriptor);
    if (!from.empty()) {
        const sockaddr_in source = socketAddress(from, 0);
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&source), sizeof source) != 0)
            return nullptr;
    }
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    result->setTimeout(defaultTimeoutMs);
    const sockaddr_in target = socketAddress(address.ip, address.port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
        return nullptr;
    return result;
}

RawSocket::~RawSocket()
{
    ::close(m_descriptor);
}

bool RawSocket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool RawSocket::receive()
{
    std::array<char, receiveBlockSize> block; // NOLINT: filled by recv
    const ssize_t length = ::recv(m_descriptor, block.data(), block.size(), 0);
    if (length <= 0)
        return false;
    m_buffer.append(block.data(), static_cast<std::size_t>(length));
    return true;
}

void RawSocket::setTimeout(int milliseconds)
{
    const timeval timeout{ milliseconds / 1000, (milliseconds % 1000) * 1000 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

void RawSocket::setReceiveBufferSize(int bytes)
{
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void RawSocket::resetOnClose()
{
    const linger abortiveLinger{ 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortiveLinger, sizeof abortiveLinger);
}

void RawSocket::shutdownWrite()
{
    ::shutdown(m_descriptor, SHUT_WR);
}

bool RawSocket::peerClosed()
{
    pollfd entry{ m_descriptor, POLLRDHUP, 0 };
    return ::poll(&entry, 1, 0) > 0;
}

std::unique_ptr<RawListener> RawListener::make(const std::string &ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = socketAddress(ip, port);
    socklen_t length = sizeof address;
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(descriptor, listenBacklog) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return std::unique_ptr<RawListener>(
            new RawListener(descriptor, Address{ ip, ntohs(address.sin_port) }));
}

RawListener::~RawListener()
{
    ::close(m_descriptor);
}

std::unique_ptr<RawSocket> RawListener::accept()
{
    const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
        return nullptr;
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return std::make_unique<RawSocket>(descriptor);
}

void RawListener::stop()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::uint16_t freePort(const std::string &ip)
{
    // Below the ephemeral range, so that no outgoing connection is assigned the port before the
    // caller binds it. Processes start at different offsets.
    constexpr int firstPort = 12'000;
    constexpr int portCount = 19'000;
    static std::atomic<int> nextOffset{ static_cast<int>(::getpid()) * 37 };
    while (true) {
        const auto port = static_cast<std::uint16_t>(firstPort + nextOffset++ % portCount);
        if (RawListener::make(ip, port))
            return port;
    }
}

std::string_view RawHead::header(std::string_view name) const
{
    for (const HttpHeader &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

int RawHead::status() const
{
    const auto space = startLine.find(' ');
    if (space == std::string::npos)
        return 0;
    return static_cast<int>(
            parseNumber(std::string_view(startLine).substr(space + 1), 10).value_or(0));
}

std::optional<RawHead> readHead(RawSocket &socket)
{
    RawHead head;
    auto line = readLine(socket);
    if (!line)
        return std::nullopt;
    head.startLine = *line;
    while ((line = readLine(socket))) {
        if (line->empty())
            return head;
        const auto colon = line->find(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const auto value = line->find_first_not_of(' ', colon + 1);
        head.headers.push_back({ toLowerCase(line->substr(0, colon)),
                                 value == std::string::npos ? "" : line->substr(value) });
    }
    return std::nullopt;
}

std::optional<RawResponse> readResponse(RawSocket &socket, bool hasBody)
{
    auto head = readHead(socket);
    if (!head)
        return std::nullopt;
    RawResponse response{ std::move(*head), "", true };
    const int status = response.head.status();
    if (!hasBody || status == 204 || status == 304)
        return response;
    if (response.head.header("transfer-encoding") == "chunked") {
        response.complete = readChunkedBody(socket, response.body);
        return response;
    }
    if (const auto length = parseNumber(response.head.header("content-length"), 10)) {
        response.complete = readFixedLength(socket, response.body, *length);
        return response;
    }
    while (socket.receive()) {
    }
    response.body = std::move(socket.buffer());
    return response;
}

std::optional<RawResponse> fetch(const Address &address, std::string_view request)
{
    const auto socket = RawSocket::connect(address);
    if (!socket || !socket->send(request))
        return std::nullopt;
    return readResponse(*socket, !request.starts_with("HEAD "));
}

std::string makeRequest(std::string_view method, std::string_view path,
                        const std::vector<HttpHeader> &headers, std::string_view body)
{
    std::string request
            = std::string(method) + " " + std::string(path) + " HTTP/1.1\r\nHost: test\r\n";
    for (const HttpHeader &header : headers)
        request += header.name + ": " + header.value + "\r\n";
    if (!body.empty() || method == "POST")
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return request + "\r\n" + std::string(body);
}

} // namespace basildeck::standin
