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

// A fair queue of the requests that wait for a target of one service.
//
// Implements deficit round robin (Shreedhar and Varghese 1995) with a cost of one per request: each
// organisation in turn has one request served, however many it has waiting. Requests of
// organisations that exceed their rate are served after all others, except for an occasional one.
class FairQueue
{
public:
    using RequestId = std::uint64_t;

    enum class Band { InRate, Excess };

    // In-rate requests that are served for each excess request while both wait.
    static constexpr int inRatePerExcess = 16;

    static constexpr std::size_t maxPerOrganisation = 256;

    // Adds a request. Returns false if the queue of its organisation is full.
    bool push(RequestId id, const std::string &organisation, Time deadline,
              Band band = Band::InRate);
    // Removes and returns the next request to serve.
    std::optional<RequestId> pop();
    // Puts a request back at the front of its organisation's queue.
    void pushFront(RequestId id, const std::string &organisation, Time deadline);
    // Removes and returns the requests whose deadline is not after the given time, at which they
    // would be completed if they were served now.
    std::vector<RequestId> removeExpired(Time completedAt);
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
    struct BandQueue
    {
        std::map<std::string, std::deque<Entry>> queues;
        std::deque<std::string> order; // organisations with waiting requests, next one first
    };

    BandQueue &nextBand();
    static void removeEmptyQueues(BandQueue &bandQueue);

    std::array<BandQueue, 2> m_bands; // by band
    int m_consecutiveInRate = 0;
    std::size_t m_size = 0;
};

} // namespace basildeck
