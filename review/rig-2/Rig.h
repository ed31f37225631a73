#pragma once

// A small deployment on loopback addresses: the program's processes, and stand-ins of the
// platform's store, of targets and of clients.

#include "Net.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>

namespace review {

using nlohmann::json;

// Writes the lines of record.txt. All stand-ins share it.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    {}
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// The platform's store: objects by kind and name with one revision counter, lists and watches.
class Store
{
public:
    explicit Store(const Address &at);
    // Replaces an object, as its writer's call does. Returns the revision.
    std::uint64_t put(const std::string &kind, const std::string &name, const json &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        json object;
        bool deleted;
    };
    void serve(Channel &channel);
    std::string handle(const Message &request);
    std::string list(const std::string &kind, const std::map<std::string, std::string> &query);
    std::string watch(const std::string &kind, std::uint64_t after, double wait);
    json store(const std::string &kind, const std::string &name, const json &spec);
    bool erase(const std::string &kind, const std::string &name);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<Event> m_events;
    std::unique_ptr<Server> m_server;
};

struct Run
{
    std::string request;
    std::string target;
    std::string tenant;
    std::string path;
    double arrivedAt = 0;
    double endedAt = 0;
    bool isCut = false; // the channel had ended before the answer was written
};

// A target that registers itself in the store and reports there every 1.5 s.
class Target
{
public:
    struct Options
    {
        std::string service;
        std::string zone;
        Address at;
        double workSeconds = 0.05;
        std::size_t answerBytes = 400;
        int slots = 4;
    };
    Target(Store &store, Record &record, std::string id, Options options);
    ~Target();

    const std::string &id() const { return m_id; }
    const Address &address() const { return m_options.at; }
    // What a report of now says.
    json report();
    void sendReport();
    void setAnswerBytes(std::size_t bytes) { m_answerBytes = bytes; }
    // Reports and from then on says that it is leaving.
    void setDraining();
    // Called for each request that it begins to run. Returning false crashes the target.
    std::function<bool(const Message &)> onRun = [](const Message &) { return true; };
    // Whether the answer to a request breaks off in the middle of its body.
    std::function<bool(const Message &)> breaksOff = [](const Message &) { return false; };
    // Ends without a word. Its entry stays until the platform removes it.
    void crash();
    bool isCrashed() const { return m_isCrashed; }
    std::vector<Run> runs();
    static std::string answerBody(const std::string &requestId, std::size_t bytes);

private:
    void serve(Channel &channel);

    Store &m_store;
    Record &m_record;
    std::string m_id;
    Options m_options;
    std::int64_t m_born;
    std::int64_t m_sequence = 0;
    bool m_isDraining = false;
    std::atomic<std::size_t> m_answerBytes = 0;
    std::atomic<double> m_nextReportAt = 0;
    std::atomic<bool> m_isCrashed = false;
    std::atomic<bool> m_ends = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Server> m_server;
    std::thread m_reporter;
};

// One process of the program.
class Vm
{
public:
    Vm(std::string name, std::string ip, std::string settings, std::string log);
    ~Vm();
    void start();
    void kill();
    // Whether the process ended by itself.
    bool hasEnded();
    bool isReady() const;
    Address front() const { return { m_ip, 8388 }; }
    const std::string &name() const { return m_name; }

private:
    std::string m_name;
    std::string m_ip;
    std::string m_settings;
    std::string m_log;
    int m_process = 0;
};

struct VmPlace
{
    std::string zone;
    int memoryMb = 260;
};

class Rig
{
public:
    explicit Rig(const std::string &recordFile);
    ~Rig();
    Record &record() { return m_record; }
    Store &store() { return *m_store; }
    std::vector<std::unique_ptr<Vm>> &vms() { return m_vms; }
    std::string ip(int third, int fourth) const;
    // Writes the desired state, starts the processes and waits until all are ready.
    void startVms(const std::vector<VmPlace> &places);
    Target::Options targetOptions(const std::string &service, const std::string &zone, int number);

private:
    std::string m_folder;
    int m_second = 0; // of the loopback addresses
    Record m_record;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Vm>> m_vms;
};

struct Answer
{
    int status = 0; // 0: none
    bool isComplete = false;
    bool isWhole = false; // the target's whole body, with its signature
    std::string text() const;
};

// Sends one request on a new channel and reads the answer.
Answer ask(const Address &front, const std::string &method, const std::string &path,
           const std::string &requestId, const std::string &key, int deadlineMs,
           const std::string &body = {});
std::string requestHead(const std::string &method, const std::string &path,
                        const std::string &requestId, const std::string &key, int deadlineMs,
                        const std::string &moreFields = {});
Answer judge(const Message &message, const std::string &requestId);
std::string newId();
std::string seconds(double value);
// Whether the case plays without its disruption.
bool isQuiet();

} // namespace review
