#include "edge/CallerConnection.h"

#include <algorithm>
#include <utility>

namespace basildeck {

CallerConnection::CallerConnection(CallerContext &context, int descriptor,
                                   std::function<void()> ended)
    : m_context(context)
    , m_stream(std::make_unique<TcpStream>(context.loop, descriptor, false))
    , m_parser(HttpParser::MessageType::Request, context.limits.maxHeaderBytes,
               { [this](MessageHead head) { takeHead(std::move(head)); },
                 [this](std::string_view bytes) { takeBody(bytes); }, [] {} })
    , m_ended(std::move(ended))
    , m_lastInput(context.loop.now())
    , m_idleSince(m_lastInput)
    , m_messageBegan(m_lastInput)
{
    m_stream->setCallbacks({ {},
                             [this](std::string_view bytes) { takeBytes(bytes); },
                             [this](CloseReason) { end(); },
                             [this] {
                                 for (const Pending &pending : m_pending)
                                     m_context.handler.callerOutputDrained(pending.request);
                             } });
}

// A connection that has ended may outlive its server, and with it the context.
CallerConnection::~CallerConnection() = default;

void CallerConnection::stopAcceptingRequests(Time now)
{
    if (m_lingers || m_hasEnded)
        return;
    m_takesInput = false;
    m_input.clear();
    if (m_pending.empty())
        endIdle(now);
    else
        m_pending.back().endsConnection = true;
}

void CallerConnection::takeBytes(std::string_view bytes)
{
    m_lastInput = m_idleSince = m_context.loop.now();
    if (!m_takesInput)
        return;
    if (!m_parser.hasPartialMessage() && m_input.empty())
        m_messageBegan = m_lastInput;
    m_input.append(bytes);
    parseInput();
}

void CallerConnection::parseInput()
{
    while (m_takesInput && !m_input.empty() && m_pending.size() < maxPipelinedRequests) {
        const std::size_t taken = m_parser.feed(m_input);
        m_input.erase(0, taken);
        if (!m_takesInput)
            return;
        if (m_parser.parseError() != HttpParser::ParseError::None) {
            refuseInput(m_parser.parseError() == HttpParser::ParseError::HeadTooLarge
                                ? ErrorKind::HeadTooLarge
                                : ErrorKind::BadRequest);
            return;
        }
        if (!m_parser.isComplete())
            return;
        m_parser.reset();
        m_messageBegan = m_lastInput;
        takeRequest();
    }
    // Input beyond the pipelined requests waits in the kernel.
    m_stream->setReading(m_pending.size() < maxPipelinedRequests || !m_takesInput);
}

void CallerConnection::takeHead(MessageHead head)
{
    m_reading = {};
    m_reading.received = m_lastInput;
    if (head.contentLength.value_or(0) > m_context.limits.maxBodyBytes) {
        refuseInput(ErrorKind::BodyTooLarge);
        return;
    }
    const std::string *expect = head.fields.find("expect");
    if (expect != nullptr && head.hasBody && m_pending.empty())
        m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    m_reading.head = std::move(head);
}

void CallerConnection::takeBody(std::string_view bytes)
{
    if (!m_takesInput)
        return;
    if (m_reading.body.size() + bytes.size() > m_context.limits.maxBodyBytes) {
        refuseInput(ErrorKind::BodyTooLarge);
        return;
    }
    if (m_context.bufferedBodyBytes + bytes.size() > m_context.maxBufferedBodyBytes) {
        refuseInput(ErrorKind::QueueFull);
        return;
    }
    m_context.bufferedBodyBytes += bytes.size();
    m_readingBody += bytes.size();
    m_reading.body.append(bytes);
}

CallerConnection::Pending &CallerConnection::addPending()
{
    m_pending.push_back({});
    m_pending.back().number = m_nextNumber++;
    return m_pending.back();
}

void CallerConnection::takeRequest()
{
    m_context.bufferedBodyBytes -= std::exchange(m_readingBody, 0);
    Pending &pending = addPending();
    const std::uint64_t number = pending.number;
    if (!m_reading.head.keepAlive)
        m_takesInput = false;
    pending.endsConnection = !m_reading.head.keepAlive;
    m_reading.sink = makeSink(number);
    m_reading.received = m_messageBegan;
    const auto request = m_context.handler.submit(std::move(m_reading));
    m_reading = {};
    if (Pending *open = find(number))
        open->request = request;
}

void CallerConnection::refuseInput(ErrorKind kind)
{
    m_takesInput = false;
    m_input.clear();
    m_context.handler.refuseIncomplete(makeSink(addPending().number), kind);
}

ResponseSink CallerConnection::makeSink(std::uint64_t number)
{
    return { [this, number](const std::string &head) { answerHead(number, head); },
             [this, number](std::string_view bytes) { answerBody(number, bytes); },
             [this, number](bool endsConnection) { answerDone(number, endsConnection); },
             [this] { cut(); },
             [this] { return m_stream->pendingOutput() > TcpStream::highWaterBytes; } };
}

CallerConnection::Pending *CallerConnection::find(std::uint64_t number)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(),
                                    [&](const Pending &p) { return p.number == number; });
    return found == m_pending.end() ? nullptr : &*found;
}

void CallerConnection::answerHead(std::uint64_t number, const std::string &head)
{
    Pending *pending = find(number);
    if (pending == nullptr)
        return;
    // Requests behind an answer that ends its connection would have to be sent again.
    const bool isLast = pending == &m_pending.back() && m_input.empty();
    if (m_context.closeAfterResponse && isLast)
        pending->endsConnection = true;
    pending->hasHead = true;
    pending->output += head;
    if (pending->endsConnection)
        pending->output += "Connection: close\r\n";
    pending->output += "\r\n";
}

void CallerConnection::answerBody(std::uint64_t number, std::string_view bytes)
{
    Pending *pending = find(number);
    if (pending == nullptr)
        return;
    pending->output.append(bytes);
    if (pending == &m_pending.front() && pending->output.size() > TcpStream::highWaterBytes / 4)
        flushAnswers();
}

void CallerConnection::answerDone(std::uint64_t number, bool endsConnection)
{
    Pending *pending = find(number);
    if (pending == nullptr)
        return;
    pending->isDone = true;
    pending->endsConnection = pending->endsConnection || endsConnection || !m_takesInput;
    flushAnswers();
}

void CallerConnection::flushAnswers()
{
    while (!m_pending.empty()) {
        Pending &front = m_pending.front();
        m_stream->write(std::exchange(front.output, {}));
        if (!front.isDone)
            return;
        const bool ends = front.endsConnection;
        m_pending.pop_front();
        m_idleSince = m_context.loop.now();
        if (ends && (m_pending.empty() || m_takesInput)) {
            endAfterOutput();
            return;
        }
    }
    if (!m_input.empty())
        m_context.loop.defer([this] {
            if (!m_hasEnded)
                parseInput();
        });
    else
        m_stream->setReading(true);
}

void CallerConnection::cut()
{
    // A reset, so that an answer that would end with its connection does not look complete.
    m_stream->reset();
    end();
}

void CallerConnection::endIdle(Time now)
{
    // Closing at once while an answer is on its way could take it from the caller.
    const bool isDelivered = now - m_idleSince > lingerTimeout;
    if (isDelivered && m_stream->pendingOutput() == 0)
        end();
    else
        endAfterOutput();
}

void CallerConnection::endAfterOutput()
{
    m_takesInput = false;
    m_input.clear();
    const auto pending = std::exchange(m_pending, {});
    for (const Pending &left : pending) {
        if (left.request != 0 && !left.isDone)
            m_context.handler.callerDisconnected(left.request);
    }
    m_lingers = true;
    m_lingerUntil = m_context.loop.now() + lingerTimeout;
    m_stream->setReading(true);
    m_stream->shutDownOutput();
}

void CallerConnection::end()
{
    if (std::exchange(m_hasEnded, true))
        return;
    m_takesInput = false;
    m_context.bufferedBodyBytes -= std::exchange(m_readingBody, 0);
    m_stream->close();
    const auto pending = std::exchange(m_pending, {});
    for (const Pending &left : pending) {
        if (left.request != 0 && !left.isDone)
            m_context.handler.callerDisconnected(left.request);
    }
    m_ended();
}

void CallerConnection::tick(Time now)
{
    if (m_hasEnded)
        return;
    if (m_lingers) {
        if (now >= m_lingerUntil && m_stream->pendingOutput() == 0)
            end();
        return;
    }
    const CallerLimits &limits = m_context.limits;
    if (m_parser.hasPartialMessage() && !m_parser.isHeadComplete()) {
        if (now - m_messageBegan > limits.headerTimeout && m_takesInput)
            refuseInput(ErrorKind::HeadTimeout);
        return;
    }
    if (now - m_idleSince <= limits.idleTimeout || !m_pending.empty()
        || m_stream->pendingOutput() > 0)
        return;
    if (m_parser.hasPartialMessage())
        end();
    else
        endIdle(now);
}

} // namespace basildeck
