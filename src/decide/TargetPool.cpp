#include "decide/TargetPool.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <tuple>
#include <utility>

namespace basildeck {

namespace {

constexpr double latencyWeight = 0.1; // weight of a new sample
constexpr int maxEjectionDoublings = 5;

} // namespace

const TargetPool::TargetRecord *TargetPool::find(const std::string &name) const
{
    const auto found
            = std::find_if(m_records.begin(), m_records.end(),
                           [&](const TargetRecord &record) { return record.spec.name == name; });
    return found == m_records.end() ? nullptr : &*found;
}

TargetPool::TargetRecord *TargetPool::find(const std::string &name)
{
    return const_cast<TargetRecord *>(std::as_const(*this).find(name));
}

void TargetPool::setTargets(const std::vector<TargetSpec> &specs, Time now)
{
    std::vector<TargetRecord> next;
    for (const TargetSpec &spec : specs) {
        const TargetRecord *known = find(spec.name);
        TargetRecord record = known == nullptr ? TargetRecord{} : *known;
        if (known == nullptr) {
            record.addedAt = now;
            record.slowStartDone = !m_isInitialized;
        }
        record.spec = spec;
        next.push_back(std::move(record));
    }
    // A removed target is kept as closed until its last request has ended.
    for (const TargetRecord &record : m_records) {
        const bool stays = std::any_of(specs.begin(), specs.end(), [&](const TargetSpec &spec) {
            return spec.name == record.spec.name;
        });
        if (stays || record.inFlight == 0)
            continue;
        next.push_back(record);
        next.back().spec.closed = true;
        next.back().spec.slots = 0;
    }
    m_records = std::move(next);
    m_isInitialized = true;
}

int TargetPool::usableSlots(const TargetRecord &record, Time now) const
{
    if (record.spec.closed || record.ejectedUntil > now)
        return 0;
    if (record.slowStartDone)
        return record.spec.slots;
    const auto steps = (now - record.addedAt) / slowStartStep;
    return static_cast<int>(std::min<long>(record.spec.slots, 1 + steps));
}

int TargetPool::distance(const TargetRecord &record) const
{
    if (record.spec.region != m_region)
        return 2;
    return record.spec.zone == m_zone ? 0 : 1;
}

std::optional<TargetPool::Choice> TargetPool::choose(const std::set<std::string> &excluded,
                                                     Time until, Time now) const
{
    const TargetRecord *best = nullptr;
    auto bestRank = std::make_tuple(0, 0.0, 0.0);
    for (const TargetRecord &record : m_records) {
        const int usable = usableSlots(record, now) - m_lender.lent(record.spec.name);
        if (record.inFlight >= usable || excluded.contains(record.spec.name))
            continue;
        const bool farRegion = distance(record) == 2;
        const auto rank = std::make_tuple(farRegion ? 1 : 0,
                                          static_cast<double>(record.inFlight) / usable
                                                  + 0.1 * distance(record),
                                          record.latencySeconds);
        if (best == nullptr || rank < bestRank) {
            best = &record;
            bestRank = rank;
        }
    }
    if (best != nullptr)
        return Choice{ best->spec.name, 0 };
    const auto slot = m_borrower.choose(until, [&](const std::string &name) {
        const TargetRecord *record = find(name);
        return record != nullptr && !record->spec.closed && record->ejectedUntil <= now
               && !excluded.contains(name);
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
    TargetRecord *record = find(choice.target);
    assert(record != nullptr);
    ++record->inFlight;
}

std::optional<Time> TargetPool::usableUntil(const Choice &choice) const
{
    if (choice.borrowed == 0)
        return std::nullopt;
    return m_borrower.expires(choice.borrowed);
}

SlotGrant TargetPool::lend(const std::string &borrower, const SlotRequest &slotRequest,
                           bool ownWaiting, Time now)
{
    m_lender.expire(now);
    SlotGrant grant{ slotRequest.nonce, {} };
    if (ownWaiting || m_lender.hasLoan(borrower, slotRequest.nonce))
        return grant;
    // Lends slots of the targets in turn, so that the borrower does not use up a single target.
    std::map<std::string, int> lentNow;
    bool more = true;
    while (more && static_cast<int>(grant.targets.size()) < slotRequest.wanted) {
        more = false;
        for (const TargetRecord &record : m_records) {
            const std::string &name = record.spec.name;
            const int free = usableSlots(record, now) - m_lender.lent(name) - record.inFlight
                             - lentNow[name];
            if (free <= 0 || static_cast<int>(grant.targets.size()) >= slotRequest.wanted)
                continue;
            grant.targets.push_back(name);
            ++lentNow[name];
            more = true;
        }
    }
    m_lender.lend(borrower, grant, now);
    return grant;
}

void TargetPool::acceptReturn(const std::string &borrower, const SlotReturn &slotReturn)
{
    m_lender.acceptReturn(borrower, slotReturn);
}

// At most half of the open targets may be ejected at a time.
bool TargetPool::mayEject() const
{
    std::size_t open = 0;
    std::size_t ejected = 0;
    for (const TargetRecord &record : m_records) {
        open += record.spec.closed ? 0 : 1;
        ejected += record.ejectedUntil > Time{} && !record.spec.closed
                                   && record.consecutiveFailures > 0
                           ? 1
                           : 0;
    }
    return (ejected + 1) * 2 <= open;
}

void TargetPool::finished(const Choice &choice, RunOutcome outcome, Duration took, Time now)
{
    if (choice.borrowed != 0)
        m_borrower.finished(choice.borrowed, now);
    TargetRecord *record = find(choice.target);
    if (record == nullptr)
        return;
    if (choice.borrowed == 0) {
        assert(record->inFlight > 0);
        --record->inFlight;
    }
    switch (outcome) {
    case RunOutcome::Answered: {
        record->consecutiveFailures = 0;
        record->ejections = 0;
        record->ejectedUntil = Time{};
        const double duration = toSeconds(took);
        record->latencySeconds += latencyWeight * (duration - record->latencySeconds);
        const auto change = std::chrono::duration<double>(
                latencyWeight * (duration - toSeconds(m_averageDuration)));
        m_averageDuration += std::chrono::duration_cast<Duration>(change);
        return;
    }
    case RunOutcome::Shed:
    case RunOutcome::Cancelled:
        return;
    case RunOutcome::ConnectFailed:
    case RunOutcome::Lost:
        ++record->consecutiveFailures;
        if (record->consecutiveFailures < ejectionThreshold || !mayEject())
            return;
        const int doublings = std::min(record->ejections++, maxEjectionDoublings);
        record->ejectedUntil
                = now + std::min<Duration>(baseEjectionTime * (1 << doublings), maxEjectionTime);
        return;
    }
}

bool TargetPool::hasOpenTarget() const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [](const TargetRecord &record) { return !record.spec.closed; });
}

bool TargetPool::isWithinSlots() const
{
    return std::all_of(m_records.begin(), m_records.end(), [](const TargetRecord &record) {
        return record.inFlight <= record.spec.slots;
    });
}

int TargetPool::inFlight() const
{
    int sum = 0;
    for (const TargetRecord &record : m_records)
        sum += record.inFlight;
    return sum;
}

int TargetPool::slots() const
{
    int sum = 0;
    for (const TargetRecord &record : m_records)
        sum += record.spec.closed ? 0 : record.spec.slots;
    return sum;
}

std::vector<TargetPool::TargetStatus> TargetPool::targetStatuses(Time now) const
{
    std::vector<TargetStatus> list;
    for (const TargetRecord &record : m_records)
        list.push_back({ record.spec.name, record.inFlight, record.spec.slots,
                         m_lender.lent(record.spec.name), record.spec.closed,
                         record.ejectedUntil > now });
    return list;
}

} // namespace basildeck
