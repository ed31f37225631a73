#pragma once

#include "basildeck/Time.h"
#include "decide/placement/ObjectPlace.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace basildeck {

// Expected run times by kind of request, region of the target and place of the object, over all
// targets that this VM uses, at a machine of the usual speed.
//
// A run at the target where the object is placed is usually warm and several times faster than one
// elsewhere. A common average of both would make the first look slow and the second fast. The
// estimate is a quantile, because the run times have two peaks, warm and cold: an average between
// them makes a target look fast enough at which many runs are cold and late.
class PlacedRunTimes
{
public:
    // Fraction by which a sample moves an estimate; the first samples move it by more.
    static constexpr double step = 0.03;
    static constexpr double initialStep = 0.3;
    // The share of the runs that end within the estimate. A request leaves the target where its
    // object is placed only for one at which it is likely to be in time.
    static constexpr double placedQuantile = 0.5;
    static constexpr double elsewhereQuantile = 0.8;
    // A run elsewhere is assumed to take this many times a run at the object's target as long as
    // none was seen lately. A target that handled an object recently needs 0.3 of the work.
    static constexpr double assumedColdFactor = 3;
    // Time constant with which an estimate for runs elsewhere gives way to that assumption. Without
    // it, an estimate from a busy period would prevent the runs that correct it.
    static constexpr Duration elsewhereMemory = seconds(10);
    // A run that takes this many times a run elsewhere shows that its target is slow.
    static constexpr int slowRunFactor = 5;

    // Records a run whose duration was divided by the speed factor of its target.
    void record(const std::string &kind, ObjectPlace place, const std::string &region, Duration run,
                Time now);
    // Returns zero if no run of the kind has ended yet.
    Duration typicalRun(const std::string &kind, ObjectPlace place, std::string_view region,
                        Time now) const;
    // A longer run, divided in the same way, shows that its target is slow, wherever the object is
    // placed. The maximum as long as few runs of the kind have ended: with thresholds from single
    // samples, VMs that had just started ejected targets that were busy.
    Duration slowRun(const std::string &kind, std::string_view region, Time now) const;

private:
    struct Estimate
    {
        double seconds = 0;
        int samples = 0; // counted until their step is the usual one
        Time updatedAt{};
    };
    using ByRegion = std::map<std::string, Estimate, std::less<>>;
    using ByPlace = std::array<ByRegion, objectPlaceCount>;

    // The estimate for a region, or for the slowest known region; null if there is none.
    static const Estimate *find(const ByRegion &regions, std::string_view region);

    std::map<std::string, ByPlace> m_estimates; // by kind
};

} // namespace basildeck
