#pragma once

#include "decide/placement/ObjectPlace.h"

#include <array>
#include <cstdint>
#include <string>

namespace basildeck {

// Counts how requests were placed whose targets are chosen by expected completion.
class PlacementCounters
{
public:
    // A run ended with a response.
    void countRun(ObjectPlace place) { ++m_runs.at(static_cast<std::size_t>(place)); }
    // A request was sent or queued without a prospect of meeting its objective.
    void countLate() { ++m_late; }
    // A request was refused because it could not complete before its deadline anywhere.
    void countRefused() { ++m_refused; }

    std::string metricsText() const
    {
        std::string text;
        for (std::size_t i = 0; i < m_runs.size(); ++i)
            text += "basildeck_placed_runs_total{object=\""
                    + std::string(objectPlaceName(static_cast<ObjectPlace>(i))) + "\"} "
                    + std::to_string(m_runs.at(i)) + "\n";
        return text + "basildeck_placed_late_total " + std::to_string(m_late) + "\n"
               + "basildeck_placed_refusals_total " + std::to_string(m_refused) + "\n";
    }

private:
    std::array<std::uint64_t, objectPlaceCount> m_runs{};
    std::uint64_t m_late = 0;
    std::uint64_t m_refused = 0;
};

} // namespace basildeck
