// The part of Forwarder that buffers and streams responses within the memory budget.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <array>
#include <cassert>
#include <cstdio>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
// Responses up to this size are buffered even if memory is short, so that short ones are not
// paused.
constexpr std::size_t shortResponseBytes = 16 * 1024;

} // namespace

void Forwarder::handleResponseBody(Request &request, std::string_view bytes)
{
    recordContact(request, false);
    if (request.response.isStreaming) {
        forwardBody(request, bytes);
        return;
    }
    if (!mayStream(request)) {
        holdUnstreamedBody(request, bytes);
        return;
    }
    request.response.body.append(bytes);
    // A response that has to wait for earlier ones can still be replaced if it is cut off.
    if (request.response.body.size() > maxBufferedResponseBytes && request.incoming.sink.isNext())
        startStreaming(request);
    else
        holdResponse(request);
}

void Forwarder::holdUnstreamedBody(Request &request, std::string_view bytes)
{
    TargetResponse &response = request.response;
    if (mayDeliver(request)) {
        response.body.append(bytes);
        chargeResponse(response);
    } else {
        response.droppedBytes += bytes.size();
    }
    const std::size_t limit = m_memory.isShort() ? shortResponseBytes : maxUnforwardedBodyBytes;
    if (response.body.size() > limit || response.droppedBytes > maxUnforwardedBodyBytes)
        handleExchangeFailure(request, ExchangeFailure::BodyTooLarge);
}

void Forwarder::chargeResponse(TargetResponse &response)
{
    if (response.charge.bytes() == 0)
        response.charge = m_memory.charge(MemoryUse::Response);
    response.charge.set(response.body.size());
}

void Forwarder::holdResponse(Request &request)
{
    TargetResponse &response = request.response;
    chargeResponse(response);
    const std::size_t freeBytes
            = m_memory.isShort() ? shortResponseBytes : maxBufferedResponseBytes;
    if (!request.isReadingPaused && response.body.size() > freeBytes
        && !m_memory.mayReadAhead(response.body.size()) && !request.incoming.sink.isNext())
        pauseUntilNext(request);
}

void Forwarder::pauseUntilNext(Request &request)
{
    request.isReadingPaused = true;
    request.connection->pauseReadingUntilClosed();
    m_memory.countPause(MemoryUse::Response);
    BASILDECK_INFO(logComponent) << "response paused until it is next request="
                                 << request.callerRequestId << " target=" << request.targetId
                                 << " bytes=" << request.response.body.size()
                                 << " held=" << m_memory.held() << " budget=" << m_memory.limit()
                                 << peerFields(request);
    TargetState *target = request.peer.empty() ? m_targets.find(request.targetId) : nullptr;
    if (target == nullptr)
        return;
    recordLoad(request, reportedLoad(request.response.head, m_names));
    recordRun(request, *target);
    // Not at once, because sending requests may end this one.
    m_loop.defer([this, id = request.targetId] {
        if (TargetState *freed = m_targets.find(id))
            sendQueued(*freed);
    });
}

void Forwarder::dispatchWhenNext(Request &request)
{
    request.response = {};
    if (request.incoming.sink.isNext())
        dispatch(request);
    else
        request.isDispatchedWhenNext = true;
}

void Forwarder::responseIsNext(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = *found->second;
    if (request.hedge.second != 0)
        responseIsNext(request.hedge.second);
    if (std::exchange(request.isDispatchedWhenNext, false)) {
        dispatch(request);
        return;
    }
    if (!request.response.isStreaming && request.response.body.size() > maxBufferedResponseBytes
        && mayStream(request))
        startStreaming(request);
    if (!request.isReadingPaused || !request.connection)
        return;
    request.isReadingPaused = request.incoming.sink.isCongested();
    request.connection->setReading(!request.isReadingPaused);
}

void Forwarder::startStreaming(Request &request)
{
    assert(request.isInFlight && request.connection);
    claimResponse(request);
    request.response.isStreaming = true;
    const auto length = request.response.head.contentLength;
    request.incoming.sink.head(serializeResponseHead(
            request, m_names, length ? std::optional<std::size_t>(*length) : std::nullopt));
    const std::string held = std::exchange(request.response.body, {});
    request.response.charge = {};
    forwardBody(request, held);
}

void Forwarder::forwardBody(Request &request, std::string_view bytes)
{
    const bool inChunks = !request.response.head.contentLength && !request.incoming.head.isHttp10;
    if (inChunks) {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        request.incoming.sink.body(std::string(size.data()).append(bytes).append("\r\n"));
    } else {
        request.incoming.sink.body(bytes);
    }
    if (!request.isReadingPaused && request.incoming.sink.isCongested()) {
        request.isReadingPaused = true;
        m_memory.countPause(MemoryUse::CallerOutput);
        request.connection->setReading(false);
    }
}

void Forwarder::callerOutputDrained(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && found->second->hedge.second != 0)
        callerOutputDrained(found->second->hedge.second);
    // A response that waits for earlier ones stays paused.
    if (found == m_requests.end() || !found->second->isReadingPaused
        || !found->second->incoming.sink.isNext())
        return;
    found->second->isReadingPaused = false;
    if (found->second->connection)
        found->second->connection->setReading(true);
}

} // namespace basildeck
