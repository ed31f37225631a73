#pragma once

#include "config/Address.h"
#include "http/HttpMessages.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck::standin {

// A blocking TCP socket that a stand-in or a test owns. Byte-exact, so that malformed traffic can
// be made and seen.
class RawSocket
{
public:
    static constexpr int defaultTimeoutMs = 10'000;

    // Connects, from a given source address if it is not empty. Returns null on failure.
    static std::unique_ptr<RawSocket> connect(const Address &address, const std::string &from = "");

    explicit RawSocket(int descriptor)
        : m_descriptor(descriptor)
    {}
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    bool send(std::string_view bytes);
    // Appends what arrives next to the buffer. False at the end of the stream, an error or the
    // timeout.
    bool receive();
    void setTimeout(int milliseconds);
    // Limits the kernel's receive buffer, to make a slow reader.
    void setReceiveBuffer(int bytes);
    void resetOnClose();
    void shutdownWrite();
    bool peerClosed();

    std::string &buffer() { return m_buffer; }

private:
    int m_descriptor;
    std::string m_buffer;
};

// A listening socket.
class RawListener
{
public:
    // Listens on an address; port 0 takes a free port. Returns null if the address is taken.
    static std::unique_ptr<RawListener> make(const std::string &ip, std::uint16_t port);
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    std::unique_ptr<RawSocket> accept();
    // Makes a waiting accept() return null.
    void stop();
    const Address &address() const { return m_address; }

private:
    RawListener(int descriptor, Address address)
        : m_descriptor(descriptor)
        , m_address(std::move(address))
    {}
    int m_descriptor;
    Address m_address;
};

// Finds a free port on an address.
std::uint16_t freePort(const std::string &ip = "127.0.0.1");

// The start line and the headers of a message, header names in lower case.
struct RawHead
{
    std::string startLine;
    std::vector<HttpHeader> headers;

    std::string_view header(std::string_view name) const;
    int status() const; // of an answer
};

// Reads a head off a socket and leaves what follows in its buffer.
std::optional<RawHead> readHead(RawSocket &socket);

// An answer read to its end. Whole is false if the connection ended before the body did.
struct RawAnswer
{
    RawHead head;
    std::string body;
    bool whole = false;
};

// Reads an answer framed by length, by chunks or by the end of the connection.
std::optional<RawAnswer> readAnswer(RawSocket &socket, bool hasBody = true);

// Sends one request on a new connection and reads its answer.
std::optional<RawAnswer> fetch(const Address &address, std::string_view request);

// Builds a request with a Host header.
std::string makeRequest(std::string_view method, std::string_view path,
                        const std::vector<HttpHeader> &headers = {}, std::string_view body = "");

} // namespace basildeck::standin
