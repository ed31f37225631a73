#pragma once

#include "soak/FaultProxy.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace basildeck::soak {

// A period in which a VM was cut from all targets.
struct Partition
{
    std::size_t vm = 0;
    CutMode mode = CutMode::Hang;
    Time from;
    Time until;
};

// Cuts VMs from all targets, while callers, the store and the other VMs reach them. Each VM has a
// link of its own to each target, at an address that only its view of the store names.
class SoakPartitions
{
public:
    // The time from the start of a cut after which a VM has to serve requests nevertheless.
    static constexpr Duration detectionBound = seconds(4);

    SoakPartitions(EventLoop &loop, std::size_t vmCount, int subnet, std::uint64_t seed,
                   std::function<void(const std::string &)> logEvent);

    // The start of the addresses under which a VM reaches the targets. All have the same length.
    std::string targetPrefix(std::size_t vm) const;
    // Makes links of all VMs to a target, whose number ends their addresses. False if one is in
    // use.
    bool addTarget(const std::string &number, const Address &target);

    // Injects short random cuts, some of which come and go, until a time.
    void start(Time until);
    // Cuts the VMs of a zone, or a single VM, for longer than detectionBound. Zone and modes follow
    // from the seed. Returns for how long.
    Duration drill();

    const std::vector<Partition> &partitions() const { return m_partitions; }
    const std::vector<std::string> &violations() const { return m_violations; }
    // Whether a VM was cut at any time of a period.
    bool wasPartitioned(std::size_t vm, Time from, Time to) const;

private:
    std::size_t randomIndex(std::size_t count);
    void injectFault();
    void begin(std::size_t vm, CutMode mode, Duration duration);
    void end(std::size_t vm);

    EventLoop &m_loop;
    int m_subnet;
    std::uint64_t m_seed;
    std::mt19937_64 m_random; // of its own, so that the other faults remain a function of the seed
    std::function<void(const std::string &)> m_logEvent;
    std::vector<std::vector<std::unique_ptr<FaultProxy>>> m_links; // by VM
    std::vector<std::string> m_violations;
    Time m_faultPhaseEnd{};
    std::vector<Partition> m_partitions;
};

} // namespace basildeck::soak
