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

void StorePartitionDetector::recordSuccess(Time now)
{
    m_reached = std::max(m_reached, now);
}

void StorePartitionDetector::recordFailure(Time now)
{
    if (m_inStoreRegion)
        m_foundDown = std::max(m_foundDown, now);
}

void StorePartitionDetector::mergePeerAges(const StoreContactAges &ages, Time now)
{
    if (ages.sinceSuccess < Duration::max() - transit)
        m_reached = std::max(m_reached, momentOf(ages.sinceSuccess + transit, now));
    if (ages.sinceRegionalFailure < Duration::max() - transit)
        m_foundDown = std::max(m_foundDown, momentOf(ages.sinceRegionalFailure + transit, now));
}

StoreContactAges StorePartitionDetector::ages(Time now) const
{
    return { ageOf(m_reached, now), ageOf(m_foundDown, now) };
}

Time StorePartitionDetector::serveUntil() const
{
    return std::max(m_reached, m_foundDown) + maxAge;
}

bool StorePartitionDetector::isPartitioned(Time now) const
{
    return std::max(m_reached, m_foundDown) == Time{} || now > serveUntil();
}

} // namespace basildeck
