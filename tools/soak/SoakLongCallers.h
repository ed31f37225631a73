#pragma once

#include "http/HttpParser.h"
#include "soak/SoakVms.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace basildeck::soak {

// How a caller uses its connection.
enum class CallerHabit {
    Plain,
    Pipelining,  // sends requests while earlier ones are unanswered
    SplitBody,   // pauses in the middle of a request's body
    SlowReading, // reads a long response in pieces
};

// A request with a long run as its caller saw it.
struct LongRequestRecord
{
    bool unsafe = false;
    CallerHabit habit = CallerHabit::Plain;
    std::size_t vm = 0;
    std::size_t process = 0; // index of the VM's process to which it was sent
    std::string previousId;  // of the unanswered request behind which it was sent, if any
    Time firstByteAt;
    std::optional<Time> lastByteAt;
    std::optional<Time> endedAt; // of the response or the connection
    int status = 0;              // of the complete response, 0 if there was none
    bool isSealed = false;       // the response bears a target's seal
};

// Callers of routes whose runs last up to several seconds. Each uses a connection until the VM
// closes it and then opens another to the same VM, also while the VM shuts down, as callers with an
// old lookup response do.
class SoakLongCallers
{
public:
    SoakLongCallers(EventLoop &loop, SoakVms &vms, std::uint64_t seed);

    void start();
    // Opens connections to a VM that has just received SIGTERM. Their first requests are sent at
    // random times, most of them about the end of the time in which the VM may accept requests.
    void visitLeavingVm(std::size_t vm);

    const std::map<std::string, LongRequestRecord> &requests() const { return m_requests; }
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct Connection
    {
        std::size_t vm = 0;
        std::size_t process = 0;
        CallerHabit habit = CallerHabit::Plain;
        bool isReopened = false; // by another one once it is closed
        std::unique_ptr<TcpStream> stream;
        std::unique_ptr<HttpParser> parser;
        std::deque<std::string> unansweredIds;
        std::string responseBody;
        int status = 0;
        bool isSealed = false;
        bool isClosing = false; // no more requests are sent on it
        bool isRequestScheduled = false;
    };

    Duration randomDuration(Duration from, Duration to);
    void open(std::size_t vm, bool isReopened, Duration firstRequestDelay);
    // Sends the next request later, unless one is scheduled already.
    void scheduleRequest(std::uint64_t connectionId, Duration delay);
    void sendRequest(std::uint64_t connectionId);
    void sendSecondHalf(std::uint64_t connectionId, const std::string &requestId,
                        const std::string &bytes);
    void handleData(std::uint64_t connectionId, std::string_view bytes);
    void handleHead(std::uint64_t connectionId, const MessageHead &head);
    void handleResponse(std::uint64_t connectionId);
    void close(std::uint64_t connectionId);
    Connection *find(std::uint64_t connectionId);

    EventLoop &m_loop;
    SoakVms &m_vms;
    std::mt19937_64 m_random;
    std::map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::uint64_t m_nextConnectionId = 1;
    std::uint64_t m_nextRequestNumber = 1;
    std::map<std::string, LongRequestRecord> m_requests;
    std::vector<std::string> m_violations;
};

} // namespace basildeck::soak
