#include "edge/CallerConnection.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "caller";
// Limit on the output of a connection while memory is short.
constexpr std::size_t shortHighWaterBytes = TcpStream::highWaterBytes / 16;
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

CallerConnection::CallerConnection(CallerContext &context, int descriptor,
                                   std::function<void()> onClosed)
    : m_context(context)
    , m_stream(std::make_unique<TcpStream>(context.loop, descriptor, false))
    , m_parser(HttpParser::MessageType::Request, context.limits.maxHeaderBytes,
               { [this](MessageHead head) { handleHead(std::move(head)); },
                 [this](std::string_view bytes) { handleBody(bytes); }, [] {} })
    , m_onClosed(std::move(onClosed))
    , m_outputCharge(context.memory.charge(MemoryUse::CallerOutput))
    , m_connectedAt(context.loop.now())
    , m_lastInput(m_connectedAt)
    , m_idleSince(m_lastInput)
    , m_messageStart(m_lastInput)
{
    m_stream->setCallbacks({ {},
                             [this](std::string_view bytes) { handleData(bytes); },
                             [this](CloseReason) { closeNow(); },
                             [this] {
                                 countOutput();
                                 for (const PendingResponse &pending : m_pendingResponses)
                                     m_context.handler.callerOutputDrained(pending.request);
                             } });
}

// Must not access m_context: a closed connection may outlive its server, which owns the context.
CallerConnection::~CallerConnection() = default;

void CallerConnection::stopAcceptingRequests(Time now)
{
    if (m_isLingering || m_isClosed)
        return;
    // A caller that was not told of the close may send its next request after the response.
    const bool mayBeReused
            = m_pendingResponses.empty()
              || (m_pendingResponses.back().hasHead && !m_pendingResponses.back().closesConnection);
    if (mayBeReused) {
        m_closesWhenIdle = true;
        tick(now);
        return;
    }
    m_acceptsInput = false;
    m_input.clear();
    dropBody();
    m_pendingResponses.back().closesConnection = true;
}

void CallerConnection::handleData(std::string_view bytes)
{
    m_lastInput = m_idleSince = m_context.loop.now();
    if (!m_acceptsInput) {
        if (m_isLingering && !std::exchange(m_hasDiscardedInput, true))
            BASILDECK_INFO(logComponent)
                    << "input after the last response discarded bytes=" << bytes.size();
        return;
    }
    if (!m_parser.hasPartialMessage() && m_input.empty())
        m_messageStart = m_lastInput;
    m_input.append(bytes);
    parseInput();
}

void CallerConnection::parseInput()
{
    while (m_acceptsInput && (!m_input.empty() || m_parser.isComplete())
           && m_pendingResponses.size() < maxPending()) {
        // A complete request may have waited for memory.
        if (!m_parser.isComplete()) {
            const std::size_t consumed = m_parser.feed(m_input);
            m_input.erase(0, consumed);
        }
        if (!m_acceptsInput)
            return;
        if (m_parser.parseError() != HttpParser::ParseError::None) {
            refuseInput(m_parser.parseError() == HttpParser::ParseError::Malformed
                                ? ErrorKind::BadRequest
                                : ErrorKind::HeadTooLarge);
            return;
        }
        if (!m_parser.isComplete() || m_memoryWait)
            return;
        m_parser.reset();
        m_messageStart = m_lastInput;
        submitRequest();
    }
    updateReading();
}

std::size_t CallerConnection::maxPending() const
{
    return m_context.memory.isShort() ? 1 : maxPipelinedRequests;
}

void CallerConnection::countOutput()
{
    std::size_t bytes = m_stream->pendingOutput();
    for (const PendingResponse &pending : m_pendingResponses)
        bytes += pending.output.size();
    m_outputCharge.set(bytes);
}

void CallerConnection::updateReading()
{
    // Input beyond the pipelining limit, or for which there is no memory, stays in the kernel's
    // buffer.
    const bool mayRead = m_pendingResponses.size() < maxPending() && !m_memoryWait;
    m_stream->setReading(mayRead || !m_acceptsInput);
}

void CallerConnection::handleHead(MessageHead head)
{
    m_incoming = {};
    m_incomingBody.clear();
    m_bodyCharge = m_context.memory.charge(MemoryUse::RequestBody);
    m_incoming.receivedAt = m_lastInput;
    if (head.contentLength.value_or(0) > m_context.limits.maxBodyBytes) {
        refuseInput(ErrorKind::BodyTooLarge);
        return;
    }
    const std::string *expect = head.fields.find("expect");
    m_expectsContinue = expect != nullptr && head.hasBody && m_pendingResponses.empty();
    const auto bodySize = static_cast<std::size_t>(head.contentLength.value_or(0));
    m_incoming.head = std::move(head);
    if (bodySize > 0)
        requestMemory(bodySize);
    if (m_expectsContinue && !m_memoryWait)
        m_stream->write(continueResponse);
}

void CallerConnection::handleBody(std::string_view bytes)
{
    if (!m_acceptsInput)
        return;
    const std::size_t size = m_incomingBody.size() + bytes.size();
    if (size > m_context.limits.maxBodyBytes) {
        refuseInput(ErrorKind::BodyTooLarge);
        return;
    }
    // What has arrived with the head or before a pause is kept even without free memory.
    if (!m_memoryWait && size > m_bodyCharge.bytes())
        requestMemory(size);
    m_incomingBody.append(bytes);
}

void CallerConnection::requestMemory(std::size_t bytes)
{
    if (m_context.memory.admitsBody(m_bodyCharge, bytes)) {
        m_bodyCharge.set(bytes);
        // The pages of a reserved string take no memory before they are written, and one that grows
        // would exist twice while it is copied.
        m_incomingBody.reserve(bytes);
        return;
    }
    const MemoryBudget &memory = m_context.memory;
    BASILDECK_INFO(logComponent) << "body waits for memory bytes=" << bytes
                                 << " held=" << memory.held() << " budget=" << memory.limit();
    m_memoryWait = { m_context.memory.beginWait(bytes), bytes,
                     m_context.loop.now() + MemoryBudget::maxBodyWait };
    updateReading();
    if (++m_context.memoryWaits == 1 && m_context.onMemoryWait)
        m_context.onMemoryWait();
}

void CallerConnection::dropBody()
{
    endMemoryWait();
    m_incomingBody = {};
    m_bodyCharge.set(0);
}

void CallerConnection::endMemoryWait()
{
    if (!m_memoryWait)
        return;
    m_context.memory.endWait(m_memoryWait->id);
    m_memoryWait.reset();
    --m_context.memoryWaits;
}

void CallerConnection::checkMemoryWait(Time now)
{
    if (!m_memoryWait || m_isClosed)
        return;
    const std::size_t bytes = std::max(m_memoryWait->bytes, m_incomingBody.size());
    if (m_context.memory.admitsBody(m_bodyCharge, bytes, m_memoryWait->id)) {
        endMemoryWait();
        m_bodyCharge.set(bytes);
        m_incomingBody.reserve(bytes);
        if (std::exchange(m_expectsContinue, false))
            m_stream->write(continueResponse);
        parseInput();
        updateReading();
    } else if (now >= m_memoryWait->until) {
        const MemoryBudget &memory = m_context.memory;
        BASILDECK_INFO(logComponent) << "refused a body for lack of memory bytes=" << bytes
                                     << " held=" << memory.held() << " budget=" << memory.limit();
        m_context.memory.countRefusal();
        refuseInput(ErrorKind::QueueFull);
    }
}

CallerConnection::PendingResponse &CallerConnection::addPending()
{
    m_pendingResponses.push_back({});
    m_pendingResponses.back().id = m_nextId++;
    return m_pendingResponses.back();
}

void CallerConnection::submitRequest()
{
    PendingResponse &pending = addPending();
    const std::uint64_t id = pending.id;
    if (!m_incoming.head.keepAlive)
        m_acceptsInput = false;
    pending.closesConnection = !m_incoming.head.keepAlive;
    m_incoming.sink = makeSink(id);
    m_incoming.connectedAt = m_connectedAt;
    m_incoming.receivedAt = m_messageStart;
    m_incoming.body = { std::exchange(m_incomingBody, {}), std::move(m_bodyCharge) };
    const auto request = m_context.handler.submit(std::move(m_incoming));
    m_incoming = {};
    if (PendingResponse *open = findPending(id))
        open->request = request;
}

void CallerConnection::refuseInput(ErrorKind kind)
{
    m_acceptsInput = false;
    m_input.clear();
    dropBody();
    m_context.handler.refuseUnreadable(makeSink(addPending().id), kind);
}

ResponseSink CallerConnection::makeSink(std::uint64_t id)
{
    return { [this, id](const std::string &head) { writeResponseHead(id, head); },
             [this, id](std::string_view bytes) { writeResponseBody(id, bytes); },
             [this, id](bool closesConnection) { finishResponse(id, closesConnection); },
             [this](bool isDelimitedByClose) { abortResponse(isDelimitedByClose); },
             [this] {
                 const bool isShort = m_context.memory.isShort();
                 return m_stream->pendingOutput()
                        > (isShort ? shortHighWaterBytes : TcpStream::highWaterBytes);
             },
             [this, id] {
                 return !m_pendingResponses.empty() && m_pendingResponses.front().id == id;
             } };
}

CallerConnection::PendingResponse *CallerConnection::findPending(std::uint64_t id)
{
    const auto found = std::find_if(m_pendingResponses.begin(), m_pendingResponses.end(),
                                    [&](const PendingResponse &p) { return p.id == id; });
    return found == m_pendingResponses.end() ? nullptr : &*found;
}

void CallerConnection::writeResponseHead(std::uint64_t id, const std::string &head)
{
    PendingResponse *pending = findPending(id);
    if (pending == nullptr)
        return;
    // Only the last response may close the connection; the caller would have to repeat requests
    // that it sent after it.
    const bool isLast = pending == &m_pendingResponses.back() && m_input.empty();
    if (m_context.closeAfterResponse && isLast) {
        pending->closesConnection = true;
        m_acceptsInput = false;
    }
    pending->hasHead = true;
    pending->output += head;
    if (pending->closesConnection)
        pending->output += "Connection: close\r\n";
    pending->output += "\r\n";
}

void CallerConnection::writeResponseBody(std::uint64_t id, std::string_view bytes)
{
    PendingResponse *pending = findPending(id);
    if (pending == nullptr)
        return;
    pending->output.append(bytes);
    if (pending == &m_pendingResponses.front()
        && pending->output.size() > TcpStream::highWaterBytes / 4)
        flushResponses();
    else
        countOutput();
}

void CallerConnection::finishResponse(std::uint64_t id, bool closesConnection)
{
    PendingResponse *pending = findPending(id);
    if (pending == nullptr)
        return;
    pending->isDone = true;
    pending->closesConnection = pending->closesConnection || closesConnection || !m_acceptsInput;
    flushResponses();
}

void CallerConnection::flushResponses()
{
    bool hasNewNext = false;
    while (!m_pendingResponses.empty()) {
        PendingResponse &front = m_pendingResponses.front();
        m_stream->writeOwned(std::exchange(front.output, {}));
        countOutput();
        if (!front.isDone) {
            if (hasNewNext && front.request != 0)
                m_context.handler.responseIsNext(front.request);
            return;
        }
        hasNewNext = true;
        const bool ends = front.closesConnection;
        m_pendingResponses.pop_front();
        m_idleSince = m_context.loop.now();
        if (ends && (m_pendingResponses.empty() || m_acceptsInput)) {
            closeAfterOutput();
            return;
        }
    }
    if (!m_input.empty())
        m_context.loop.defer([this] {
            if (!m_isClosed)
                parseInput();
        });
    else
        updateReading();
}

void CallerConnection::abortResponse(bool isDelimitedByClose)
{
    if (isDelimitedByClose) {
        m_stream->reset();
        closeNow();
        return;
    }
    if (!m_pendingResponses.empty()) {
        m_stream->write(m_pendingResponses.front().output);
        m_pendingResponses.pop_front();
    }
    closeAfterOutput();
}

void CallerConnection::closeAfterOutput()
{
    m_acceptsInput = false;
    m_input.clear();
    dropBody();
    const auto pending = std::exchange(m_pendingResponses, {});
    for (const PendingResponse &response : pending) {
        if (response.request != 0 && !response.isDone)
            m_context.handler.callerDisconnected(response.request);
    }
    m_isLingering = true;
    m_lingerUntil = m_context.loop.now() + lingerTimeout;
    m_stream->setReading(true);
    m_stream->shutDownOutput();
}

void CallerConnection::closeNow()
{
    if (std::exchange(m_isClosed, true))
        return;
    m_acceptsInput = false;
    if (m_stream->pendingOutput() > 0)
        BASILDECK_INFO(logComponent)
                << "connection closed with unsent output bytes=" << m_stream->pendingOutput();
    dropBody();
    m_outputCharge.set(0);
    m_stream->close();
    const auto pending = std::exchange(m_pendingResponses, {});
    for (const PendingResponse &response : pending) {
        if (response.request != 0 && !response.isDone)
            m_context.handler.callerDisconnected(response.request);
    }
    m_onClosed();
}

void CallerConnection::tick(Time now)
{
    if (m_isClosed || m_memoryWait)
        return;
    countOutput();
    if (m_isLingering) {
        if (now >= m_lingerUntil && m_stream->pendingOutput() == 0)
            closeNow();
        return;
    }
    const CallerLimits &limits = m_context.limits;
    if (m_parser.hasPartialMessage() && !m_parser.isHeadComplete()) {
        if (now - m_messageStart > limits.headerTimeout && m_acceptsInput)
            refuseInput(ErrorKind::HeadTimeout);
        return;
    }
    // Closing earlier could discard a response that is still in transit to the caller.
    const bool closesSoon = m_closesWhenIdle && !m_parser.hasPartialMessage();
    const Duration idleTimeout
            = closesSoon ? lingerTimeout : std::max<Duration>(limits.idleTimeout, lingerTimeout);
    if (now - m_idleSince > idleTimeout && m_pendingResponses.empty()
        && m_stream->pendingOutput() == 0)
        closeNow();
}

} // namespace basildeck
