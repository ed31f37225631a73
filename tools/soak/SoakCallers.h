#pragma once

#include "edge/HttpClientConnection.h"
#include "soak/SoakVms.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace basildeck::soak {

// A request as its caller saw it.
struct RequestRecord
{
    bool unsafe = false;
    std::string organisation;
    std::size_t vm = 0;
    Time sentAt;
    int status = 0; // of the complete response, 0 if there was none
};

// Callers that reuse connections and check each response.
class SoakCallers
{
public:
    // Organisations by API key. The organisation "limited" has a small quota and sends requests at
    // a rate far above it.
    static const std::map<std::string, std::string> &organisationsByKey();
    static constexpr double limitedRate = 20;
    static constexpr double limitedBurst = 10;

    SoakCallers(EventLoop &loop, SoakVms &vms, std::mt19937_64 &random);

    // Sends requests at a fixed rate until stop() is called.
    void start(double requestsPerSecond);
    void stop();
    // Closes the connections of a random half of the pending requests.
    void disconnectSome();

    const std::map<std::string, RequestRecord> &requests() const { return m_requests; }
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t pendingCount() const { return m_pendingRequests.size(); }

private:
    struct PendingRequest
    {
        std::string id;
        std::string expectedBody;
        std::size_t vm = 0;
        std::unique_ptr<HttpClientConnection> connection;
        std::string body;
        int status = 0;
        std::unique_ptr<Timer> timeout;
    };

    void sendRequest();
    void handleCompleteResponse(const std::string &id);
    void finishRequest(const std::string &id, bool keepConnection);
    std::unique_ptr<HttpClientConnection> takeConnection(std::size_t vm);

    EventLoop &m_loop;
    SoakVms &m_vms;
    std::mt19937_64 &m_random;
    Timer m_timer;
    std::uint64_t m_nextRequestNumber = 1;
    std::map<std::string, RequestRecord> m_requests;
    std::map<std::string, std::unique_ptr<PendingRequest>> m_pendingRequests;
    std::map<std::size_t, std::deque<std::unique_ptr<HttpClientConnection>>> m_idle; // by VM
    std::vector<std::string> m_violations;
};

} // namespace basildeck::soak
