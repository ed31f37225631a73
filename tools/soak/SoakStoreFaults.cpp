#include "soak/SoakStoreFaults.h"

#include "soak/SoakProbes.h"

#include <array>
#include <sstream>

namespace basildeck::soak {

namespace {

constexpr Duration minRestoreOutage = milliseconds(500);
constexpr Duration maxRestoreOutage = milliseconds(2500);
constexpr Duration minCopyAge = seconds(1);
constexpr Duration maxCopyAge = seconds(9);
constexpr Duration minRewriteDelay = seconds(1);
constexpr Duration maxRewriteDelay = seconds(2);
constexpr Duration minSilenceDelay = milliseconds(50);
constexpr Duration maxSilenceDelay = milliseconds(400);
constexpr Duration minSilence = milliseconds(300);
constexpr Duration maxSilence = milliseconds(6000);
constexpr Duration changeInterval = seconds(2);
constexpr Duration minLossDelay = milliseconds(400);
constexpr Duration maxLossDelay = milliseconds(2500);
// The time after the end of a silence within which VMs have to know the next configuration.
constexpr Duration silenceBound = milliseconds(6500);
// The platform's stable_window: VMs are in touch again that long after their watches were lost.
constexpr Duration stableWindow = seconds(4);
// A probe shows within a period, and is answered within another, that a configuration is in force.
constexpr Duration lostWatchBound = stableWindow + 2 * SoakProbes::interval;

} // namespace

SoakStoreFaults::SoakStoreFaults(EventLoop &loop, SoakStore &store, SoakOperator &fleetOperator,
                                 SoakTargets &targets, std::mt19937_64 &random,
                                 std::function<void(const std::string &)> logEvent)
    : m_loop(loop)
    , m_store(store)
    , m_operator(fleetOperator)
    , m_targets(targets)
    , m_random(random)
    , m_logEvent(std::move(logEvent))
{}

std::size_t SoakStoreFaults::randomIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

Duration SoakStoreFaults::randomDuration(Duration from, Duration to)
{
    return from + milliseconds(randomIndex((to - from) / milliseconds(1)));
}

void SoakStoreFaults::inject(Duration duration)
{
    static constexpr std::array<StoreMode, 3> modes
            = { StoreMode::Unavailable, StoreMode::Unresponsive, StoreMode::DropResponses };
    const std::size_t kind = randomIndex(modes.size() + 2);
    if (kind > modes.size()) {
        restore();
        return;
    }
    m_logEvent("store fault " + std::to_string(kind));
    m_disturbances.push_back({ m_loop.now(), m_loop.now() + duration });
    if (kind == modes.size()) {
        m_store.compactHistory();
        return;
    }
    m_store.setMode(modes.at(kind));
    callLater(m_loop, duration, [this] { clear(); });
}

Duration SoakStoreFaults::restore()
{
    const Duration outage = randomDuration(minRestoreOutage, maxRestoreOutage);
    const Duration age = randomDuration(minCopyAge, maxCopyAge);
    std::ostringstream event;
    event << "store away for " << toSeconds(outage) << " s, restored from a copy of "
          << toSeconds(age) << " s";
    m_logEvent(event.str());
    m_disturbances.push_back({ m_loop.now(), m_loop.now() + outage });
    m_store.setMode(StoreMode::Unavailable);
    m_store.cutWatches();
    callLater(m_loop, outage, [this, time = m_loop.now() - age] {
        m_store.restore(time);
        m_store.setMode(StoreMode::Normal);
        m_targets.writeAgain(minRewriteDelay, maxRewriteDelay);
    });
    callLater(m_loop, outage + randomDuration(minRewriteDelay, maxRewriteDelay),
              [this] { m_operator.writeAgain(); });
    return outage;
}

Duration SoakStoreFaults::fallSilentAfterChange()
{
    const Duration delay = randomDuration(minSilenceDelay, maxSilenceDelay);
    const Duration silence = randomDuration(minSilence, maxSilence);
    std::ostringstream event;
    event << "configuration is updated, store silent " << toSeconds(delay) << " s later for "
          << toSeconds(silence) << " s";
    m_logEvent(event.str());
    m_operator.updateConfig();
    m_disturbances.push_back({ m_loop.now() + delay, m_loop.now() + delay + silence });
    callLater(m_loop, delay, [this] { m_store.setMode(StoreMode::Unresponsive); });
    callLater(m_loop, delay + silence, [this] {
        clear();
        m_operator.updateConfig();
        m_unwatchedChanges.push_back(
                { m_loop.now(), m_operator.version(), silenceBound, "the store was silent" });
    });
    callLater(m_loop, delay + silence + changeInterval, [this] { m_operator.updateConfig(); });
    return delay + silence + silenceBound;
}

Duration SoakStoreFaults::loseWatches(const std::string &kind)
{
    const Duration delay = randomDuration(minLossDelay, maxLossDelay);
    std::ostringstream event;
    event << "store cuts off watches, and " << toSeconds(delay) << " s later loses those of "
          << (kind.empty() ? "all kinds" : kind);
    m_logEvent(event.str());
    m_disturbances.push_back({ m_loop.now(), m_loop.now() + delay });
    m_store.cutWatches();
    callLater(m_loop, delay, [this, kind] {
        m_store.loseWatches(kind);
        m_operator.updateConfig();
        m_targets.drainQuietly();
        m_unwatchedChanges.push_back({ m_loop.now(), m_operator.version(), lostWatchBound,
                                       "the store had lost watches" });
    });
    return delay + lostWatchBound;
}

} // namespace basildeck::soak
