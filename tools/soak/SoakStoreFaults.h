#pragma once

#include "soak/SoakOperator.h"
#include "soak/SoakStore.h"
#include "soak/SoakTargets.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace basildeck::soak {

// A period in which a fault was injected into the store.
struct StoreDisturbance
{
    Time from;
    Time until;
};

// A configuration that was acknowledged right after the store had lost the watches that would have
// told of it.
struct UnwatchedChange
{
    Time time;
    int version = 0;
    Duration bound; // within which VMs have to know it
    std::string fault;
};

// Injects faults into the store.
class SoakStoreFaults
{
public:
    SoakStoreFaults(EventLoop &loop, SoakStore &store, SoakOperator &fleetOperator,
                    SoakTargets &targets, std::mt19937_64 &random,
                    std::function<void(const std::string &)> logEvent);

    // Injects a random fault.
    void inject(Duration duration);
    void clear() { m_store.setMode(StoreMode::Normal); }
    // Takes the store away for a moment; it comes back from a copy. Returns for how long it is
    // away.
    Duration restore();
    // Changes the configuration, so that VMs send their next watches, and leaves these unanswered
    // for good. The configuration changes again at the end of the silence. Returns the time until
    // VMs have to know these changes.
    Duration fallSilentAfterChange();
    // Cuts off all watches, so that all VMs send them again at the same time, and later leaves
    // those of a kind, or of all kinds, unanswered for good. The configuration changes right after,
    // and a target leaves. Returns the time until VMs have to know that.
    Duration loseWatches(const std::string &kind);

    const std::vector<StoreDisturbance> &disturbances() const { return m_disturbances; }
    const std::vector<UnwatchedChange> &unwatchedChanges() const { return m_unwatchedChanges; }

private:
    std::size_t randomIndex(std::size_t count);
    Duration randomDuration(Duration from, Duration to);

    EventLoop &m_loop;
    SoakStore &m_store;
    SoakOperator &m_operator;
    SoakTargets &m_targets;
    std::mt19937_64 &m_random;
    std::function<void(const std::string &)> m_logEvent;
    std::vector<StoreDisturbance> m_disturbances;
    std::vector<UnwatchedChange> m_unwatchedChanges;
};

} // namespace basildeck::soak
