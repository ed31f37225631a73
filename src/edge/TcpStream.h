#pragma once

#include "basildeck/Result.h"
#include "config/Address.h"
#include "core/EventLoop.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// Why a connection closed: the peer's end of stream, or a reset or timeout. Only an end of stream
// proves that all data sent by the peer has arrived.
enum class CloseReason { EndOfStream, ConnectionError };

// A non-blocking TCP connection on an event loop. No callback runs after close().
class TcpStream
{
public:
    // A connection is closed when sent data stays unacknowledged for this long. Without such data
    // it is closed when a keep-alive probe stays unanswered and nothing was received for this long.
    static constexpr Duration unresponsiveTimeout = milliseconds(2500);
    // Producers should pause while more than this much output is buffered.
    static constexpr std::size_t highWaterBytes = 256 * 1024;
    // Texts up to this size are appended to the output before them instead of kept apart.
    static constexpr std::size_t maxCopiedBytes = 16 * 1024;

    struct Callbacks
    {
        std::function<void()> onConnected; // outgoing connections only
        std::function<void(std::string_view)> onData;
        std::function<void(CloseReason)> onClosed;
        std::function<void()> onOutputDrained; // all output was passed to the kernel
    };

    // Takes ownership of a socket.
    TcpStream(EventLoop &loop, int descriptor, bool connecting);
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    // Starts connecting. Returns null if no socket can be created or the connect fails at once.
    static std::unique_ptr<TcpStream> connect(EventLoop &loop, const Address &to);

    void setCallbacks(Callbacks callbacks) { m_callbacks = std::move(callbacks); }
    void setReading(bool reading);
    // Pauses reading, but still notices that the peer closed the connection: what has arrived until
    // then is read, and the close is reported.
    void pauseReadingUntilClosed();
    void write(std::string_view bytes);
    // Writes a text without copying it.
    void writeOwned(std::string text);
    // Writes a text, possibly null, that others use as well. The reference is dropped once the
    // kernel has taken the whole text.
    void writeShared(std::shared_ptr<const std::string> text);
    // Shuts down the sending side once all output was passed to the kernel. The peer's end of
    // stream is still reported: closing earlier, with unread input, would reset the connection and
    // could discard output in transit.
    void shutDownOutput();
    void close();
    // Closes the connection with a TCP reset.
    void reset();
    bool isOpen() const { return m_descriptor >= 0; }
    std::size_t pendingOutput() const { return m_pendingOutput; }

private:
    // A part of the output: a text of its own or one that others use as well.
    struct OutputPart
    {
        std::string own;
        std::shared_ptr<const std::string> shared;
        const std::string &text() const { return shared ? *shared : own; }
    };
    bool acceptsOutput() const { return isOpen() && !m_outputFailed; }
    void addPart(OutputPart part);
    void dropSentOutput(std::size_t sent);
    void handleReady(bool readable, bool writable);
    void finishConnect();
    void readAvailable();
    void flush();
    void updateInterest();
    void closeAndNotify(CloseReason reason);

    EventLoop &m_loop;
    int m_descriptor;
    bool m_connecting;
    bool m_reading = true;
    bool m_watchesClose = false; // while reading is paused
    bool m_shutDownAfterFlush = false;
    bool m_outputFailed = false;
    bool m_inputFailed = false; // what the peer sent may have been lost
    std::unique_ptr<DescriptorWatcher> m_watcher;
    Callbacks m_callbacks;
    std::deque<OutputPart> m_output;
    std::size_t m_outputSent = 0; // of the first part
    std::size_t m_pendingOutput = 0;
};

// A listening socket that accepts connections at one address.
class TcpListener
{
public:
    using AcceptCallback = std::function<void(int descriptor)>;

    // Binds and listens. The error names the address.
    static Result<std::unique_ptr<TcpListener>> make(EventLoop &loop, const Address &address,
                                                     AcceptCallback onAccept);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

private:
    TcpListener(EventLoop &loop, int descriptor, AcceptCallback onAccept);
    void acceptAll();

    int m_descriptor;
    AcceptCallback m_onAccept;
    std::unique_ptr<DescriptorWatcher> m_watcher;
};

} // namespace basildeck
