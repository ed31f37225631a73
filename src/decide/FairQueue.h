#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Requests that wait for a target of one service, served organisation by organisation.
//
// Deficit round robin (Shreedhar and Varghese 1995) with a cost of one for each request: each
// organisation in turn gets one request served, however many it has waiting.
class FairQueue
{
public:
    using RequestId = std::uint64_t;

    static constexpr std::size_t maxPerOrganisation = 256;

    // Adds a request. False if the queue of its organisation is full.
    bool push(RequestId id, const std::string &organisation, Time deadline);
    // The next request to serve.
    std::optional<RequestId> pop();
    // Puts a request back to the front of its organisation.
    void pushFront(RequestId id, const std::string &organisation, Time deadline);
    // Removes and returns the requests that would end after their deadline if they were served
    // after the given time.
    std::vector<RequestId> takeExpired(Time servedAt);
    void forget(RequestId id);

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }

private:
    struct Entry
    {
        RequestId id;
        Time deadline;
    };

    void activate(const std::string &organisation);

    std::map<std::string, std::deque<Entry>> m_queues;
    std::deque<std::string> m_turns; // organisations with waiting requests, next one first
    std::size_t m_size = 0;
};

} // namespace basildeck
