#pragma once

#include "http/HttpServer.h"
#include "http/LwsLoop.h"
#include "standin/ObjectTable.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace basildeck::standin {

// Faults that the store stand-in injects.
struct StoreFaults
{
    milliseconds latency{ 2 };
    bool outage = false;    // connections are ended without an answer
    int loseAnswers = 0;    // number of writes that take effect and are not answered
    int callsPerSecond = 0; // 0: no cap; above it calls are answered 429
    milliseconds vmListLag{ 0 };
};

// Counts of calls, a waiting watch as one.
struct StoreCounts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t conflicts = 0;
};

// Stand-in for the platform's object API: JSON over HTTP.
//
//   GET    /v1/objects/KIND[/NAME]             one object, or the list
//   PUT    /v1/objects/KIND/NAME?version=V     conditional write, 0 creates
//   DELETE /v1/objects/KIND/NAME?version=V
//   GET    /v1/watch/KIND?from=V&waitMs=W      answers when an object is newer than V
//   GET    /v1/vms                             lagging list of VMs
//   PUT    /vms/NAME?state=live|leaving|gone   sets the list (stand-in only)
//   PUT    /faults                             sets faults (stand-in only)
//   GET    /counts                             calls so far (stand-in only)
class StoreStandin
{
public:
    static std::unique_ptr<StoreStandin> make(const Address &address);
    ~StoreStandin();

    // Serves on the calling thread until stop().
    void run() { m_loop->run(); }
    // Serves on a thread of its own until destruction.
    void start();
    void stop() { m_loop->stop(); }

    void setFaults(const StoreFaults &faults);
    StoreCounts counts() const;
    void setVm(const std::string &name, const std::string &state);

private:
    struct Delayed;
    struct Watch;

    StoreStandin() = default;
    void handle(HttpServer::RequestId id, const HttpRequest &request);
    void handleControl(HttpServer::RequestId id, const HttpRequest &request);
    HttpResponse handleObject(const HttpRequest &request);
    HttpResponse write(const HttpRequest &request, const std::string &kind,
                       const std::string &name);
    HttpResponse vmList() const;
    void onTick();
    void answerWatches(Time now);
    bool overCallRate(Time now);

    mutable std::mutex m_mutex;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
    ObjectTable m_objects;
    StoreFaults m_faults;
    StoreCounts m_counts;
    std::vector<Delayed> m_delayed;
    std::vector<Watch> m_watches;
    struct VmState
    {
        std::string state;
        std::string before;
        Time changed;
    };
    std::map<std::string, VmState> m_vms;
    Time m_second{};
    int m_callsInSecond = 0;
    bool m_loseNextAnswer = false;
};

} // namespace basildeck::standin
