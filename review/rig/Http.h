#pragma once

// Blocking HTTP/1.1 over sockets of the loopback network, for the stand-ins of the review.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace rig {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Millis = std::chrono::milliseconds;

struct Message
{
    std::string start;                         // request line or status line
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string &name) const;
    int status() const;         // of a response
    std::string method() const; // of a request
    std::string target() const; // of a request
};

// Owns a connected socket, and the bytes that were read beyond the last message.
class Channel
{
public:
    explicit Channel(int descriptor)
        : m_descriptor(descriptor)
    {}
    ~Channel() { close(); }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    // Returns null if the connect fails.
    static std::unique_ptr<Channel> connect(const std::string &ip, std::uint16_t port);

    bool isOpen() const { return m_descriptor >= 0; }
    // Returns false if the channel broke.
    bool send(std::string_view bytes);
    // Reads one message. Returns nothing if the channel ends, or the time is over, before it is
    // complete. A response without a length ends with its channel.
    std::optional<Message> read(bool isResponse, Time until);
    // Whether bytes of an incomplete message have arrived.
    bool hasPartialInput() const { return !m_input.empty(); }
    void close();
    // Ends the channel and wakes a thread that reads or writes. The descriptor stays open until the
    // destructor, so that its number is not used again meanwhile.
    void shutDown();

private:
    // Returns false at the end of the channel or of the time.
    bool readMore(Time until);

    int m_descriptor;
    std::string m_input;
};

// The link of a machine in one direction. Those who send over it take turns.
class Link
{
public:
    explicit Link(double megabitsPerSecond)
        : m_bytesPerSecond(megabitsPerSecond * 1e6 / 8)
    {}
    // Sends bytes at the link's rate. Returns false if the channel broke.
    bool send(Channel &channel, std::string_view bytes);

private:
    double m_bytesPerSecond;
    std::mutex m_mutex;
    Time m_freeAt{};
};

// Returns a listening socket, or -1.
int listenAt(const std::string &ip, std::uint16_t port);

} // namespace rig
