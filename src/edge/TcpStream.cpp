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

constexpr const char *logComponent = "tcp";
constexpr std::size_t readBufferBytes = 64 * 1024;
constexpr int listenBacklog = 1024;
// Reads in a row from one connection, so that a fast sender does not keep the loop from others.
constexpr int maxReadsInARow = 16;
constexpr int keepAliveIdleSeconds = 3;
constexpr int keepAliveIntervalSeconds = 1;

void setOption(int descriptor, int level, int option, int value)
{
    setsockopt(descriptor, level, option, &value, sizeof(value));
}

// Detects peers that disappear without closing the connection.
void setConnectionOptions(int descriptor)
{
    const auto timeoutMs = static_cast<int>(
            std::chrono::duration_cast<milliseconds>(TcpStream::unresponsiveTimeout).count());
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, timeoutMs);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    // The user timeout decides how many probes may stay unanswered, instead of TCP_KEEPCNT. As it
    // is shorter than the idle time, the first one that does closes the connection.
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
}

} // namespace

TcpStream::TcpStream(EventLoop &loop, int descriptor, bool connecting)
    : m_loop(loop)
    , m_descriptor(descriptor)
    , m_connecting(connecting)
{
    setConnectionOptions(descriptor);
    m_watcher = std::make_unique<DescriptorWatcher>(
            loop, descriptor,
            [this](bool readable, bool writable) { handleReady(readable, writable); });
    updateInterest();
}

TcpStream::~TcpStream()
{
    close();
}

std::unique_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const Address &to)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        BASILDECK_WARNING(logComponent)
                << "cannot create a socket for " << to.toString() << " errno=" << errno;
        return nullptr;
    }
    const sockaddr_in socketAddress = toSocketAddress(to);
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress),
                                 sizeof(socketAddress));
    if (result < 0 && errno != EINPROGRESS) {
        BASILDECK_WARNING(logComponent)
                << "cannot connect to " << to.toString() << " errno=" << errno;
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<TcpStream>(loop, descriptor, true);
}

void TcpStream::setReading(bool reading)
{
    m_reading = reading;
    m_watchesClose = false;
    updateInterest();
}

void TcpStream::pauseReadingUntilClosed()
{
    m_reading = false;
    m_watchesClose = true;
    updateInterest();
}

void TcpStream::updateInterest()
{
    if (!isOpen())
        return;
    const bool writing = m_connecting || pendingOutput() > 0;
    m_watcher->setInterest(m_reading && !m_connecting, writing, m_watchesClose && !m_connecting);
}

void TcpStream::write(std::string_view bytes)
{
    if (!acceptsOutput() || bytes.empty())
        return;
    if (m_output.empty() || m_output.back().shared || m_output.back().own.size() > highWaterBytes) {
        addPart({ std::string(bytes), nullptr });
        return;
    }
    m_output.back().own.append(bytes);
    m_pendingOutput += bytes.size();
    if (!m_connecting)
        flush();
}

void TcpStream::writeOwned(std::string text)
{
    if (text.size() <= maxCopiedBytes)
        write(text);
    else if (acceptsOutput())
        addPart({ std::move(text), nullptr });
}

void TcpStream::writeShared(std::shared_ptr<const std::string> text)
{
    if (!text || text->empty() || !acceptsOutput())
        return;
    addPart({ {}, std::move(text) });
}

void TcpStream::addPart(OutputPart part)
{
    m_pendingOutput += part.text().size();
    m_output.push_back(std::move(part));
    if (!m_connecting)
        flush();
}

void TcpStream::dropSentOutput(std::size_t sent)
{
    m_pendingOutput -= sent;
    m_outputSent += sent;
    OutputPart &part = m_output.front();
    if (m_outputSent == part.text().size()) {
        m_output.pop_front();
        m_outputSent = 0;
    } else if (!part.shared && m_outputSent > highWaterBytes) {
        part.own.erase(0, m_outputSent);
        m_outputSent = 0;
    }
}

void TcpStream::flush()
{
    while (!m_output.empty()) {
        const std::string &text = m_output.front().text();
        const int flags = MSG_NOSIGNAL | (m_output.size() > 1 ? MSG_MORE : 0);
        const ssize_t sent = ::send(m_descriptor, text.data() + m_outputSent,
                                    text.size() - m_outputSent, flags);
        if (sent < 0) {
            if (errno == EINTR)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                // Data that the peer sent earlier may still be readable; the read side reports the
                // close. This call has taken the socket's error, though: the read side will see an
                // end of stream, which the peer has sent only if the error is EPIPE.
                m_outputFailed = true;
                m_inputFailed = errno != EPIPE;
                m_output.clear();
                m_outputSent = 0;
                m_pendingOutput = 0;
            }
            break;
        }
        dropSentOutput(static_cast<std::size_t>(sent));
    }
    if (pendingOutput() == 0 && m_shutDownAfterFlush)
        shutdown(m_descriptor, SHUT_WR);
    updateInterest();
}

void TcpStream::shutDownOutput()
{
    m_shutDownAfterFlush = true;
    if (!m_connecting && isOpen())
        flush();
}

void TcpStream::close()
{
    if (!isOpen())
        return;
    m_watcher.reset();
    ::close(m_descriptor);
    m_descriptor = -1;
}

void TcpStream::reset()
{
    if (!isOpen())
        return;
    const linger resetOnClose{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
    close();
}

void TcpStream::closeAndNotify(CloseReason reason)
{
    close();
    if (m_callbacks.onClosed)
        m_callbacks.onClosed(reason);
}

void TcpStream::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        closeAndNotify(CloseReason::ConnectionError);
        return;
    }
    m_connecting = false;
    if (m_callbacks.onConnected)
        m_callbacks.onConnected();
    if (!isOpen())
        return;
    const bool hadOutput = pendingOutput() > 0;
    flush();
    if (hadOutput && pendingOutput() == 0 && m_callbacks.onOutputDrained)
        m_callbacks.onOutputDrained();
}

void TcpStream::handleReady(bool readable, bool writable)
{
    if (m_connecting) {
        finishConnect();
        return;
    }
    if (writable) {
        flush();
        if (isOpen() && pendingOutput() == 0 && m_callbacks.onOutputDrained)
            m_callbacks.onOutputDrained();
    }
    if (readable && isOpen() && m_watchesClose)
        m_reading = true; // the peer has closed, so little is left to read
    if (readable && isOpen() && m_reading)
        readAvailable();
    updateInterest();
}

void TcpStream::readAvailable()
{
    static thread_local std::array<char, readBufferBytes> buffer;
    for (int reads = 0; isOpen() && m_reading && reads < maxReadsInARow; ++reads) {
        const ssize_t count = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return;
        if (count <= 0) {
            const bool isEndOfStream = count == 0 && !m_inputFailed;
            closeAndNotify(isEndOfStream ? CloseReason::EndOfStream : CloseReason::ConnectionError);
            return;
        }
        if (m_callbacks.onData)
            m_callbacks.onData({ buffer.data(), static_cast<std::size_t>(count) });
        if (static_cast<std::size_t>(count) < buffer.size())
            return;
    }
}

Result<std::unique_ptr<TcpListener>> TcpListener::make(EventLoop &loop, const Address &address,
                                                       AcceptCallback onAccept)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return failure(ErrorKind::Internal,
                       "cannot create a socket to listen on " + address.toString());
    setOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const sockaddr_in socketAddress = toSocketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof(socketAddress))
                < 0
        || listen(descriptor, listenBacklog) < 0) {
        ::close(descriptor);
        return failure(ErrorKind::InvalidSetting,
                       "cannot listen on address \"" + address.toString() + "\"");
    }
    return std::unique_ptr<TcpListener>(new TcpListener(loop, descriptor, std::move(onAccept)));
}

TcpListener::TcpListener(EventLoop &loop, int descriptor, AcceptCallback onAccept)
    : m_descriptor(descriptor)
    , m_onAccept(std::move(onAccept))
    , m_watcher(std::make_unique<DescriptorWatcher>(loop, descriptor,
                                                    [this](bool, bool) { acceptAll(); }))
{
    m_watcher->setInterest(true, false);
}

TcpListener::~TcpListener()
{
    m_watcher.reset();
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
                BASILDECK_WARNING(logComponent) << "accept failed errno=" << errno;
            return;
        }
        m_onAccept(accepted);
    }
}

} // namespace basildeck
