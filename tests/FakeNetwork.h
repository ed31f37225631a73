#pragma once

#include "basildeck/Time.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace basildeck::test {

// Delivers messages between named nodes in virtual time, with delays, loss, duplicates and network
// partitions.
template <typename Message>
class FakeNetwork
{
public:
    struct Delivery
    {
        std::string from;
        std::string to;
        Message message;
    };

    explicit FakeNetwork(unsigned seed)
        : m_random(seed)
    {}

    double lossProbability = 0;
    double duplicateProbability = 0; // of a second delivery
    Duration minDelay = milliseconds(1);
    Duration maxDelay = milliseconds(28);

    // Moves a node to the other side of a network partition. Nodes on the same side reach each
    // other.
    void partition(const std::string &node) { m_partitioned.insert(node); }
    void heal(const std::string &node) { m_partitioned.erase(node); }
    bool connected(const std::string &a, const std::string &b) const
    {
        return m_partitioned.contains(a) == m_partitioned.contains(b);
    }

    void send(const std::string &from, const std::string &to, const Message &message, Time now)
    {
        if (!connected(from, to) || chance(lossProbability))
            return;
        m_inTransit.emplace(now + delay(), Delivery{ from, to, message });
        if (chance(duplicateProbability))
            m_inTransit.emplace(now + delay() + milliseconds(50), Delivery{ from, to, message });
    }

    // Returns the messages that have arrived by now. Messages to a node that is not listening stay
    // in transit.
    template <typename Listening>
    std::vector<Delivery> arrived(Time now, Listening listening)
    {
        std::vector<Delivery> list;
        for (auto entry = m_inTransit.begin(); entry != m_inTransit.end() && entry->first <= now;) {
            if (!listening(entry->second.to)) {
                ++entry;
                continue;
            }
            list.push_back(std::move(entry->second));
            entry = m_inTransit.erase(entry);
        }
        return list;
    }

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    Duration delay()
    {
        return minDelay
               + Duration(m_random() % static_cast<unsigned>((maxDelay - minDelay).count() + 1));
    }

    std::mt19937 m_random;
    std::multimap<Time, Delivery> m_inTransit;
    std::set<std::string> m_partitioned;
};

} // namespace basildeck::test
