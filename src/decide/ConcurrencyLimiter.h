#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// What a target said of its own load with an answer.
struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
};

// Decides how many requests this VM has in flight at one target, and in which order others wait for
// it here.
//
// A queue here can be ordered and given up; a queue at the target cannot. The number in flight
// grows while the target reports that nobody waits there, and shrinks while somebody does or when
// the target sheds, so that the VMs that share a target settle on its slots without messages
// (additive increase, multiplicative decrease).
class ConcurrencyLimiter
{
public:
    using RequestId = std::uint64_t;

    // Added for each answer that reports no waiting requests.
    static constexpr double additiveIncrease = 0.2;
    // Factors for an answer that reports waiting requests, and for a shed request.
    static constexpr double queueingDecreaseFactor = 0.85;
    static constexpr double shedDecreaseFactor = 0.6;
    // Weight of a new observation in moving averages.
    static constexpr double smoothingFactor = 0.2;
    // How long a run is taken to last until the first answer.
    static constexpr Duration initialRunEstimate = milliseconds(200);

    explicit ConcurrencyLimiter(int slots);

    struct WaitingRequest
    {
        RequestId id = 0;
        int priority = 0; // 0 is the most urgent
    };

    // A request can be sent now.
    bool hasCapacity() const;
    // How long a new request of a priority would wait here.
    Duration expectedWait(int priority) const;
    // How long a request of a kind takes at this target; zero if nothing is known.
    Duration expectedRun(const std::string &kind) const;

    void push(const WaitingRequest &waiting);
    // The next waiting request, if there is room for it.
    std::optional<WaitingRequest> pop();
    // Returns false if the request does not wait here.
    bool cancel(RequestId id);
    // Removes and returns all waiting requests.
    std::vector<WaitingRequest> takeAllWaiting();

    void started() { ++m_inFlight; }
    void answered(const std::string &kind, Duration took, const std::optional<LoadReport> &load);
    void shed();
    // The run ended without an answer that says anything about load.
    void ended() { --m_inFlight; }

    void setSlots(int slots);
    int inFlight() const { return m_inFlight; }
    std::size_t waitingCount() const { return m_waiting.size(); }
    double limit() const { return m_limit; }

private:
    int m_slots;
    double m_limit;
    int m_inFlight = 0;
    std::vector<WaitingRequest> m_waiting; // most urgent first, then oldest first
    double m_runSeconds = 0;               // moving average over all kinds
    std::map<std::string, double> m_runSecondsByKind;
};

} // namespace basildeck
