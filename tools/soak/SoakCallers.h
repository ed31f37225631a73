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

// What a caller knows of one request.
struct CallRecord
{
    bool unsafe = false;
    std::string organisation;
    std::size_t vm = 0;
    Time sent;
    int status = 0; // of the whole answer, 0 without one
};

// Callers with kept connections, which check each answer.
class SoakCallers
{
public:
    // Organisations by key. The last one has a small quota and asks for much more.
    static const std::map<std::string, std::string> &organisationsByKey();
    static constexpr double limitedRate = 20;
    static constexpr double limitedBurst = 10;

    SoakCallers(EventLoop &loop, SoakVms &vms, std::mt19937_64 &random);

    // Sends requests at a rate until stop().
    void start(double perSecond);
    void stop();
    // Closes a part of the open connections in the midst of their requests.
    void leaveSome();

    const std::map<std::string, CallRecord> &calls() const { return m_calls; }
    const std::vector<std::string> &faults() const { return m_faults; }
    std::size_t open() const { return m_open.size(); }

private:
    struct Call
    {
        std::string id;
        std::string expectedBody;
        std::size_t vm = 0;
        std::unique_ptr<HttpClientConnection> connection;
        std::string body;
        int status = 0;
        std::unique_ptr<Timer> timeout;
    };

    void send();
    void takeWhole(const std::string &id);
    void drop(const std::string &id, bool keep);
    std::unique_ptr<HttpClientConnection> connectionTo(std::size_t vm);

    EventLoop &m_loop;
    SoakVms &m_vms;
    std::mt19937_64 &m_random;
    Timer m_timer;
    std::uint64_t m_next = 1;
    std::map<std::string, CallRecord> m_calls;
    std::map<std::string, std::unique_ptr<Call>> m_open;
    std::map<std::size_t, std::deque<std::unique_ptr<HttpClientConnection>>> m_idle; // by VM
    std::vector<std::string> m_faults;
};

} // namespace basildeck::soak
