#include "decide/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace basildeck {

void FairQueue::activate(const std::string &organisation)
{
    if (std::find(m_turns.begin(), m_turns.end(), organisation) == m_turns.end())
        m_turns.push_back(organisation);
}

bool FairQueue::push(RequestId id, const std::string &organisation, Time deadline)
{
    auto &queue = m_queues[organisation];
    if (queue.size() >= maxPerOrganisation)
        return false;
    queue.push_back({ id, deadline });
    ++m_size;
    activate(organisation);
    return true;
}

void FairQueue::pushFront(RequestId id, const std::string &organisation, Time deadline)
{
    m_queues[organisation].push_front({ id, deadline });
    ++m_size;
    const auto turn = std::find(m_turns.begin(), m_turns.end(), organisation);
    if (turn != m_turns.end())
        m_turns.erase(turn);
    m_turns.push_front(organisation);
}

std::optional<FairQueue::RequestId> FairQueue::pop()
{
    if (m_turns.empty())
        return std::nullopt;
    const std::string organisation = std::move(m_turns.front());
    m_turns.pop_front();
    auto &queue = m_queues[organisation];
    assert(!queue.empty());
    const RequestId id = queue.front().id;
    queue.pop_front();
    --m_size;
    if (queue.empty())
        m_queues.erase(organisation);
    else
        m_turns.push_back(organisation);
    return id;
}

std::vector<FairQueue::RequestId> FairQueue::takeExpired(Time servedAt)
{
    std::vector<RequestId> expired;
    for (auto &[organisation, queue] : m_queues) {
        std::erase_if(queue, [&](const Entry &entry) {
            if (entry.deadline > servedAt)
                return false;
            expired.push_back(entry.id);
            return true;
        });
    }
    m_size -= expired.size();
    std::erase_if(m_turns, [&](const std::string &name) { return m_queues[name].empty(); });
    std::erase_if(m_queues, [](const auto &entry) { return entry.second.empty(); });
    return expired;
}

void FairQueue::forget(RequestId id)
{
    for (auto &[organisation, queue] : m_queues)
        m_size -= std::erase_if(queue, [&](const Entry &entry) { return entry.id == id; });
    std::erase_if(m_turns, [&](const std::string &name) { return m_queues[name].empty(); });
    std::erase_if(m_queues, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace basildeck
