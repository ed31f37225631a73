#pragma once

#include "basildeck/Time.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace basildeck::test {

// Carries messages between named nodes in virtual time, with delay, loss, repeats and cuts.
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

    double loss = 0;
    double repeat = 0;
    Duration minDelay = milliseconds(1);
    Duration maxDelay = milliseconds(28);

    // Nodes that are cut reach each other but nobody else.
    void cut(const std::string &node) { m_cut.insert(node); }
    void heal(const std::string &node) { m_cut.erase(node); }
    bool connected(const std::string &a, const std::string &b) const
    {
        return m_cut.contains(a) == m_cut.contains(b);
    }

    void send(const std::string &from, const std::string &to, const Message &message, Time now)
    {
        if (!connected(from, to) || chance(loss))
            return;
        m_flying.emplace(now + delay(), Delivery{ from, to, message });
        if (chance(repeat))
            m_flying.emplace(now + delay() + milliseconds(50), Delivery{ from, to, message });
    }

    // Messages that have arrived by now. Those to a node that is not listening are kept.
    template <typename Listening>
    std::vector<Delivery> arrived(Time now, Listening listening)
    {
        std::vector<Delivery> list;
        for (auto entry = m_flying.begin(); entry != m_flying.end() && entry->first <= now;) {
            if (!listening(entry->second.to)) {
                ++entry;
                continue;
            }
            list.push_back(std::move(entry->second));
            entry = m_flying.erase(entry);
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
    std::multimap<Time, Delivery> m_flying;
    std::set<std::string> m_cut;
};

} // namespace basildeck::test
