#pragma once

#include "basildeck/Time.h"

#include <array>
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
// organisation in turn gets one request served, however many it has waiting. Requests of
// organisations that exceed their rate wait behind all others, but for one in a while.
class FairQueue
{
public:
    using RequestId = std::uint64_t;

    enum class Band { InRate, Excess };

    // Requests in rate that are served for each one in excess while both wait.
    static constexpr int inRateForOneExcess = 16;

    static constexpr std::size_t maxPerOrganisation = 256;

    // Adds a request. False if the queue of its organisation is full.
    bool push(RequestId id, const std::string &organisation, Time deadline,
              Band band = Band::InRate);
    // The next request to serve.
    std::optional<RequestId> pop();
    // Puts a request back to the front of its organisation.
    void pushFront(RequestId id, const std::string &organisation, Time deadline);
    // Removes and returns the requests that would end after their deadline if they were served
    // after the given time.
    std::vector<RequestId> removeExpired(Time servedAt);
    void remove(RequestId id);

    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }

private:
    struct Entry
    {
        RequestId id;
        Time deadline;
    };

    // The waiting requests of one band.
    struct Lane
    {
        std::map<std::string, std::deque<Entry>> queues;
        std::deque<std::string> turns; // organisations with waiting requests, next one first
    };

    Lane &laneToServe();
    static void dropEmpty(Lane &lane);

    std::array<Lane, 2> m_lanes; // by band
    int m_inRateInRow = 0;
    std::size_t m_size = 0;
};

} // namespace basildeck
