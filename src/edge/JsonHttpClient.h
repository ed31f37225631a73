#pragma once

#include "basildeck/Result.h"
#include "edge/HttpClientConnection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// A complete response from the store or another VM.
struct JsonHttpResponse
{
    int status = 0;
    std::string body;
    HeaderFields fields;

    // The value of a header; nothing if it is missing or not a number.
    std::optional<std::uint64_t> numberField(std::string_view name) const;
};

// Sends HTTP requests with JSON bodies one at a time, reusing the connection to the last address.
class JsonHttpClient
{
public:
    // The error tells whether the request may have taken effect: StoreAnswerLost if it was sent,
    // StoreUnavailable if it was not.
    using ResponseCallback = std::function<void(Result<JsonHttpResponse>)>;

    // Maximum size of a response body.
    static constexpr std::size_t maxBodyBytes = 32 * 1024 * 1024;

    explicit JsonHttpClient(EventLoop &loop);
    ~JsonHttpClient();

    // From then on, a response whose body has begun may take this long in all, as long as a part of
    // it arrives within the idle time, whatever the time limit of its call.
    void setTransferTimes(Duration maxIdle, Duration maxTransfer);
    // From then on, responses may be compressed.
    void acceptGzip() { m_acceptsGzip = true; }

    // Sends a request. Path and query are sent unchanged; an empty body is omitted.
    void call(const Address &address, const std::string &method, const std::string &pathAndQuery,
              const std::string &body, Duration timeout, ResponseCallback onResponse);
    // Aborts the current request without calling its callback, and closes the connection.
    void cancel();
    bool isBusy() const { return static_cast<bool>(m_onResponse); }
    // Whether the body of the response arrives.
    bool isReceiving() const { return isBusy() && !m_response.body.empty(); }

private:
    void addToBody(std::string_view bytes);
    // The response is complete, but may have to be decompressed.
    void finishResponse();
    void finish(Result<JsonHttpResponse> result);
    void closeConnection();

    EventLoop &m_loop;
    Timer m_timeout;
    Duration m_maxIdle{ 0 }; // of a transfer; zero if it has no time limit of its own
    Duration m_maxTransfer{ 0 };
    Time m_transferEndsAt{};
    bool m_acceptsGzip = false;
    Address m_address;
    std::unique_ptr<HttpClientConnection> m_connection;
    JsonHttpResponse m_response;
    ResponseCallback m_onResponse;
};

} // namespace basildeck
