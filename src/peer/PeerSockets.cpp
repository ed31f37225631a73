#include "peer/PeerSockets.h"

#include "core/SocketAddress.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

namespace basildeck {

namespace {

constexpr std::size_t datagramBufferBytes = 65536;
constexpr std::size_t readBufferBytes = 65536;
constexpr std::size_t frameHeaderBytes = 4;
constexpr int listenBacklog = 256;
constexpr int udpBufferBytes = 1024 * 1024;

bool bindTo(int descriptor, const Address &address)
{
    const sockaddr_in socketAddress = toSocketAddress(address);
    return ::bind(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress),
                  sizeof socketAddress)
           == 0;
}

std::string encodeFrame(std::string_view bytes)
{
    const auto length = static_cast<std::uint32_t>(bytes.size());
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
        frame += static_cast<char>((length >> shift) & 255U);
    return frame.append(bytes);
}

std::size_t frameLength(std::string_view bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i)
        length = (length << 8) | static_cast<unsigned char>(bytes[i]);
    return length;
}

} // namespace

std::unique_ptr<PeerSockets> PeerSockets::make(const Address &address, Callbacks callbacks)
{
    std::unique_ptr<PeerSockets> sockets(new PeerSockets(std::move(callbacks)));
    sockets->m_udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockets->m_tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockets->m_wake = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    const int one = 1;
    ::setsockopt(sockets->m_tcp, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    ::setsockopt(sockets->m_udp, SOL_SOCKET, SO_RCVBUF, &udpBufferBytes, sizeof udpBufferBytes);
    if (!bindTo(sockets->m_udp, address) || !bindTo(sockets->m_tcp, address)
        || ::listen(sockets->m_tcp, listenBacklog) != 0)
        return nullptr;
    return sockets;
}

PeerSockets::~PeerSockets()
{
    for (const auto &[descriptor, connection] : m_connections)
        ::close(descriptor);
    ::close(m_udp);
    ::close(m_tcp);
    ::close(m_wake);
}

void PeerSockets::wake()
{
    const std::uint64_t one = 1;
    static_cast<void>(!::write(m_wake, &one, sizeof one));
}

void PeerSockets::sendDatagram(const Address &to, std::string_view bytes)
{
    const sockaddr_in socketAddress = toSocketAddress(to);
    const ssize_t sent
            = ::sendto(m_udp, bytes.data(), bytes.size(), 0,
                       reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress);
    if (sent > 0)
        m_bytesSent += static_cast<std::uint64_t>(sent);
}

PeerSockets::ExchangeId PeerSockets::startExchange(const Address &to, std::string_view request)
{
    const ExchangeId id = m_nextExchange++;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in socketAddress = toSocketAddress(to);
    static_cast<void>(::connect(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress),
                                sizeof socketAddress));
    Connection connection;
    connection.descriptor = descriptor;
    connection.exchangeId = id;
    connection.out = encodeFrame(request);
    connection.deadline = Clock::now() + exchangeTimeout;
    m_connections.emplace(descriptor, std::move(connection));
    return id;
}

void PeerSockets::processEvents(milliseconds timeout)
{
    std::vector<pollfd> entries{ { m_udp, POLLIN, 0 },
                                 { m_tcp, POLLIN, 0 },
                                 { m_wake, POLLIN, 0 } };
    for (const auto &[descriptor, connection] : m_connections) {
        const bool writes = connection.sent < connection.out.size();
        entries.push_back({ descriptor, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0 });
    }
    ::poll(entries.data(), entries.size(), static_cast<int>(timeout.count()));
    if ((entries[2].revents & POLLIN) != 0) {
        std::uint64_t count = 0;
        static_cast<void>(!::read(m_wake, &count, sizeof count));
    }
    if ((entries[0].revents & POLLIN) != 0)
        readDatagrams();
    if ((entries[1].revents & POLLIN) != 0)
        acceptConnections();
    for (std::size_t i = 3; i < entries.size(); ++i) {
        const auto found = m_connections.find(entries[i].fd);
        if (found == m_connections.end() || entries[i].revents == 0)
            continue;
        Connection &connection = found->second;
        bool open = (entries[i].revents & POLLOUT) == 0 || writeConnection(connection);
        if (open && (entries[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0)
            open = readConnection(connection);
        if (!open)
            closeConnection(entries[i].fd);
    }
    closeExpired(Clock::now());
}

void PeerSockets::readDatagrams()
{
    static thread_local std::array<char, datagramBufferBytes> buffer;
    constexpr int maxDatagramsPerCall = 256;
    for (int round = 0; round < maxDatagramsPerCall; ++round) {
        const ssize_t length = ::recv(m_udp, buffer.data(), buffer.size(), 0);
        if (length < 0)
            return;
        m_bytesReceived += static_cast<std::uint64_t>(length);
        m_callbacks.onDatagram({ buffer.data(), static_cast<std::size_t>(length) });
    }
}

void PeerSockets::acceptConnections()
{
    while (true) {
        const int descriptor = ::accept4(m_tcp, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        Connection connection;
        connection.descriptor = descriptor;
        connection.deadline = Clock::now() + exchangeTimeout;
        m_connections.emplace(descriptor, std::move(connection));
    }
}

bool PeerSockets::readConnection(Connection &connection)
{
    static thread_local std::array<char, readBufferBytes> buffer;
    const ssize_t length = ::recv(connection.descriptor, buffer.data(), buffer.size(), 0);
    if (length <= 0)
        return length < 0 && (errno == EAGAIN || errno == EINTR);
    m_bytesReceived += static_cast<std::uint64_t>(length);
    connection.in.append(buffer.data(), static_cast<std::size_t>(length));
    return processFrame(connection);
}

// Handles the frame once it is complete. Returns false if the connection is to be closed.
bool PeerSockets::processFrame(Connection &connection)
{
    if (connection.in.size() < frameHeaderBytes)
        return true;
    const std::size_t length = frameLength(connection.in);
    if (length > maxFrameBytes)
        return false;
    if (connection.in.size() < frameHeaderBytes + length || connection.frameHandled)
        return true;
    connection.frameHandled = true;
    const std::string frame = connection.in.substr(frameHeaderBytes, length);
    if (connection.exchangeId == 0) {
        connection.out = encodeFrame(m_callbacks.onRequest(frame));
        return writeConnection(connection);
    }
    const ExchangeId id = std::exchange(connection.exchangeId, 0);
    m_callbacks.onResponse(id, frame);
    return false;
}

bool PeerSockets::writeConnection(Connection &connection)
{
    const std::string_view rest = std::string_view(connection.out).substr(connection.sent);
    const ssize_t sent = ::send(connection.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (sent < 0)
        return errno == EAGAIN || errno == EINTR;
    m_bytesSent += static_cast<std::uint64_t>(sent);
    connection.sent += static_cast<std::size_t>(sent);
    const bool responseSent = connection.frameHandled && connection.sent == connection.out.size();
    return !responseSent;
}

void PeerSockets::closeConnection(int descriptor)
{
    const auto found = m_connections.find(descriptor);
    const ExchangeId id = found->second.exchangeId;
    m_connections.erase(found);
    ::close(descriptor);
    if (id != 0)
        m_callbacks.onResponse(id, {});
}

void PeerSockets::closeExpired(Time now)
{
    std::vector<int> expired;
    for (const auto &[descriptor, connection] : m_connections) {
        if (connection.deadline <= now)
            expired.push_back(descriptor);
    }
    for (const int descriptor : expired)
        closeConnection(descriptor);
}

} // namespace basildeck
