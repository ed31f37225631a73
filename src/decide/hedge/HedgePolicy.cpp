#include "decide/hedge/HedgePolicy.h"

#include <algorithm>
#include <array>

namespace basildeck {

std::string_view hedgeDenialName(HedgeDenial denial)
{
    static constexpr std::array<std::string_view, 7> names
            = { "attempts", "suspect", "waiting", "no-room", "share", "no-target", "retry-budget" };
    return names.at(static_cast<std::size_t>(denial));
}

std::string_view hedgeEndName(HedgeEnd end)
{
    static constexpr std::array<std::string_view, 7> names
            = { "first-won", "second-won", "second-failed", "caller-left",
                "deadline",  "leaving",    "partitioned" };
    return names.at(static_cast<std::size_t>(end));
}

std::optional<std::size_t> chooseHedgeTarget(const std::vector<HedgeCandidate> &candidates,
                                             Duration untilDeadline)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const HedgeCandidate &candidate) {
                                        return candidate.hasRoom && !candidate.isCold
                                               && candidate.expectedRun < untilDeadline;
                                    });
    if (found == candidates.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - candidates.begin());
}

HedgePolicy::ServiceState &HedgePolicy::state(const std::string &service)
{
    ServiceState &known = m_services[service];
    known.share.setPercent(m_percent);
    // What 100 requests add. Slow runs come together, while a target is slow.
    known.share.setMaxBalance(std::max(1, m_percent));
    return known;
}

void HedgePolicy::recordRequest(const std::string &service)
{
    if (isEnabled())
        state(service).share.recordRequest();
}

void HedgePolicy::recordAnswer(const std::string &service, bool isQueueing)
{
    if (!isEnabled())
        return;
    double &share = state(service).queueingShare;
    share += smoothingFactor * ((isQueueing ? 1 : 0) - share);
}

void HedgePolicy::recordRejection(const std::string &service, Time now)
{
    if (isEnabled())
        state(service).rejectedAt = now;
}

std::optional<HedgeDenial> HedgePolicy::denial(const HedgeRequest &request, Time now) const
{
    if (request.sends >= request.maxSends)
        return HedgeDenial::Attempts;
    if (request.isSuspect)
        return HedgeDenial::Suspect;
    if (request.waitingHere > 0)
        return HedgeDenial::Waiting;
    const auto found = m_services.find(request.service);
    if (!isEnabled() || found == m_services.end() || !found->second.share.hasRetry())
        return HedgeDenial::Share;
    const ServiceState &service = found->second;
    if (service.queueingShare > maxQueueingShare
        || (service.rejectedAt && now - *service.rejectedAt < rejectionPause))
        return HedgeDenial::NoRoom;
    return std::nullopt;
}

bool HedgePolicy::takeShare(const std::string &service)
{
    return isEnabled() && state(service).share.tryWithdraw();
}

} // namespace basildeck
