#include "decide/TargetPool.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace basildeck {

namespace {

constexpr double latencyWeight = 0.1; // weight of the newest observation
constexpr int maxEjectionDoublings = 5;

} // namespace

TargetPool::State *TargetPool::find(const std::string &name)
{
    const auto found = std::find_if(m_states.begin(), m_states.end(),
                                    [&](const State &state) { return state.spec.name == name; });
    return found == m_states.end() ? nullptr : &*found;
}

void TargetPool::setTargets(const std::vector<TargetSpec> &specs, Time now)
{
    std::vector<State> next;
    for (const TargetSpec &spec : specs) {
        const State *known = find(spec.name);
        State state = known == nullptr ? State{} : *known;
        if (known == nullptr) {
            state.firstSeen = now;
            state.ramped = !m_filled;
        }
        state.spec = spec;
        next.push_back(std::move(state));
    }
    // A removed target stays closed until its last request has ended.
    for (const State &state : m_states) {
        const bool stays = std::any_of(specs.begin(), specs.end(), [&](const TargetSpec &spec) {
            return spec.name == state.spec.name;
        });
        if (stays || state.inFlight == 0)
            continue;
        next.push_back(state);
        next.back().spec.closed = true;
        next.back().spec.slots = 0;
    }
    m_states = std::move(next);
    m_filled = true;
}

int TargetPool::usableSlots(const State &state, Time now) const
{
    if (state.spec.closed || state.ejectedUntil > now)
        return 0;
    if (state.ramped)
        return state.spec.slots;
    const auto steps = (now - state.firstSeen) / rampStep;
    return static_cast<int>(std::min<long>(state.spec.slots, 1 + steps));
}

int TargetPool::distance(const State &state) const
{
    if (state.spec.region != m_region)
        return 2;
    return state.spec.zone == m_zone ? 0 : 1;
}

std::optional<std::string> TargetPool::choose(const std::set<std::string> &without, Time now) const
{
    const State *best = nullptr;
    auto bestRank = std::make_tuple(0, 0.0, 0.0);
    for (const State &state : m_states) {
        const int usable = usableSlots(state, now);
        if (state.inFlight >= usable || without.contains(state.spec.name))
            continue;
        const bool farRegion = distance(state) == 2;
        const auto rank = std::make_tuple(farRegion ? 1 : 0,
                                          static_cast<double>(state.inFlight) / usable
                                                  + 0.1 * distance(state),
                                          state.latencySeconds);
        if (best == nullptr || rank < bestRank) {
            best = &state;
            bestRank = rank;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return best->spec.name;
}

void TargetPool::started(const std::string &name)
{
    State *state = find(name);
    assert(state != nullptr);
    ++state->inFlight;
}

// At most half of the open targets are set aside at a time.
bool TargetPool::mayEject() const
{
    std::size_t open = 0;
    std::size_t ejected = 0;
    for (const State &state : m_states) {
        open += state.spec.closed ? 0 : 1;
        ejected += state.ejectedUntil > Time{} && !state.spec.closed && state.failuresInRow > 0 ? 1
                                                                                                : 0;
    }
    return (ejected + 1) * 2 <= open;
}

void TargetPool::finished(const std::string &name, RunOutcome outcome, Duration took, Time now)
{
    State *state = find(name);
    if (state == nullptr)
        return;
    assert(state->inFlight > 0);
    --state->inFlight;
    switch (outcome) {
    case RunOutcome::Answered: {
        state->failuresInRow = 0;
        state->ejections = 0;
        state->ejectedUntil = Time{};
        const double duration = toSeconds(took);
        state->latencySeconds += latencyWeight * (duration - state->latencySeconds);
        const auto change
                = std::chrono::duration<double>(latencyWeight * (duration - toSeconds(m_typical)));
        m_typical += std::chrono::duration_cast<Duration>(change);
        return;
    }
    case RunOutcome::Shed:
    case RunOutcome::Cancelled:
        return;
    case RunOutcome::ConnectFailed:
    case RunOutcome::Lost:
        ++state->failuresInRow;
        if (state->failuresInRow < failuresToEject || !mayEject())
            return;
        const int doublings = std::min(state->ejections++, maxEjectionDoublings);
        state->ejectedUntil
                = now + std::min<Duration>(firstEjection * (1 << doublings), longestEjection);
        return;
    }
}

bool TargetPool::anyOpen() const
{
    return std::any_of(m_states.begin(), m_states.end(),
                       [](const State &state) { return !state.spec.closed; });
}

bool TargetPool::fitsSlots() const
{
    return std::all_of(m_states.begin(), m_states.end(),
                       [](const State &state) { return state.inFlight <= state.spec.slots; });
}

int TargetPool::inFlight() const
{
    int sum = 0;
    for (const State &state : m_states)
        sum += state.inFlight;
    return sum;
}

int TargetPool::slots() const
{
    int sum = 0;
    for (const State &state : m_states)
        sum += state.spec.closed ? 0 : state.spec.slots;
    return sum;
}

std::vector<TargetPool::View> TargetPool::views(Time now) const
{
    std::vector<View> list;
    for (const State &state : m_states)
        list.push_back({ state.spec.name, state.inFlight, state.spec.slots, state.spec.closed,
                         state.ejectedUntil > now });
    return list;
}

} // namespace basildeck
