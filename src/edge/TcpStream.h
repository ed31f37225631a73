#pragma once

#include "basildeck/Result.h"
#include "config/Address.h"
#include "core/EventLoop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// How a connection ended: by the peer's end of stream, or by a reset or a time-out. Only the first
// shows that everything the peer sent has arrived.
enum class CloseReason { EndOfStream, ConnectionError };

// One TCP connection on an event loop. Callbacks are not called after close().
class TcpStream
{
public:
    // Unacknowledged data or an unanswered keep-alive probe ends a connection after this time.
    static constexpr Duration silenceTimeout = milliseconds(2500);
    // Output beyond this size is a reason to stop producing more.
    static constexpr std::size_t highWater = 256 * 1024;

    struct Callbacks
    {
        std::function<void()> connected; // outgoing connections only
        std::function<void(std::string_view)> data;
        std::function<void(CloseReason)> ended;
        std::function<void()> drained; // all output has been passed to the kernel
    };

    // Takes over an accepted descriptor.
    TcpStream(EventLoop &loop, int descriptor, bool connecting);
    ~TcpStream();
    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;

    // Starts to connect. Null if no socket can be had.
    static std::unique_ptr<TcpStream> connect(EventLoop &loop, const Address &to);

    void setCallbacks(Callbacks callbacks) { m_callbacks = std::move(callbacks); }
    void setReading(bool reading);
    void write(std::string_view bytes);
    // Ends the sending side once all output has been passed to the kernel. The peer's end of stream
    // is reported as usual: closing earlier, with unread input, would reset the connection and
    // might destroy output on its way.
    void endOutput();
    void close();
    // Closes so that the peer sees a reset.
    void reset();
    bool isOpen() const { return m_descriptor >= 0; }
    std::size_t pendingOutput() const { return m_output.size() - m_outputSent; }

private:
    void ready(bool readable, bool writable);
    void finishConnect();
    void readAvailable();
    void flush();
    void updateWatch();
    void end(CloseReason how);

    EventLoop &m_loop;
    int m_descriptor;
    bool m_connecting;
    bool m_reading = true;
    bool m_endsOutput = false;
    bool m_outputBroken = false;
    std::unique_ptr<DescriptorWatch> m_watch;
    Callbacks m_callbacks;
    std::string m_output;
    std::size_t m_outputSent = 0;
};

// Accepts connections at one address.
class TcpListener
{
public:
    using Accepted = std::function<void(int descriptor)>;

    // Listens, or says why not.
    static Result<std::unique_ptr<TcpListener>> make(EventLoop &loop, const Address &at,
                                                     Accepted accepted);
    ~TcpListener();
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;

private:
    TcpListener(EventLoop &loop, int descriptor, Accepted accepted);
    void acceptAll();

    int m_descriptor;
    Accepted m_accepted;
    std::unique_ptr<DescriptorWatch> m_watch;
};

} // namespace basildeck
