#include "decide/StorePartitionDetector.h"

#include <algorithm>

namespace basildeck {

namespace {

// Added to received ages for the time that a message was in transit.
constexpr Duration transitTime = milliseconds(200);

Time timeOf(Duration age, Time now)
{
    if (age > now.time_since_epoch())
        return Time{};
    return now - age;
}

Duration ageOf(Time time, Time now)
{
    return time == Time{} ? Duration::max() : now - time;
}

} // namespace

StorePartitionDetector::StorePartitionDetector(bool inStoreRegion, Time)
    : m_inStoreRegion(inStoreRegion)
{}

void StorePartitionDetector::recordSuccess(Time now)
{
    m_lastSuccess = std::max(m_lastSuccess, now);
}

void StorePartitionDetector::recordFailure(Time now)
{
    if (m_inStoreRegion)
        m_lastRegionalFailure = std::max(m_lastRegionalFailure, now);
}

void StorePartitionDetector::mergePeerAges(const StoreContactAges &ages, Time now)
{
    if (ages.sinceSuccess < Duration::max() - transitTime)
        m_lastSuccess = std::max(m_lastSuccess, timeOf(ages.sinceSuccess + transitTime, now));
    if (ages.sinceRegionalFailure < Duration::max() - transitTime)
        m_lastRegionalFailure = std::max(m_lastRegionalFailure,
                                         timeOf(ages.sinceRegionalFailure + transitTime, now));
}

StoreContactAges StorePartitionDetector::ages(Time now) const
{
    return { ageOf(m_lastSuccess, now), ageOf(m_lastRegionalFailure, now) };
}

Time StorePartitionDetector::serveUntil() const
{
    return std::max(m_lastSuccess, m_lastRegionalFailure) + maxAge;
}

bool StorePartitionDetector::isPartitioned(Time now) const
{
    return std::max(m_lastSuccess, m_lastRegionalFailure) == Time{} || now > serveUntil();
}

} // namespace basildeck
