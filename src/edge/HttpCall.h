#pragma once

#include "basildeck/Result.h"
#include "edge/HttpClientConnection.h"

#include <functional>
#include <memory>
#include <string>

namespace basildeck {

// A whole answer to a call of the store or of another VM.
struct CallAnswer
{
    int status = 0;
    std::string body;
};

// Makes calls to one address, one at a time, on a connection that it keeps.
class HttpCaller
{
public:
    // The error says whether the call may have had an effect: StoreAnswerLost, or StoreUnavailable
    // where nothing was sent.
    using Done = std::function<void(Result<CallAnswer>)>;

    explicit HttpCaller(EventLoop &loop);
    ~HttpCaller();

    // Starts a call. Path and query are sent as given; an empty body is sent as none.
    void call(const Address &to, const std::string &method, const std::string &pathAndQuery,
              const std::string &body, Duration timeout, Done done);
    // Ends the call at hand without an answer, and the connection.
    void cancel();
    bool isBusy() const { return static_cast<bool>(m_done); }

private:
    void finish(Result<CallAnswer> result);
    void dropConnection();

    EventLoop &m_loop;
    Timer m_timeout;
    Address m_address;
    std::unique_ptr<HttpClientConnection> m_connection;
    CallAnswer m_answer;
    Done m_done;
};

} // namespace basildeck
