#pragma once

#include "core/EventLoop.h"
#include "standin/RawSocket.h"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace basildeck::test {

// A store whose responses the test scripts, one connection at a time. The event loop of the code
// under test runs while the test waits.
class ScriptedStore
{
public:
    explicit ScriptedStore(EventLoop &loop)
        : m_loop(loop)
        , m_listener(standin::RawListener::make("127.0.0.1", 0))
    {}

    Address address() const { return m_listener->address(); }

    // Runs the loop until the store has received a request, and returns its request line.
    std::string awaitRequest()
    {
        if (!m_socket)
            m_socket = acceptWhileRunningLoop();
        for (;;) {
            const auto &buffer = m_socket->buffer();
            const std::size_t end = buffer.find("\r\n\r\n");
            if (end != std::string::npos) {
                std::string line = buffer.substr(0, buffer.find("\r\n"));
                const std::size_t size = end + 4 + bodySize(buffer.substr(0, end));
                if (buffer.size() >= size) {
                    m_socket->buffer().erase(0, size);
                    return line;
                }
            }
            runLoopOnce();
            m_socket->setTimeout(5);
            m_socket->receive();
        }
    }

    void respond(int status, const std::string &body, const std::string &era = "")
    {
        m_socket->send("HTTP/1.1 " + std::to_string(status)
                       + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
                       + (era.empty() ? era : "Store-Era: " + era + "\r\n") + "\r\n" + body);
    }

    void send(std::string_view bytes) { m_socket->send(bytes); }
    void closeConnection() { m_socket.reset(); }

    void runLoopOnce()
    {
        uv_run(m_loop.handle(), UV_RUN_NOWAIT);
        std::this_thread::yield();
    }

private:
    static std::size_t bodySize(const std::string &head)
    {
        constexpr std::string_view name = "Content-Length: ";
        const std::size_t found = head.find(name);
        return found == std::string::npos ? 0 : std::stoul(head.substr(found + name.size()));
    }

    std::unique_ptr<standin::RawSocket> acceptWhileRunningLoop()
    {
        std::unique_ptr<standin::RawSocket> socket;
        std::atomic<bool> accepted{ false };
        std::thread thread([&] {
            socket = m_listener->accept();
            accepted = true;
        });
        while (!accepted)
            runLoopOnce();
        thread.join();
        return socket;
    }

    EventLoop &m_loop;
    std::unique_ptr<standin::RawListener> m_listener;
    std::unique_ptr<standin::RawSocket> m_socket;
};

} // namespace basildeck::test
