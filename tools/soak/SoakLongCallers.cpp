#include "soak/SoakLongCallers.h"

#include <utility>

namespace basildeck::soak {

namespace {

constexpr std::size_t connectionsPerVm = 4;
constexpr std::size_t visitsPerShutdown = 8;
constexpr std::size_t maxUnansweredRequests = 4;
constexpr std::size_t maxHeadBytes = 16384;
constexpr std::size_t splitBodyBytes = 40000;
constexpr std::size_t longResponseBytes = 1000000;
constexpr Duration maxRunTime = seconds(5);
// A short run behind a longer one leaves its response waiting for the other.
constexpr Duration maxRunTimeBehindAnother = seconds(1);
constexpr Duration maxPipeliningInterval = milliseconds(800);
constexpr Duration minReadingPause = milliseconds(20);
constexpr Duration maxReadingPause = milliseconds(60);
constexpr Duration maxThinkTime = milliseconds(400);
constexpr Duration minReopenDelay = milliseconds(50);
constexpr Duration maxReopenDelay = milliseconds(300);
constexpr Duration maxBodyPause = milliseconds(2500);
// After SIGTERM: when visiting connections are opened and when their first requests are sent.
constexpr Duration visitsOpenUntil = milliseconds(2900);
constexpr Duration visitsSendFrom = milliseconds(2400);
constexpr Duration visitsSendUntil = milliseconds(3600);

} // namespace

SoakLongCallers::SoakLongCallers(EventLoop &loop, SoakVms &vms, std::uint64_t seed)
    : m_loop(loop)
    , m_vms(vms)
    , m_random(seed)
{}

void SoakLongCallers::start()
{
    for (std::size_t vm = 0; vm < m_vms.count(); ++vm) {
        for (std::size_t i = 0; i < connectionsPerVm; ++i)
            open(vm, true, randomDuration(Duration(0), maxThinkTime));
    }
}

void SoakLongCallers::visitLeavingVm(std::size_t vm)
{
    for (std::size_t i = 0; i < visitsPerShutdown; ++i) {
        const Duration openDelay = randomDuration(Duration(0), visitsOpenUntil);
        const Duration sendDelay = randomDuration(visitsSendFrom, visitsSendUntil);
        callLater(m_loop, openDelay, [this, vm, delay = sendDelay - openDelay] {
            open(vm, false, std::max(delay, Duration(0)));
        });
    }
}

Duration SoakLongCallers::randomDuration(Duration from, Duration to)
{
    return milliseconds(std::uniform_int_distribution<long>(from / milliseconds(1),
                                                            to / milliseconds(1))(m_random));
}

SoakLongCallers::Connection *SoakLongCallers::find(std::uint64_t connectionId)
{
    const auto found = m_connections.find(connectionId);
    return found == m_connections.end() ? nullptr : found->second.get();
}

void SoakLongCallers::open(std::size_t vm, bool isReopened, Duration firstRequestDelay)
{
    auto connection = std::make_unique<Connection>();
    connection->vm = vm;
    connection->process = m_vms.currentProcess(vm);
    connection->habit
            = static_cast<CallerHabit>(std::uniform_int_distribution<int>(0, 3)(m_random));
    connection->isReopened = isReopened;
    connection->stream = TcpStream::connect(m_loop, m_vms.callerAddress(vm));
    if (!connection->stream) {
        if (isReopened)
            callLater(m_loop, maxReopenDelay, [this, vm] { open(vm, true, Duration(0)); });
        return;
    }
    const std::uint64_t id = m_nextConnectionId++;
    connection->stream->setCallbacks(
            { {},
              [this, id](std::string_view bytes) { handleData(id, bytes); },
              [this, id](CloseReason) { close(id); },
              {} });
    connection->parser = std::make_unique<HttpParser>(
            HttpParser::MessageType::Response, maxHeadBytes,
            HttpParser::Callbacks{ [this, id](const MessageHead &head) { handleHead(id, head); },
                                   [raw = connection.get()](std::string_view bytes) {
                                       raw->responseBody.append(bytes);
                                   },
                                   [] {} });
    m_connections[id] = std::move(connection);
    scheduleRequest(id, firstRequestDelay);
}

void SoakLongCallers::scheduleRequest(std::uint64_t connectionId, Duration delay)
{
    Connection *connection = find(connectionId);
    if (connection == nullptr || std::exchange(connection->isRequestScheduled, true))
        return;
    callLater(m_loop, delay, [this, connectionId] {
        if (Connection *scheduled = find(connectionId)) {
            scheduled->isRequestScheduled = false;
            sendRequest(connectionId);
        }
    });
}

void SoakLongCallers::sendRequest(std::uint64_t connectionId)
{
    Connection *connection = find(connectionId);
    const std::size_t maxUnanswered
            = connection != nullptr && connection->habit == CallerHabit::Pipelining
                      ? maxUnansweredRequests
                      : 1;
    if (connection == nullptr || connection->isClosing
        || connection->unansweredIds.size() >= maxUnanswered)
        return;
    const CallerHabit habit = connection->habit;
    const bool isUnsafe = habit == CallerHabit::SplitBody
                          || (habit == CallerHabit::Plain
                              && std::uniform_int_distribution<int>(0, 1)(m_random) == 0);
    const bool hasLongResponse = habit == CallerHabit::SlowReading
                                 || (habit == CallerHabit::Pipelining
                                     && std::uniform_int_distribution<int>(0, 2)(m_random) == 0);
    const std::string id = "long-" + std::to_string(m_nextRequestNumber++);
    const Duration runTime = randomDuration(
            Duration(0), connection->unansweredIds.empty() ? maxRunTime : maxRunTimeBehindAnother);
    const std::string path = (isUnsafe ? "/upload/" : "/long/")
                             + std::to_string(runTime / milliseconds(1)) + "/"
                             + std::to_string(hasLongResponse ? longResponseBytes : 0);
    const std::string body(isUnsafe ? splitBodyBytes : 0, 'b');
    std::string text
            = (isUnsafe ? "POST " : "GET ") + path
              + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
              + "\r\nApi-Key: key-alpha\r\nExpected-Organisation: alpha\r\nDeadline-Ms: 9000\r\n";
    if (isUnsafe)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n" + body;
    const std::size_t firstPart
            = habit == CallerHabit::SplitBody ? text.size() - splitBodyBytes / 2 : text.size();
    LongRequestRecord &record = m_requests[id];
    record = { isUnsafe,
               habit,
               connection->vm,
               connection->process,
               connection->unansweredIds.empty() ? std::string() : connection->unansweredIds.back(),
               m_loop.now() };
    connection->unansweredIds.push_back(id);
    if (firstPart < text.size())
        callLater(m_loop, randomDuration(Duration(0), maxBodyPause),
                  [this, connectionId, id, rest = text.substr(firstPart)] {
                      sendSecondHalf(connectionId, id, rest);
                  });
    else
        record.lastByteAt = m_loop.now();
    connection->stream->write(std::string_view(text).substr(0, firstPart));
    if (habit == CallerHabit::Pipelining)
        scheduleRequest(connectionId, randomDuration(Duration(0), maxPipeliningInterval));
}

void SoakLongCallers::sendSecondHalf(std::uint64_t connectionId, const std::string &requestId,
                                     const std::string &bytes)
{
    Connection *connection = find(connectionId);
    if (connection == nullptr || connection->unansweredIds.empty()
        || connection->unansweredIds.back() != requestId)
        return;
    m_requests[requestId].lastByteAt = m_loop.now();
    connection->stream->write(bytes);
}

void SoakLongCallers::handleData(std::uint64_t connectionId, std::string_view bytes)
{
    while (!bytes.empty()) {
        Connection *connection = find(connectionId);
        if (connection == nullptr)
            return;
        if (connection->unansweredIds.empty()) {
            m_violations.push_back("bytes without a request from vm-"
                                   + std::to_string(connection->vm + 1));
            close(connectionId);
            return;
        }
        bytes.remove_prefix(connection->parser->feed(bytes));
        if (connection->parser->parseError() != HttpParser::ParseError::None) {
            m_violations.push_back(connection->unansweredIds.front()
                                   + " received a malformed response");
            close(connectionId);
            return;
        }
        if (!connection->parser->isComplete())
            break;
        connection->parser->reset();
        handleResponse(connectionId);
    }
    Connection *connection = find(connectionId);
    if (connection == nullptr || connection->habit != CallerHabit::SlowReading)
        return;
    connection->stream->setReading(false);
    callLater(m_loop, randomDuration(minReadingPause, maxReadingPause), [this, connectionId] {
        if (Connection *paused = find(connectionId))
            paused->stream->setReading(true);
    });
}

void SoakLongCallers::handleHead(std::uint64_t connectionId, const MessageHead &head)
{
    Connection &connection = *find(connectionId);
    const std::string *responseId = head.fields.find("Request-Id");
    connection.status = head.status;
    connection.isSealed = head.fields.find("Response-Seal") != nullptr;
    connection.isClosing = connection.isClosing || !head.keepAlive;
    if (connection.isSealed
        && (responseId == nullptr || *responseId != connection.unansweredIds.front()))
        m_violations.push_back(connection.unansweredIds.front()
                               + " received the response to another request");
}

void SoakLongCallers::handleResponse(std::uint64_t connectionId)
{
    Connection &connection = *find(connectionId);
    const std::string id = connection.unansweredIds.front();
    connection.unansweredIds.pop_front();
    LongRequestRecord &record = m_requests[id];
    record.endedAt = m_loop.now();
    record.status = connection.status;
    record.isSealed = connection.isSealed;
    if (record.status == 200 && !connection.responseBody.starts_with(id + " "))
        m_violations.push_back(id + " received a wrong body");
    connection.responseBody.clear();
    // With more requests unanswered, it is left to the VM to close the connection.
    if (connection.isClosing && !connection.unansweredIds.empty())
        return;
    if (connection.isClosing || !record.lastByteAt) {
        close(connectionId);
        return;
    }
    scheduleRequest(connectionId, randomDuration(Duration(0), maxThinkTime));
}

void SoakLongCallers::close(std::uint64_t connectionId)
{
    const auto found = m_connections.find(connectionId);
    if (found == m_connections.end())
        return;
    auto connection = std::move(found->second);
    m_connections.erase(found);
    for (const std::string &id : connection->unansweredIds)
        m_requests[id].endedAt = m_loop.now();
    if (connection->isReopened)
        callLater(m_loop, randomDuration(minReopenDelay, maxReopenDelay),
                  [this, vm = connection->vm] { open(vm, true, Duration(0)); });
    connection->stream->close();
    m_loop.deleteLater(std::move(connection));
}

} // namespace basildeck::soak
