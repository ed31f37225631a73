#include "decide/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace basildeck {

bool FairQueue::push(RequestId id, const std::string &organisation, Time deadline, Band band)
{
    BandQueue &bandQueue = m_bands.at(static_cast<std::size_t>(band));
    auto &queue = bandQueue.queues[organisation];
    if (queue.size() >= maxPerOrganisation)
        return false;
    if (queue.empty())
        bandQueue.order.push_back(organisation);
    queue.push_back({ id, deadline });
    ++m_size;
    return true;
}

void FairQueue::pushFront(RequestId id, const std::string &organisation, Time deadline)
{
    BandQueue &bandQueue = m_bands.front();
    bandQueue.queues[organisation].push_front({ id, deadline });
    ++m_size;
    const auto turn = std::find(bandQueue.order.begin(), bandQueue.order.end(), organisation);
    if (turn != bandQueue.order.end())
        bandQueue.order.erase(turn);
    bandQueue.order.push_front(organisation);
}

FairQueue::BandQueue &FairQueue::nextBand()
{
    BandQueue &inRate = m_bands.front();
    BandQueue &excess = m_bands.back();
    const bool excessIsDue = !excess.order.empty() && m_consecutiveInRate >= inRatePerExcess;
    if (inRate.order.empty() || excessIsDue) {
        m_consecutiveInRate = 0;
        return excess;
    }
    ++m_consecutiveInRate;
    return inRate;
}

std::optional<FairQueue::RequestId> FairQueue::pop()
{
    if (m_size == 0)
        return std::nullopt;
    BandQueue &bandQueue = nextBand();
    const std::string organisation = std::move(bandQueue.order.front());
    bandQueue.order.pop_front();
    auto &queue = bandQueue.queues[organisation];
    assert(!queue.empty());
    const RequestId id = queue.front().id;
    queue.pop_front();
    --m_size;
    if (queue.empty())
        bandQueue.queues.erase(organisation);
    else
        bandQueue.order.push_back(organisation);
    return id;
}

void FairQueue::removeEmptyQueues(BandQueue &bandQueue)
{
    std::erase_if(bandQueue.order,
                  [&](const std::string &name) { return bandQueue.queues[name].empty(); });
    std::erase_if(bandQueue.queues, [](const auto &entry) { return entry.second.empty(); });
}

std::vector<FairQueue::RequestId> FairQueue::removeExpired(Time completedAt)
{
    std::vector<RequestId> expired;
    for (BandQueue &bandQueue : m_bands) {
        for (auto &[organisation, queue] : bandQueue.queues) {
            std::erase_if(queue, [&](const Entry &entry) {
                if (entry.deadline > completedAt)
                    return false;
                expired.push_back(entry.id);
                return true;
            });
        }
        removeEmptyQueues(bandQueue);
    }
    m_size -= expired.size();
    return expired;
}

void FairQueue::remove(RequestId id)
{
    for (BandQueue &bandQueue : m_bands) {
        for (auto &[organisation, queue] : bandQueue.queues)
            m_size -= std::erase_if(queue, [&](const Entry &entry) { return entry.id == id; });
        removeEmptyQueues(bandQueue);
    }
}

} // namespace basildeck
