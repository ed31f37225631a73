// The part of Forwarder that ends the open requests when the process shuts down.

#include "edge/Forwarder.h"

namespace basildeck {

namespace {

constexpr Duration shutdownRetryAfter = milliseconds(300);

} // namespace

std::vector<Forwarder::RequestId> Forwarder::openRequestIds(bool streaming) const
{
    std::vector<RequestId> ids;
    for (const auto &[id, request] : m_requests) {
        if (request->response.isStreaming == streaming)
            ids.push_back(id);
    }
    return ids;
}

void Forwarder::endRequests()
{
    for (const RequestId id : openRequestIds(false)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        Request &request = *found->second;
        // It ends with the first attempt.
        if (request.isSecondAttempt())
            continue;
        cancelHedge(request, HedgeEnd::Leaving);
        request.mayHaveRun = request.mayHaveRun || request.isInFlight;
        endAttempt(request, true);
        refuse(request, request.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::Leaving,
               request.mayHaveRun ? Duration::zero() : shutdownRetryAfter);
    }
}

void Forwarder::truncateResponses()
{
    for (const RequestId id : openRequestIds(true)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        endAttempt(*found->second, true);
        truncateResponse(*found->second);
    }
}

} // namespace basildeck
