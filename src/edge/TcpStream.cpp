#include "edge/TcpStream.h"

#include "core/Log.h"
#include "core/SocketAddress.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace basildeck {

namespace {

constexpr const char *part = "tcp";
constexpr std::size_t readSize = 64 * 1024;
constexpr int listenBacklog = 1024;
constexpr int keepAliveIdleSeconds = 3;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

void setOption(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

// Finds peers that vanish without a word.
void setConnectionOptions(int descriptor)
{
    const auto silence = static_cast<int>(
            std::chrono::duration_cast<milliseconds>(TcpStream::silenceTimeout).count());
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, silence);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

} // namespace

TcpStream::TcpStream(EventLoop &loop, int descriptor, bool connecting)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_connecting(connecting)
{
    setConnectionOptions(descriptor);
    m_watch = std::make_unique<DescriptorWatch>(
            loop, descriptor, [this](bool readable, bool writable) { ready(readable, writable); });
    updateWatch();
}

TcpStream::~TcpStream()
{
    close();
}

std::unique_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const Address &to)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        BASILDECK_WARNING(part) << "no socket for " << to.toString() << " errno=" << errno;
        return nullptr;
    }
    const sockaddr_in address = toSocketAddress(to);
    const int result
            = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    if (result < 0 && errno != EINPROGRESS) {
        BASILDECK_WARNING(part) << "cannot connect to " << to.toString() << " errno=" << errno;
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<TcpStream>(loop, descriptor, true);
}

void TcpStream::setReading(bool reading)
{
    m_reading = reading;
    updateWatch();
}

void TcpStream::updateWatch()
{
    if (!isOpen())
        return;
    const bool writing = m_connecting || pendingOutput() > 0;
    m_watch->want(m_reading && !m_connecting, writing);
}

void TcpStream::write(std::string_view bytes)
{
    if (!isOpen() || m_outputBroken || bytes.empty())
        return;
    m_output.append(bytes);
    if (!m_connecting)
        flush();
}

void TcpStream::flush()
{
    while (pendingOutput() > 0) {
        const ssize_t sent = ::send(m_descriptor, m_output.data() + m_outputSent, pendingOutput(),
                                    MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EINTR)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                // What the peer sent before may still be read; the read side reports the end.
                m_outputBroken = true;
                m_output.clear();
                m_outputSent = 0;
            }
            break;
        }
        m_outputSent += static_cast<std::size_t>(sent);
    }
    if (pendingOutput() == 0) {
        m_output.clear();
        m_outputSent = 0;
    } else if (m_outputSent > highWater) {
        m_output.erase(0, m_outputSent);
        m_outputSent = 0;
    }
    if (pendingOutput() == 0 && m_endsOutput)
        shutdown(m_descriptor, SHUT_WR);
    updateWatch();
}

void TcpStream::endOutput()
{
    m_endsOutput = true;
    if (!m_connecting && isOpen())
        flush();
}

void TcpStream::close()
{
    if (!isOpen())
        return;
    m_watch.reset();
    ::close(m_descriptor);
    m_descriptor = -1;
}

void TcpStream::reset()
{
    if (!isOpen())
        return;
    const linger immediate{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
    close();
}

void TcpStream::end(CloseReason how)
{
    close();
    if (m_callbacks.ended)
        m_callbacks.ended(how);
}

void TcpStream::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(CloseReason::ConnectionError);
        return;
    }
    m_connecting = false;
    if (m_callbacks.connected)
        m_callbacks.connected();
    if (isOpen())
        flush();
}

void TcpStream::ready(bool readable, bool writable)
{
    if (m_connecting) {
        finishConnect();
        return;
    }
    if (writable) {
        flush();
        if (isOpen() && pendingOutput() == 0 && m_callbacks.drained)
            m_callbacks.drained();
    }
    if (readable && isOpen() && m_reading)
        readAvailable();
    updateWatch();
}

void TcpStream::readAvailable()
{
    static thread_local std::array<char, readSize> buffer;
    while (isOpen() && m_reading) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (count <= 0) {
            end(count == 0 ? CloseReason::EndOfStream : CloseReason::ConnectionError);
            return;
        }
        if (m_callbacks.data)
            m_callbacks.data({ buffer.data(), static_cast<std::size_t>(count) });
        if (static_cast<std::size_t>(count) < buffer.size())
            return;
    }
}

Result<std::unique_ptr<TcpListener>> TcpListener::make(EventLoop &loop, const Address &at,
                                                       Accepted accepted)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return failure(ErrorKind::Internal, "no socket to listen on " + at.toString());
    setOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in address = toSocketAddress(at);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0
        || listen(descriptor, listenBacklog) < 0) {
        ::close(descriptor);
        return failure(ErrorKind::InvalidSetting,
                       "address \"" + at.toString() + "\" cannot be listened on");
    }
    return std::unique_ptr<TcpListener>(new TcpListener(loop, descriptor, std::move(accepted)));
}

TcpListener::TcpListener(EventLoop &loop, int descriptor, Accepted accepted)
    : m_descriptor(descriptor)
    , m_accepted(std::move(accepted))
    , m_watch(std::make_unique<DescriptorWatch>(loop, descriptor,
                                                [this](bool, bool) { acceptAll(); }))
{
    m_watch->want(true, false);
}

TcpListener::~TcpListener()
{
    m_watch.reset();
    ::close(m_descriptor);
}

void TcpListener::acceptAll()
{
    for (;;) {
        const int accepted = accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0) {
            if (errno == EINTR || errno == ECONNABORTED)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                BASILDECK_WARNING(part) << "accept failed errno=" << errno;
            return;
        }
        m_accepted(accepted);
    }
}

} // namespace basildeck
