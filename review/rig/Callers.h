#pragma once

#include "Rig.h"

namespace rig {

// What became of one request, as its caller saw it.
struct Outcome
{
    std::string id;
    std::string vm;
    bool wasKept = false;     // the channel had carried an answered request before
    bool wasSent = false;     // the whole request was sent
    bool isComplete = false;  // a whole answer arrived
    bool hasTimedOut = false; // the caller gave up before the channel ended
    int status = 0;
    Time sentAt;
    Time endedAt;
};

// The outcomes of all callers, and which requests the targets ran.
class Ledger
{
public:
    void add(const Outcome &outcome);
    void ran(const std::string &id, const std::string &target);
    // Requests from kept channels that were passed on to a target, and whose channel ended without
    // an answer (LOST).
    std::vector<Outcome> lost();
    std::vector<Outcome> all();
    std::vector<std::string> runsOf(const std::string &id);
    std::size_t count();

private:
    std::mutex m_mutex;
    std::vector<Outcome> m_outcomes;
    std::map<std::string, std::vector<std::string>> m_runs;
};

// A caller with one kept channel to a VM. Sends one request after the other.
class Caller
{
public:
    Caller(Record &record, Ledger &ledger, const Vm &vm)
        : m_record(record)
        , m_ledger(ledger)
        , m_vm(vm)
    {}

    Outcome call(const std::string &method, const std::string &path, int deadlineMs,
                 const std::string *body = nullptr, Link *link = nullptr);

private:
    Record &m_record;
    Ledger &m_ledger;
    const Vm &m_vm;
    std::unique_ptr<Channel> m_channel;
    bool m_isKept = false;
};

std::string describe(const Outcome &outcome);

// Threads that are joined at the end of the scope.
class Threads
{
public:
    ~Threads() { join(); }
    template <typename Work>
    void add(Work work)
    {
        m_threads.emplace_back(std::move(work));
    }
    void join()
    {
        for (std::thread &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    std::vector<std::thread> m_threads;
};

// A small deployment: a store, targets and entry VMs.
struct Deployment
{
    // VMs of region khomas, with the memory that the site file nam-gauge names for them.
    Deployment(const Options &options, Target::Handler handler, int vmCount, int deskCount,
               int archiveCount);

    // Starts the targets and the VMs. Returns false if they do not become ready.
    bool start(const nlohmann::json &routes);

    Options options;
    Record record;
    Ledger ledger;
    std::string net;
    Store store;
    std::vector<std::unique_ptr<Target>> targets;
    std::vector<std::unique_ptr<Vm>> vms;
    int vmCount;
};

} // namespace rig
