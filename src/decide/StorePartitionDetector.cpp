#include "decide/StorePartitionDetector.h"

#include <algorithm>

namespace basildeck {

namespace {

// Added to heard ages for the time that a message was under way.
constexpr Duration transit = milliseconds(200);

Time momentOf(Duration age, Time now)
{
    if (age > now.time_since_epoch())
        return Time{};
    return now - age;
}

Duration ageOf(Time moment, Time now)
{
    return moment == Time{} ? Duration::max() : now - moment;
}

} // namespace

StorePartitionDetector::StorePartitionDetector(bool inStoreRegion, Time)
    : m_inStoreRegion(inStoreRegion)
{}

void StorePartitionDetector::noteReached(Time now)
{
    m_reached = std::max(m_reached, now);
}

void StorePartitionDetector::noteFailed(Time now)
{
    if (m_inStoreRegion)
        m_foundDown = std::max(m_foundDown, now);
}

void StorePartitionDetector::noteHeard(const StoreContactAges &ages, Time now)
{
    if (ages.reached < Duration::max() - transit)
        m_reached = std::max(m_reached, momentOf(ages.reached + transit, now));
    if (ages.foundDown < Duration::max() - transit)
        m_foundDown = std::max(m_foundDown, momentOf(ages.foundDown + transit, now));
}

StoreContactAges StorePartitionDetector::ages(Time now) const
{
    return { ageOf(m_reached, now), ageOf(m_foundDown, now) };
}

Time StorePartitionDetector::serveUntil() const
{
    return std::max(m_reached, m_foundDown) + bound;
}

bool StorePartitionDetector::cutOff(Time now) const
{
    return std::max(m_reached, m_foundDown) == Time{} || now > serveUntil();
}

} // namespace basildeck
