#pragma once

#include <cstddef>
#include <vector>

namespace basildeck {

// Distributes a sequence of requests in proportion to weights, with the least deviation at every
// point of the sequence (smooth weighted round robin).
class WeightedRoundRobin
{
public:
    explicit WeightedRoundRobin(std::vector<double> weights)
        : m_weights(std::move(weights))
        , m_current(m_weights.size(), 0)
    {}

    // Returns the index of the weight that gets the next request. The weights must not be empty.
    std::size_t next()
    {
        std::size_t best = 0;
        double total = 0;
        for (std::size_t i = 0; i < m_weights.size(); ++i) {
            m_current[i] += m_weights[i];
            total += m_weights[i];
            if (m_current[i] > m_current[best])
                best = i;
        }
        m_current[best] -= total;
        return best;
    }

    const std::vector<double> &weights() const { return m_weights; }

private:
    std::vector<double> m_weights;
    std::vector<double> m_current;
};

} // namespace basildeck
