#pragma once

#include "http/HttpServer.h"
#include "http/LwsLoop.h"
#include "standin/ObjectTable.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace basildeck::standin {

// Faults that the store stand-in injects.
struct StoreFaults
{
    milliseconds latency{ 2 };
    bool outage = false;         // closes connections without a response
    int loseAnswers = 0;         // number of writes that take effect but get no response
    int callsPerSecond = 0;      // 0: no limit; calls above it get status 429
    milliseconds vmListLag{ 0 }; // delay until a change shows in the list of VMs
};

// Numbers of calls; a long-polling watch counts once.
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
//   GET    /v1/watch/KIND?from=V&waitMs=W      long poll for objects newer than V; 410 if the
//                                              store's version is lower than V
//   GET    /v1/vms                             list of VMs, delayed by vmListLag
//   PUT    /vms/NAME?state=live|leaving|gone   sets the state of a VM (stand-in only)
//   PUT    /faults                             sets faults (stand-in only)
//   PUT    /copy                               copies all objects (stand-in only)
//   PUT    /restore                            comes back from that copy (stand-in only); 409 if
//                                              there is none
//   GET    /counts                             numbers of calls (stand-in only)
//
// Every response under /v1 carries the header eraHeader: the number of times that the store has
// come back from a copy, plus one. A restore takes the objects and the version counter back to
// those of the copy, so that versions are given out again.
class StoreStandin
{
public:
    static constexpr const char *eraHeader = "basildeck-store-era";

    static std::unique_ptr<StoreStandin> make(const Address &address);
    ~StoreStandin();

    // Runs the server on the calling thread until stop().
    void run() { m_loop->run(); }
    // Runs the server on its own thread until destruction.
    void start();
    void stop() { m_loop->stop(); }

    void setFaults(const StoreFaults &faults);
    StoreCounts counts() const;
    void setVm(const std::string &name, const std::string &state);
    // Copies all objects, in place of an earlier copy.
    void copyObjects();
    // Replaces all objects by those of the copy and raises the era. Returns false if there is no
    // copy. The list of VMs stays as it is.
    bool restoreObjects();

private:
    struct DelayedResponse;
    struct Watch;

    StoreStandin() = default;
    void handle(HttpServer::RequestId id, const HttpRequest &request);
    void handleControl(HttpServer::RequestId id, const HttpRequest &request);
    HttpResponse handleObject(const HttpRequest &request);
    HttpResponse write(const HttpRequest &request, const std::string &kind,
                       const std::string &name);
    HttpResponse vmListResponse() const;
    // Queues a response under /v1, which states the era of its execution.
    void respondLater(HttpServer::RequestId id, HttpResponse response, Time now);
    void onTick();
    void completeWatches(Time now);
    bool exceedsCallRate(Time now);

    mutable std::mutex m_mutex;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
    ObjectTable m_objects;
    std::optional<ObjectTable> m_copy;
    std::uint64_t m_era = 1;
    StoreFaults m_faults;
    StoreCounts m_counts;
    std::vector<DelayedResponse> m_delayedResponses;
    std::vector<Watch> m_watches;
    struct VmState
    {
        std::string state;
        std::string before;
        Time changed;
    };
    std::map<std::string, VmState> m_vms;
    Time m_callWindowStart{};
    int m_callsInWindow = 0;
    bool m_dropNextResponse = false;
};

} // namespace basildeck::standin
