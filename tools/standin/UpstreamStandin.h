#pragma once

#include "standin/RawSocket.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace basildeck::standin {

struct UpstreamCounts
{
    std::uint64_t requests = 0;
    std::uint64_t runs = 0; // requests that were not shed
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; // runs whose caller closed the connection before the response
    std::uint64_t keysSeen = 0;  // requests that carried an Authorization header
    int inFlight = 0;
    int maxInFlight = 0;
};

// Stand-in for one target of an upstream; each connection is served by its own thread. The query
// arguments of a request control its response:
//
//   sleepMs=N    delay before the response
//   bytes=N      length of the body
//   status=N     status code
//   frame=F      framing: length (default), chunked, close, cut, cut-chunked, none, half-head,
//                garbage
//   location=L   value of a Location header
class UpstreamStandin
{
public:
    struct Options
    {
        std::string name = "target";
        std::string ip = "127.0.0.1";
        std::uint16_t port = 0;
        int slots = 0; // 0: no limit; requests above it are shed with 503 and not-run
    };

    static std::unique_ptr<UpstreamStandin> make(const Options &options);
    ~UpstreamStandin();

    const Address &address() const { return m_listener->address(); }
    UpstreamCounts counts() const;
    // Number of runs by Idempotency-Key.
    std::map<std::string, int> runsByKey() const;
    // The head of the last request.
    RawHead lastHead() const;
    std::string lastBody() const;

    // Makes the stand-in close every connection without a response, as if the process crashed.
    void setCrashing(bool crashing) { m_crashing = crashing; }

private:
    UpstreamStandin(const Options &options, std::unique_ptr<RawListener> listener)
        : m_options(options)
        , m_listener(std::move(listener))
    {}
    void accept();
    void runWorker();
    void serveConnection(RawSocket &socket);
    bool serveRequest(RawSocket &socket);
    bool beginRequest(const RawHead &head);
    void endRequest(bool cancelled);
    static bool sendResponse(RawSocket &socket, const HttpRequest &request,
                             const std::string &body);

    Options m_options;
    std::unique_ptr<RawListener> m_listener;
    std::thread m_acceptThread;
    std::atomic<bool> m_stopped{ false };
    std::atomic<bool> m_crashing{ false };
    std::mutex m_queueMutex;
    std::condition_variable m_queueChanged;
    std::deque<std::unique_ptr<RawSocket>> m_socketQueue; // accepted, waiting for a worker
    std::size_t m_idleWorkers = 0;
    std::vector<std::thread> m_workers;
    mutable std::mutex m_mutex;
    UpstreamCounts m_counts;
    std::map<std::string, int> m_runsByKey;
    RawHead m_lastHead;
    std::string m_lastBody;
};

} // namespace basildeck::standin
