#pragma once

#include "Store.h"

#include <sys/types.h>

#include <fstream>
#include <memory>
#include <set>
#include <vector>

namespace rig {

// Writes record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &file);
    void line(const std::string &text);
    double now() const; // seconds since the start

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Time m_start = Clock::now();
};

// How a target answers one request.
struct Answer
{
    int status = 200;
    std::string body;
    Millis work{ 0 };
    std::size_t cutAt = std::string::npos; // breaks off the body there, and closes the channel
    Link *link = nullptr;                  // over which the body is sent
    bool crashes = false;                  // the target crashes when it has begun to run it
};

struct TargetPlan
{
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    std::uint16_t port = 8080;
    int slots = 4;
};

// A target as PROTOCOL.md tells it. It registers itself in the store, runs as many requests at once
// as it has slots, and keeps the others waiting.
class Target
{
public:
    using Handler = std::function<Answer(Target &, const Message &)>;

    Target(Store &store, Record &record, TargetPlan plan, Handler handler);
    ~Target();

    // Starts it with an entry that says how long it stays cold.
    void start(Millis cold = Millis(0));
    // It ends at once: channels are reset, and its port has no listener.
    void crash();
    bool isUp() const { return m_isUp; }
    bool isCold() const;
    const TargetPlan &plan() const { return m_plan; }
    // Times at which requests arrived while it was cold.
    std::vector<Time> coldArrivals();
    // How many of them arrived in the last second.
    int coldRate();

private:
    void acceptAll(int listener, std::uint64_t life);
    void serve(const std::shared_ptr<Channel> &channel, std::uint64_t life);
    void beat();
    void writeEntry();

    Store &m_store;
    Record &m_record;
    TargetPlan m_plan;
    Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_running = 0;
    std::atomic<bool> m_isUp = false;
    std::atomic<bool> m_isEnding = false;
    std::atomic<std::uint64_t> m_life = 0;
    int m_listener = -1;
    std::set<std::shared_ptr<Channel>> m_channels;
    std::vector<Time> m_coldArrivals;
    Time m_coldUntil{};
    std::uint64_t m_sequence = 0;
    std::uint64_t m_born = 0;
    std::thread m_beat;
};

struct VmPlan
{
    std::string name;
    std::string zone;
    std::string region;
    std::string ip;
    int memoryMb = 260;
};

// An entry VM: a process of the project, started by the deploy file's command. Like the platform,
// it kills a process that exceeds its memory, and starts a process again that has ended.
class Vm
{
public:
    static constexpr std::uint16_t frontPort = 8388;

    Vm(Record &record, VmPlan plan, std::string program, std::string folder,
       const std::string &store, const std::map<std::string, std::string> &zones);
    ~Vm();

    void start();
    void kill();
    bool isReady() const;
    const VmPlan &plan() const { return m_plan; }
    // The most memory that was seen, and how often the process was killed because of it.
    long peakMb() const { return m_peakMb; }
    int memoryKills() const { return m_memoryKills; }
    // The time of the last start of a process.
    Time startedAt() const { return m_startedAt; }

private:
    void watchOver();

    Record &m_record;
    VmPlan m_plan;
    std::string m_program;
    std::string m_settings;
    std::string m_log;
    std::mutex m_mutex;
    pid_t m_pid = 0;
    std::atomic<long> m_peakMb = 0;
    std::atomic<int> m_memoryKills = 0;
    std::atomic<Time> m_startedAt{};
    std::atomic<bool> m_isEnding = false;
    std::thread m_watcher;
};

// Chooses loopback addresses of a subnet that is free.
int freeSubnet();
std::string requestId();

// The operator's configuration, as `fleetbench wire` shows it.
nlohmann::json configuration(const nlohmann::json &routes,
                             const std::vector<std::string> &services);
nlohmann::json route(const std::string &prefix, const std::string &type, const std::string &service,
                     int timeoutMs, int aimMs, int attempts = 2);

extern const char *const host;

// Waits until all VMs say that they are ready. Returns false after 20 seconds.
bool awaitReady(const std::vector<std::unique_ptr<Vm>> &vms);

// Texts of the head of a request.
std::string requestHead(const std::string &method, const std::string &path, const std::string &id,
                        int deadlineMs, std::optional<std::size_t> bodySize = std::nullopt);

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

// Kills the processes that were started, and exits as one that could not run.
[[noreturn]] void giveUp(const std::string &reason);

struct Options
{
    std::string program;
    std::string folder; // temporary
    std::string record;
    bool hasTrouble = true;
};

int playLongBodies(const Options &options);
int playPipelinedDownloads(const Options &options);
int playCutPipelined(const Options &options);
int playPoison(const Options &options);
int playColdRestart(const Options &options);

} // namespace rig
