#pragma once

// Blocking HTTP/1.1 over loopback sockets for the stand-ins, one thread per connection.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Seconds since the start of the case.
double now();
void sleepUntil(double second);
void sleepFor(double seconds);

struct Message
{
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
    bool isComplete = false; // as far as the message itself tells
    bool keepsChannel = true;

    std::string field(const std::string &name) const;
};

struct Address
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

// A connected socket. Not shared by threads, except for shutDown().
class Channel
{
public:
    explicit Channel(int descriptor)
        : m_descriptor(descriptor)
    {}
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    // Returns null if the connection is refused or takes too long. A receive buffer of 0 is the
    // usual one.
    static std::unique_ptr<Channel> connect(const Address &to, double timeout = 1,
                                            int receiveBuffer = 0);

    bool write(std::string_view bytes);
    // Returns the number of bytes, 0 at the end or after an error or the timeout.
    std::size_t read(char *to, std::size_t most, double timeout);
    bool isReset() const { return m_isReset; }
    bool isTimedOut() const { return m_isTimedOut; }
    // Reads a message. Returns nothing if the channel ends before its head is complete.
    std::optional<Message> readMessage(bool isResponse, double timeout);
    // Closes with a reset.
    void reset();
    void shutDown();
    // Whether the other side has closed or reset the channel.
    bool hasEnded() const;

private:
    bool fill(double until);

    int m_descriptor;
    bool m_isReset = false;
    bool m_isTimedOut = false;
    std::string m_input;
};

// Accepts channels and serves each in a thread.
class Server
{
public:
    using Serve = std::function<void(Channel &)>;
    Server(const Address &at, Serve serve);
    ~Server();
    // Stops listening and resets all channels.
    void crash();
    bool isListening() const { return m_listener >= 0; }

private:
    struct Shared;
    int m_listener = -1;
    std::shared_ptr<Shared> m_shared;
    std::thread m_thread;
};

std::string response(int status, const std::string &fields, const std::string &body);
bool canBind(const Address &at);

} // namespace review
