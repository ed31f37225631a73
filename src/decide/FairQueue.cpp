#include "decide/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace basildeck {

bool FairQueue::push(RequestId id, const std::string &organisation, Time deadline, Band band)
{
    Lane &lane = m_lanes.at(static_cast<std::size_t>(band));
    auto &queue = lane.queues[organisation];
    if (queue.size() >= maxPerOrganisation)
        return false;
    if (queue.empty())
        lane.turns.push_back(organisation);
    queue.push_back({ id, deadline });
    ++m_size;
    return true;
}

void FairQueue::pushFront(RequestId id, const std::string &organisation, Time deadline)
{
    Lane &lane = m_lanes.front();
    lane.queues[organisation].push_front({ id, deadline });
    ++m_size;
    const auto turn = std::find(lane.turns.begin(), lane.turns.end(), organisation);
    if (turn != lane.turns.end())
        lane.turns.erase(turn);
    lane.turns.push_front(organisation);
}

FairQueue::Lane &FairQueue::laneToServe()
{
    Lane &inRate = m_lanes.front();
    Lane &excess = m_lanes.back();
    const bool excessIsDue = !excess.turns.empty() && m_inRateInRow >= inRateForOneExcess;
    if (inRate.turns.empty() || excessIsDue) {
        m_inRateInRow = 0;
        return excess;
    }
    ++m_inRateInRow;
    return inRate;
}

std::optional<FairQueue::RequestId> FairQueue::pop()
{
    if (m_size == 0)
        return std::nullopt;
    Lane &lane = laneToServe();
    const std::string organisation = std::move(lane.turns.front());
    lane.turns.pop_front();
    auto &queue = lane.queues[organisation];
    assert(!queue.empty());
    const RequestId id = queue.front().id;
    queue.pop_front();
    --m_size;
    if (queue.empty())
        lane.queues.erase(organisation);
    else
        lane.turns.push_back(organisation);
    return id;
}

void FairQueue::dropEmpty(Lane &lane)
{
    std::erase_if(lane.turns, [&](const std::string &name) { return lane.queues[name].empty(); });
    std::erase_if(lane.queues, [](const auto &entry) { return entry.second.empty(); });
}

std::vector<FairQueue::RequestId> FairQueue::removeExpired(Time servedAt)
{
    std::vector<RequestId> expired;
    for (Lane &lane : m_lanes) {
        for (auto &[organisation, queue] : lane.queues) {
            std::erase_if(queue, [&](const Entry &entry) {
                if (entry.deadline > servedAt)
                    return false;
                expired.push_back(entry.id);
                return true;
            });
        }
        dropEmpty(lane);
    }
    m_size -= expired.size();
    return expired;
}

void FairQueue::remove(RequestId id)
{
    for (Lane &lane : m_lanes) {
        for (auto &[organisation, queue] : lane.queues)
            m_size -= std::erase_if(queue, [&](const Entry &entry) { return entry.id == id; });
        dropEmpty(lane);
    }
}

} // namespace basildeck
