#include "decide/TargetPool.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <tuple>
#include <utility>

namespace basildeck {

namespace {

constexpr double latencyWeight = 0.1; // weight of the newest observation
constexpr int maxEjectionDoublings = 5;

} // namespace

const TargetPool::State *TargetPool::find(const std::string &name) const
{
    const auto found = std::find_if(m_states.begin(), m_states.end(),
                                    [&](const State &state) { return state.spec.name == name; });
    return found == m_states.end() ? nullptr : &*found;
}

TargetPool::State *TargetPool::find(const std::string &name)
{
    return const_cast<State *>(std::as_const(*this).find(name));
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
    const auto steps = (now - state.firstSeen) / slowStartStep;
    return static_cast<int>(std::min<long>(state.spec.slots, 1 + steps));
}

int TargetPool::distance(const State &state) const
{
    if (state.spec.region != m_region)
        return 2;
    return state.spec.zone == m_zone ? 0 : 1;
}

std::optional<TargetPool::Choice> TargetPool::choose(const std::set<std::string> &without,
                                                     Time until, Time now) const
{
    const State *best = nullptr;
    auto bestRank = std::make_tuple(0, 0.0, 0.0);
    for (const State &state : m_states) {
        const int usable = usableSlots(state, now) - m_lender.lent(state.spec.name);
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
    if (best != nullptr)
        return Choice{ best->spec.name, 0 };
    const auto slot = m_borrower.choose(until, [&](const std::string &name) {
        const State *state = find(name);
        return state != nullptr && !state->spec.closed && state->ejectedUntil <= now
               && !without.contains(name);
    });
    if (!slot)
        return std::nullopt;
    return Choice{ slot->target, slot->id };
}

void TargetPool::started(const Choice &choice)
{
    if (choice.borrowed != 0) {
        m_borrower.started(choice.borrowed);
        return;
    }
    State *state = find(choice.target);
    assert(state != nullptr);
    ++state->inFlight;
}

std::optional<Time> TargetPool::usableUntil(const Choice &choice) const
{
    if (choice.borrowed == 0)
        return std::nullopt;
    return m_borrower.expires(choice.borrowed);
}

SlotGrant TargetPool::lend(const std::string &borrower, const SlotAsk &ask, bool ownWaiting,
                           Time now)
{
    m_lender.expire(now);
    SlotGrant grant{ ask.nonce, {} };
    if (ownWaiting || m_lender.answered(borrower, ask.nonce))
        return grant;
    // One slot of each target in turn, so that a borrower does not fill a single one.
    std::map<std::string, int> given;
    bool more = true;
    while (more && static_cast<int>(grant.targets.size()) < ask.wanted) {
        more = false;
        for (const State &state : m_states) {
            const std::string &name = state.spec.name;
            const int free
                    = usableSlots(state, now) - m_lender.lent(name) - state.inFlight - given[name];
            if (free <= 0 || static_cast<int>(grant.targets.size()) >= ask.wanted)
                continue;
            grant.targets.push_back(name);
            ++given[name];
            more = true;
        }
    }
    m_lender.lend(borrower, grant, now);
    return grant;
}

void TargetPool::takeBack(const std::string &borrower, const SlotReturn &back)
{
    m_lender.takeBack(borrower, back);
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

void TargetPool::finished(const Choice &choice, RunOutcome outcome, Duration took, Time now)
{
    if (choice.borrowed != 0)
        m_borrower.finished(choice.borrowed, now);
    State *state = find(choice.target);
    if (state == nullptr)
        return;
    if (choice.borrowed == 0) {
        assert(state->inFlight > 0);
        --state->inFlight;
    }
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
        if (state->failuresInRow < ejectionThreshold || !mayEject())
            return;
        const int doublings = std::min(state->ejections++, maxEjectionDoublings);
        state->ejectedUntil
                = now + std::min<Duration>(baseEjectionTime * (1 << doublings), maxEjectionTime);
        return;
    }
}

bool TargetPool::hasOpenTarget() const
{
    return std::any_of(m_states.begin(), m_states.end(),
                       [](const State &state) { return !state.spec.closed; });
}

bool TargetPool::isWithinSlots() const
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

std::vector<TargetPool::TargetStatus> TargetPool::targetStatuses(Time now) const
{
    std::vector<TargetStatus> list;
    for (const State &state : m_states)
        list.push_back({ state.spec.name, state.inFlight, state.spec.slots,
                         m_lender.lent(state.spec.name), state.spec.closed,
                         state.ejectedUntil > now });
    return list;
}

} // namespace basildeck
