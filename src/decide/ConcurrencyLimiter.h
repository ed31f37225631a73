#pragma once

#include "basildeck/Time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Load that a target reports with a response.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    // How long work currently takes on the target's machine, 100 being the usual value; empty if
    // the target did not report it, or a value that is not valid.
    std::optional<int> speedPercent;
};

// Adaptive limit on the requests that this VM has in flight at one target, with a priority queue
// for the requests above the limit.
//
// Requests that wait here can be reordered and cancelled; requests that wait at the target cannot.
// The limit grows while the target reports no waiting requests, and shrinks when it reports some or
// sheds a request. The VMs that share a target thus converge to its slots without communication
// (additive increase, multiplicative decrease).
class ConcurrencyLimiter
{
public:
    using RequestId = std::uint64_t;

    // Added to the limit for each response that reports no waiting requests.
    static constexpr double additiveIncrease = 0.2;
    // Factors for a response that reports waiting requests, and for a shed request.
    static constexpr double queueingDecreaseFactor = 0.85;
    static constexpr double shedDecreaseFactor = 0.6;
    // Weight of a new sample in the exponential moving averages.
    static constexpr double smoothingFactor = 0.2;
    // Time constant with which the knowledge of a run time loses weight.
    static constexpr Duration runMemory = seconds(3);
    // Run time that is assumed before the first response.
    static constexpr Duration initialRunEstimate = milliseconds(200);

    explicit ConcurrencyLimiter(int slots);

    struct WaitingRequest
    {
        RequestId id = 0;
        int priority = 0; // 0 is the most urgent
    };

    // Returns whether a request can be sent now.
    bool hasCapacity() const;
    // Time that a new request of a priority is expected to wait in the queue.
    Duration expectedWait(int priority) const;
    // Expected run time of a kind of request at this target. The less recent the last run of the
    // kind, the closer to the typical run time at similar targets; zero if both are unknown.
    Duration expectedRun(const std::string &kind, Duration typicalRun, Time now) const;

    void push(const WaitingRequest &waiting);
    // Removes and returns the next waiting request, if there is capacity for it.
    std::optional<WaitingRequest> pop();
    // Returns false if the request is not in the queue.
    bool cancel(RequestId id);
    // Empties the queue.
    std::vector<WaitingRequest> takeAllWaiting();

    void started() { ++m_inFlight; }
    void answered(const std::string &kind, Duration took, const std::optional<LoadReport> &load,
                  Time now);
    void shed();
    // A run was cancelled, whose run time is at least this. It says something only where it exceeds
    // the estimate.
    void cancelled(const std::string &kind, Duration ranFor, Time now);
    // Called when a run ends without a response that tells anything about the target's load.
    void ended() { --m_inFlight; }

    void setSlots(int slots);
    // Lowers the limit to the requests in flight. Called for runs with a permit of the target's
    // coordinator, so that this VM goes on with its share of the slots if it has to decide by
    // itself.
    void limitToInFlight() { m_limit = std::clamp<double>(m_inFlight, 1, m_limit); }
    int inFlight() const { return m_inFlight; }
    std::size_t waitingCount() const { return m_waiting.size(); }
    double limit() const { return m_limit; }

private:
    struct RunTime
    {
        double seconds = 0; // moving average
        Time updatedAt{};
    };

    int m_slots;
    double m_limit;
    int m_inFlight = 0;
    std::vector<WaitingRequest> m_waiting; // most urgent first, then oldest first
    double m_runSeconds = 0;               // moving average over all kinds
    std::map<std::string, RunTime> m_runTimesByKind;
};

} // namespace basildeck
