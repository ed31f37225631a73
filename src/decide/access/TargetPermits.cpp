#include "decide/access/TargetPermits.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace basildeck {

namespace {

std::uint32_t toMs(Duration duration)
{
    return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(duration).count()));
}

template <typename Count>
std::uint16_t bounded(Count count)
{
    constexpr Count limit = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp<Count>(count, 0, limit));
}

} // namespace

TargetPermits::TargetPermits(int slots, AccessCounters &counters)
    : m_slots(std::max(1, slots))
    , m_counters(counters)
{}

void TargetPermits::setSlots(int slots)
{
    m_slots = std::max(1, slots);
}

std::size_t TargetPermits::capacity(Time now) const
{
    if (!m_reportedAt)
        return static_cast<std::size_t>(std::max(1, m_slots / 2));
    const bool isRecent = now - *m_reportedAt <= reportLifetime;
    // One permit is always available, because the target's load is known from responses only.
    return static_cast<std::size_t>(
            std::max(1, isRecent ? m_slots - m_unpermitted + m_absent : m_slots));
}

bool TargetPermits::hasFreeSlot(Time now) const
{
    return m_held.size() < capacity(now) && now >= m_pausedUntil;
}

Duration TargetPermits::meanRun() const
{
    return m_runSeconds == 0 ? ConcurrencyLimiter::initialRunEstimate
                             : std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(m_runSeconds));
}

Duration TargetPermits::expectedStart(std::size_t ahead, Time now) const
{
    const auto perSlot = meanRun() / static_cast<std::int64_t>(capacity(now));
    return std::max<Duration>(perSlot * static_cast<std::int64_t>(ahead + 1), m_pausedUntil - now);
}

std::size_t TargetPermits::countOf(int priority, const std::string &organisation) const
{
    return static_cast<std::size_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &entry) {
                return entry.second.priority == priority
                       && entry.second.organisation == organisation;
            }));
}

std::size_t TargetPermits::countAhead(int priority, const std::string &organisation) const
{
    std::size_t ahead = 0;
    std::map<std::string, std::size_t> samePriority;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (waiting.priority < priority)
            ++ahead;
        else if (waiting.priority == priority)
            ++samePriority[waiting.organisation];
    }
    // Organisations take turns.
    const std::size_t own = samePriority[organisation];
    for (const auto &[name, count] : samePriority)
        ahead += name == organisation ? own : std::min(count, own + 1);
    return ahead;
}

std::optional<TargetPermits::Ticket> TargetPermits::findWaiting(const PermitId &id) const
{
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const auto &entry) { return entry.second.id == id; });
    return found == m_waiting.end() ? std::nullopt : std::optional(found->first);
}

PermitReply TargetPermits::makeReply(std::uint64_t number) const
{
    PermitReply reply;
    reply.number = number;
    reply.running = bounded(m_held.size() + static_cast<std::size_t>(m_unpermitted));
    reply.waiting = bounded(m_waiting.size());
    reply.speedPercent = bounded(m_speedPercent);
    return reply;
}

void TargetPermits::grant(const PermitId &id, Time expiresAt, Time now, PermitDecisions &decisions)
{
    m_held[id] = { now, expiresAt + expiryMargin };
    m_lastUsedAt = now;
    ++m_counters.granted;
    PermitReply reply = makeReply(id.number);
    reply.isGranted = true;
    decisions.push_back({ id.vm, reply });
}

// Each declined request is told a later time than the one before, by the time in which one slot
// frees, so that no two return together. When the times exceed the upper bound, they start again.
void TargetPermits::decline(const PermitId &id, std::size_t ahead, Time now,
                            PermitDecisions &decisions)
{
    const Duration earliest
            = std::clamp<Duration>(expectedStart(ahead, now), minRetryAfter, maxRetryAfter);
    const auto perSlot = meanRun() / static_cast<std::int64_t>(capacity(now));
    m_nextRetryAt = std::max(m_nextRetryAt + perSlot, now + earliest);
    if (m_nextRetryAt > now + maxRetryAfter)
        m_nextRetryAt = now + earliest;
    ++m_counters.declined;
    PermitReply reply = makeReply(id.number);
    reply.retryAfterMs = toMs(m_nextRetryAt - now);
    decisions.push_back({ id.vm, reply });
}

TargetPermits::Waiting TargetPermits::take(Ticket ticket)
{
    const auto found = m_waiting.find(ticket);
    Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    const auto queue = m_queues.find(waiting.priority);
    queue->second.remove(ticket);
    if (queue->second.empty())
        m_queues.erase(queue);
    return waiting;
}

// Gives way: a less urgent request, or one of an organisation that has more requests of the same
// priority in the queue. Of several, the newest one of the organisation with the most requests.
std::optional<TargetPermits::Ticket> TargetPermits::displacedBy(const PermitRequest &request) const
{
    if (m_queues.empty())
        return std::nullopt;
    const int lowest = m_queues.rbegin()->first;
    if (lowest < request.priority)
        return std::nullopt;
    std::map<std::string, std::size_t> counts;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (waiting.priority == lowest)
            ++counts[waiting.organisation];
    }
    const auto most = std::max_element(
            counts.begin(), counts.end(),
            [](const auto &first, const auto &second) { return first.second < second.second; });
    const std::size_t own = countOf(request.priority, request.organisation);
    if (lowest == request.priority && most->second <= own + 1)
        return std::nullopt;
    const auto newest = std::find_if(m_waiting.rbegin(), m_waiting.rend(), [&](const auto &entry) {
        return entry.second.priority == lowest && entry.second.organisation == most->first;
    });
    return newest->first;
}

void TargetPermits::declineOverdue(int priority, Time now, PermitDecisions &decisions)
{
    std::size_t ahead = 0;
    std::vector<std::pair<Ticket, std::size_t>> overdue;
    for (const auto &[ownPriority, queue] : m_queues) {
        if (ownPriority > priority) {
            // Even the first request of this priority starts only after all more urgent ones.
            for (const auto &[ticket, waiting] : m_waiting) {
                if (waiting.priority == ownPriority
                    && now + expectedStart(ahead, now) > waiting.startBy)
                    overdue.emplace_back(ticket, ahead);
            }
        }
        ahead += queue.size();
    }
    for (const auto &[ticket, aheadOf] : overdue) {
        ++m_counters.displaced;
        decline(take(ticket).id, aheadOf, now, decisions);
    }
}

void TargetPermits::request(const PermitRequest &request, Time now, PermitDecisions &decisions)
{
    tick(now, decisions);
    const PermitId id{ request.vm, request.number };
    if (m_held.contains(id)) {
        PermitReply reply = makeReply(id.number);
        reply.isGranted = true;
        decisions.push_back({ id.vm, reply });
        return;
    }
    if (findWaiting(id))
        return;
    m_lastUsedAt = now;
    const Time expiresAt = now + milliseconds(request.expiresInMs);
    if (m_runSeconds == 0)
        m_runSeconds = request.expectedRunMs / 1000.0;
    if (m_waiting.empty() && hasFreeSlot(now)) {
        grant(id, expiresAt, now, decisions);
        return;
    }
    const Duration mayWait = milliseconds(request.mayWaitMs);
    const std::size_t ahead = countAhead(request.priority, request.organisation);
    if (expectedStart(ahead, now) > mayWait) {
        decline(id, ahead, now, decisions);
        return;
    }
    if (m_waiting.size() >= waitingPerSlot * static_cast<std::size_t>(m_slots)) {
        const auto displaced = displacedBy(request);
        if (!displaced) {
            decline(id, ahead, now, decisions);
            return;
        }
        ++m_counters.displaced;
        decline(take(*displaced).id, m_waiting.size(), now, decisions);
    }
    const Ticket ticket = ++m_lastTicket;
    m_waiting[ticket]
            = { id, request.priority, request.organisation, now, now + mayWait, expiresAt };
    m_queues[request.priority].push(ticket, request.organisation, now + mayWait);
    declineOverdue(request.priority, now, decisions);
}

void TargetPermits::grantWaiting(Time now, PermitDecisions &decisions)
{
    while (!m_queues.empty() && hasFreeSlot(now)) {
        const auto queue = m_queues.begin();
        const auto ticket = queue->second.pop();
        if (!ticket) {
            m_queues.erase(queue);
            continue;
        }
        const Waiting next = take(*ticket);
        m_counters.queued += now - next.since;
        grant(next.id, next.expiresAt, now, decisions);
    }
}

// The report was made at the end of a run, which still counted.
void TargetPermits::recordLoad(const LoadReport &load, Time now)
{
    const std::int64_t atTarget
            = static_cast<std::int64_t>(load.running) + static_cast<std::int64_t>(load.waiting);
    const std::int64_t arrived
            = std::count_if(m_held.begin(), m_held.end(), [&](const auto &entry) {
                  return now - entry.second.grantedAt > arrivalTime;
              });
    m_unpermitted = bounded(atTarget - static_cast<std::int64_t>(m_held.size()));
    m_absent = bounded(arrived - atTarget);
    m_speedPercent = load.speedPercent.value_or(m_speedPercent);
    m_reportedAt = now;
}

void TargetPermits::release(const PermitRelease &release, Time now, PermitDecisions &decisions)
{
    const PermitId id{ release.vm, release.number };
    m_lastUsedAt = now;
    if (release.load)
        recordLoad(*release.load, now);
    if (release.ranForMs > 0) {
        const double seconds = release.ranForMs / 1000.0;
        m_runSeconds = m_runSeconds == 0 ? seconds
                                         : m_runSeconds
                                                   + ConcurrencyLimiter::smoothingFactor
                                                             * (seconds - m_runSeconds);
    }
    // The target is full of requests without a permit. One of them ends in about this time.
    if (release.isShed)
        m_pausedUntil = now + meanRun() / m_slots;
    if (m_held.erase(id) == 0) {
        if (const auto ticket = findWaiting(id))
            take(*ticket);
    }
    tick(now, decisions);
}

void TargetPermits::endPermitsOf(const std::string &vm, Time now, PermitDecisions &decisions)
{
    m_counters.expired
            += std::erase_if(m_held, [&](const auto &entry) { return entry.first.vm == vm; });
    std::vector<Ticket> tickets;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (waiting.id.vm == vm)
            tickets.push_back(ticket);
    }
    for (const Ticket ticket : tickets)
        take(ticket);
    tick(now, decisions);
}

void TargetPermits::tick(Time now, PermitDecisions &decisions)
{
    m_counters.expired += std::erase_if(
            m_held, [&](const auto &entry) { return entry.second.expiresAt <= now; });
    std::vector<Ticket> late;
    for (const auto &[ticket, waiting] : m_waiting) {
        if (waiting.startBy < now)
            late.push_back(ticket);
    }
    for (const Ticket ticket : late)
        decline(take(ticket).id, m_waiting.size(), now, decisions);
    grantWaiting(now, decisions);
}

} // namespace basildeck
