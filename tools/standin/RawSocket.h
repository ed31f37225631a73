#pragma once

#include "config/Address.h"
#include "http/HttpMessages.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck::standin {

// A blocking TCP socket of a stand-in or a test. It sends and receives raw bytes, so that malformed
// messages can be produced and inspected.
class RawSocket
{
public:
    static constexpr int defaultTimeoutMs = 10'000;

    // Connects; binds to the source address first if one is given. Returns null on failure.
    static std::unique_ptr<RawSocket> connect(const Address &address, const std::string &from = "");

    explicit RawSocket(int descriptor)
        : m_descriptor(descriptor)
    {}
    ~RawSocket();
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;

    bool send(std::string_view bytes);
    // Appends the next bytes to the buffer. Returns false at end of stream, on an error and after
    // the timeout.
    bool receive();
    // Sets the timeout of receiving and sending.
    void setTimeout(int milliseconds);
    // Limits the kernel's receive buffer, to simulate a slow reader.
    void setReceiveBufferSize(int bytes);
    // Makes the destructor send RST in place of FIN.
    void resetOnClose();
    void shutdownWrite();
    // Whether the peer has closed its side of the connection, or the connection has failed.
    bool peerClosed();

    std::string &buffer() { return m_buffer; }

private:
    int m_descriptor;
    std::string m_buffer;
};

class RawListener
{
public:
    // Binds and listens; port 0 selects an ephemeral port. Returns null if the address is in use.
    static std::unique_ptr<RawListener> make(const std::string &ip, std::uint16_t port);
    ~RawListener();
    RawListener(const RawListener &) = delete;
    RawListener &operator=(const RawListener &) = delete;

    std::unique_ptr<RawSocket> accept();
    // Makes a blocked accept() return null.
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

// Returns a port below the ephemeral range that is free at the time of the call.
std::uint16_t freePort(const std::string &ip = "127.0.0.1");

// The start line and the header fields of an HTTP message; field names are in lower case.
struct RawHead
{
    std::string startLine;
    std::vector<HttpHeader> headers;

    std::string_view header(std::string_view name) const;
    int status() const; // of a response
};

// Reads a message head and leaves the bytes that follow it in the socket's buffer.
std::optional<RawHead> readHead(RawSocket &socket);

struct RawResponse
{
    RawHead head;
    std::string body;
    bool complete = false; // false if the connection ended before the body did
};

// Reads a response that is delimited by Content-Length, chunked encoding or the end of the
// connection.
std::optional<RawResponse> readResponse(RawSocket &socket, bool hasBody = true);

// Sends one request on a new connection and reads its response.
std::optional<RawResponse> fetch(const Address &address, std::string_view request);

// Builds a request with a Host header.
std::string makeRequest(std::string_view method, std::string_view path,
                        const std::vector<HttpHeader> &headers = {}, std::string_view body = "");

} // namespace basildeck::standin
