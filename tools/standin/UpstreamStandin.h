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

// What an upstream stand-in has seen.
struct UpstreamCounts
{
    std::uint64_t requests = 0;
    std::uint64_t runs = 0; // requests that were not shed
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; // callers that left during a run
    std::uint64_t keysSeen = 0;  // requests that carried an Authorization header
    int inFlight = 0;
    int maxInFlight = 0;
};

// Stand-in for an upstream. A thread serves each connection. Query arguments of a request choose
// what it does:
//
//   sleepMs=N    waits before the answer
//   bytes=N      answers N bytes
//   status=N     answers this status
//   frame=F      length (default), chunked, close, cut, cut-chunked, none, half-head, garbage
//   location=L   adds a Location header
class UpstreamStandin
{
public:
    struct Options
    {
        std::string name = "target";
        std::string ip = "127.0.0.1";
        std::uint16_t port = 0;
        int slots = 0; // 0: no limit; above it requests are shed with 503 and not-run
    };

    static std::unique_ptr<UpstreamStandin> make(const Options &options);
    ~UpstreamStandin();

    const Address &address() const { return m_listener->address(); }
    UpstreamCounts counts() const;
    // Runs by value of the Idempotency-Key header.
    std::map<std::string, int> runsByKey() const;
    // The head of the last request.
    RawHead lastHead() const;
    std::string lastBody() const;

    // Makes the stand-in end every connection without an answer, as a crashed process does.
    void setCrashing(bool crashing) { m_crashing = crashing; }

private:
    UpstreamStandin(const Options &options, std::unique_ptr<RawListener> listener)
        : m_options(options)
        , m_listener(std::move(listener))
    {}
    void accept();
    void work();
    void serve(RawSocket &socket);
    bool serveOne(RawSocket &socket);
    bool begin(const RawHead &head);
    void end(bool cancelled);
    static bool answer(RawSocket &socket, const HttpRequest &request, const std::string &body);

    Options m_options;
    std::unique_ptr<RawListener> m_listener;
    std::thread m_thread;
    std::atomic<bool> m_stopped{ false };
    std::atomic<bool> m_crashing{ false };
    std::mutex m_queueMutex;
    std::condition_variable m_work;
    std::deque<std::unique_ptr<RawSocket>> m_queue; // accepted and not yet served
    std::size_t m_idle = 0;
    std::vector<std::thread> m_workers;
    mutable std::mutex m_mutex;
    UpstreamCounts m_counts;
    std::map<std::string, int> m_runsByKey;
    RawHead m_lastHead;
    std::string m_lastBody;
};

} // namespace basildeck::standin
