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

    // Sends a request. Path and query are sent unchanged; an empty body is omitted.
    void call(const Address &address, const std::string &method, const std::string &pathAndQuery,
              const std::string &body, Duration timeout, ResponseCallback onResponse);
    // Aborts the current request without calling its callback, and closes the connection.
    void cancel();
    bool isBusy() const { return static_cast<bool>(m_onResponse); }

private:
    void addToBody(std::string_view bytes);
    void finish(Result<JsonHttpResponse> result);
    void closeConnection();

    EventLoop &m_loop;
    Timer m_timeout;
    Address m_address;
    std::unique_ptr<HttpClientConnection> m_connection;
    JsonHttpResponse m_response;
    ResponseCallback m_onResponse;
};

} // namespace basildeck
