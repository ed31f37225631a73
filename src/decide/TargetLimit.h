#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basildeck {

// Tells the other VMs the request rate that a target takes from all VMs together.
struct TargetLimitReport
{
    std::string target;
    double requestsPerSecond = 0; // 0 if the target names no rate any more
    std::uint32_t ageMs = 0;      // since the target's response
};

// The request rate that one target has named, as this VM knows it from responses and from other
// VMs, and a token bucket for this VM's share of that rate.
class TargetLimit
{
public:
    // Lower limit of the rate, so that some request finds out when the target takes more.
    static constexpr double minRequestsPerSecond = 0.1;
    // The bucket starts empty, because VMs learn of the rate at the same time, and holds what this
    // VM may send in this time, at least one request.
    static constexpr Duration burstTime = seconds(1);
    // Responses of a target that reach different VMs may be out of order by this much.
    static constexpr Duration reorderTolerance = milliseconds(500);
    // A rate of which neither this VM nor another one has heard for this time is dropped.
    static constexpr Duration lifetime = seconds(60);
    // How long an observation of this VM is reported to the others.
    static constexpr Duration reportTime = seconds(4);

    // A response to this VM names a rate, or none. Returns whether that is a change.
    bool observe(std::optional<double> requestsPerSecond, Time now);
    // Another VM reports what it observed. Returns whether that is a change.
    bool learn(const TargetLimitReport &report, Time now);
    // Drops a rate that is out of date. Returns whether it did.
    bool expire(Time now);
    // What the other VMs are to be told of this VM's observations.
    std::optional<TargetLimitReport> report(const std::string &target, Time now) const;

    bool isLimited() const { return m_rate.has_value(); }
    // Sets the part of the rate that this VM may use, from 0 to 1.
    void setShare(double share, Time now);
    bool hasPermit(Time now) const { return !m_rate || tokens(now) >= 1; }
    // Takes a permit, which must be there.
    void takePermit(Time now);
    // The time until this VM, or another one if it has no share, has a permit.
    Duration untilPermit(Time now) const;

    // The rate that the target named, in requests per second.
    std::optional<double> rate() const { return m_rate; }

private:
    bool setRate(std::optional<double> requestsPerSecond, Time observedAt, Time now);
    // Requests per second that this VM may send.
    double ownRate() const { return m_rate.value_or(0) * m_share; }
    double tokens(Time now) const;
    void refill(Time now);

    std::optional<double> m_rate;
    double m_share = 0;
    double m_tokens = 0;
    Time m_refilledAt{};
    std::optional<Time> m_observedAt;    // the newest observation of any VM
    std::optional<Time> m_ownObservedAt; // the newest one of this VM that matters to others
};

// Returns the part of a target's request rate that a VM may use. The VMs of the target's region use
// it, because most requests for its objects arrive there; if there are none, all VMs do. At most
// two VMs for each request a second take part, found by rendezvous hashing, so that the permits
// that they hold together stay within two seconds' worth of requests.
double targetLimitShare(const std::string &vm, const std::map<std::string, std::string> &vmRegions,
                        const std::string &target, const std::string &targetRegion,
                        double requestsPerSecond);

} // namespace basildeck
