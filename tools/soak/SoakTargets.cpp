#include "soak/SoakTargets.h"

#include <algorithm>
#include <array>

namespace basildeck::soak {

using nlohmann::json;

namespace {

constexpr int usualSlots = 4;
constexpr std::size_t limitedTargetPeriod = 4;
constexpr int longServiceSlots = 40;
constexpr int queueSize = 8;
constexpr Duration baseServiceTime = milliseconds(20);
constexpr int slowFactor = 15;
// How long a draining target stays registered.
constexpr Duration drainDuration = milliseconds(2500);
// How long a target that only says that it is leaving stays registered as ready.
constexpr Duration unregisteredLeaveDuration = seconds(7);
// One in this many requests is answered with 503 and Retry-After.
constexpr int usualHoldOffPeriod = 150;
constexpr int faultyHoldOffPeriod = 3;
constexpr Duration checkInInterval = seconds(1);
constexpr std::size_t endlessPartBytes = 64 * 1024;
constexpr Duration endlessPartInterval = milliseconds(1);

std::string field(const IncomingRequest &request, std::string_view name)
{
    const std::string *value = request.head.fields.find(name);
    return value == nullptr ? std::string() : *value;
}

// The number after the slash that follows the prefix of a path, or after the one behind that.
long pathNumber(const std::string &path, int index)
{
    std::size_t start = path.find('/', 1);
    for (; index > 0 && start != std::string::npos; --index)
        start = path.find('/', start + 1);
    return start == std::string::npos ? 0 : std::strtol(path.c_str() + start + 1, nullptr, 10);
}

void sendResponse(const ResponseSink &sink, const std::string &head, const std::string &body)
{
    sink.head(head + "Content-Length: " + std::to_string(body.size()) + "\r\n");
    sink.body(body);
    sink.finish(false);
}

// The targets of the usual services report how long work takes on their machines, another figure
// each time, so that VMs place by completion and ask for permits there. The others do not.
std::string speedFigure(const std::string &service)
{
    if (service == SoakTargets::longService)
        return {};
    static constexpr std::array<const char *, 5> figures = { ",100", ",250", ",100", ",x", "" };
    static std::size_t count = 0;
    return figures[count++ % figures.size()];
}

} // namespace

SoakTargets::SoakTargets(EventLoop &loop, SoakStore &store, std::mt19937_64 &random)
    : m_loop(loop)
    , m_store(store)
    , m_random(random)
{}

bool SoakTargets::add(const std::string &id, const std::string &service, const std::string &zone,
                      const Address &listenAddress, const Address &proxyAddress)
{
    auto target = std::make_unique<Target>();
    target->id = id;
    target->service = service;
    target->slots = service == longService ? longServiceSlots : usualSlots;
    target->namesLimit = service != longService && ++m_usualTargetCount % limitedTargetPeriod == 0;
    target->zone = zone;
    target->proxyAddress = proxyAddress;
    Target *raw = target.get();
    auto server = EdgeServer::make(
            m_loop, listenAddress,
            { [this, raw](const IncomingRequest &request) { return handleRequest(*raw, request); },
              [](const ResponseSink &sink, ErrorKind) {
                  sendResponse(sink, "HTTP/1.1 400 X\r\n", "");
              },
              [this](std::uint64_t exchangeId) { handleDisconnect(exchangeId); },
              [](std::uint64_t) {} },
            m_memory);
    target->proxy = FaultProxy::make(m_loop, proxyAddress, listenAddress);
    if (!server || !target->proxy)
        return false;
    target->server = std::move(server.value());
    target->startedAtUnixMs = std::chrono::duration_cast<milliseconds>(
                                      std::chrono::system_clock::now().time_since_epoch())
                                      .count();
    m_targets[id] = std::move(target);
    checkIn(id);
    return true;
}

void SoakTargets::checkIn(const std::string &id)
{
    Target &target = *m_targets.at(id);
    if (!target.isRegistered)
        return;
    if (m_isCheckingIn) {
        ++target.sequence;
        writeRegistration(target);
    }
    callLater(m_loop, checkInInterval, [this, id] { checkIn(id); });
}

void SoakTargets::writeAgain(Duration from, Duration to)
{
    for (const auto &[id, target] : m_targets) {
        const long delay = std::uniform_int_distribution<long>(from / milliseconds(1),
                                                               to / milliseconds(1))(m_random);
        callLater(m_loop, milliseconds(delay), [this, raw = target.get()] {
            if (raw->drainingSince)
                raw->drainingSince = m_loop.now();
            if (raw->isRegistered)
                writeRegistration(*raw);
            else
                m_store.remove("servers", raw->id);
        });
    }
}

void SoakTargets::writeRegistration(Target &target)
{
    m_store.put("servers", target.id,
                { { "service", target.service },
                  { "address", target.proxyAddress.toString() },
                  { "zone", target.zone },
                  { "version", "v1" },
                  { "slots", target.slots },
                  { "state", target.drainingSince ? "draining" : "ready" },
                  { "cold_remaining", "0ms" },
                  { "seq", target.sequence },
                  { "born", target.startedAtUnixMs } });
}

void SoakTargets::setMode(const std::string &id, TargetMode mode)
{
    m_targets.at(id)->mode = mode;
}

void SoakTargets::setProxyMode(const std::string &id, ProxyMode mode)
{
    Target &target = *m_targets.at(id);
    target.linkDisturbances.push_back(m_loop.now());
    target.proxy->setMode(mode);
}

void SoakTargets::drain(const std::string &id)
{
    Target &target = *m_targets.at(id);
    if (target.drainingSince || target.saysLeaving)
        return;
    // In turn: only says so, only registers as draining, both.
    constexpr int manners = 3;
    const int manner = m_leaveCount++ % manners;
    leave(target, manner != 0, manner != 1);
}

void SoakTargets::drainQuietly()
{
    for (const std::string &id : ids()) {
        Target &target = *m_targets.at(id);
        if (target.drainingSince || target.saysLeaving)
            continue;
        leave(target, true, false);
        return;
    }
}

void SoakTargets::leave(Target &target, bool isRegistered, bool isSaid)
{
    target.saysLeaving = isSaid;
    if (isRegistered) {
        target.drainingSince = m_loop.now();
        writeRegistration(target);
    }
    callLater(m_loop, isRegistered ? drainDuration : unregisteredLeaveDuration, [this, &target] {
        target.isRegistered = false;
        m_store.remove("servers", target.id);
    });
}

std::vector<std::string> SoakTargets::ids() const
{
    std::vector<std::string> result;
    for (const auto &[id, target] : m_targets) {
        if (target->service != longService)
            result.push_back(id);
    }
    return result;
}

bool SoakTargets::wasLinkDisturbed(const std::string &id, Time from, Time to) const
{
    const std::vector<Time> &times = m_targets.at(id)->linkDisturbances;
    return std::any_of(times.begin(), times.end(),
                       [&](Time time) { return time >= from && time <= to; });
}

std::string SoakTargets::noticeFields(Target &target, const std::string &requestId)
{
    std::string fields;
    if (target.saysLeaving) {
        m_notices.push_back({ target.id, requestId, m_loop.now(), Duration::zero() });
        fields += "Server-Leaving: 1\r\n";
    }
    if (target.namesLimit) {
        m_limitedSince.try_emplace(target.id, m_loop.now());
        fields += "Server-Limit: " + std::to_string(limitPerSecond) + "\r\n";
    }
    return fields;
}

bool SoakTargets::turnAway(Target &target, const IncomingRequest &request, const std::string &id)
{
    static constexpr std::array<std::pair<const char *, Duration>, 3> holdOffs = {
        { { "0.8", milliseconds(800) }, { "1.5", milliseconds(1500) }, { "3", seconds(3) } }
    };
    const int holdOffPeriod
            = target.mode == TargetMode::AskForHoldOff ? faultyHoldOffPeriod : usualHoldOffPeriod;
    const bool asksForHoldOff
            = target.service != longService
              && std::uniform_int_distribution<int>(1, holdOffPeriod)(m_random) == 1;
    const bool isFull = target.runningRequests >= target.slots + queueSize;
    if (target.mode != TargetMode::RejectAll && !asksForHoldOff && !isFull)
        return false;
    std::string head = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: " + id + "\r\n"
                       + noticeFields(target, id);
    if (asksForHoldOff) {
        const auto &[text, duration] = holdOffs.at(m_random() % holdOffs.size());
        m_notices.push_back({ target.id, id, m_loop.now(), duration });
        head += std::string("Retry-After: ") + text + "\r\n";
    }
    sendResponse(request.sink, head, "");
    return true;
}

void SoakTargets::checkRequest(const IncomingRequest &request)
{
    for (const auto &[name, value] : request.head.fields.all()) {
        if (equalsIgnoreCase(name, "Api-Key") || value.find("key-") != std::string::npos)
            m_violations.push_back("a target received a caller's API key in the field " + name);
    }
    const std::string expected = field(request, "Expected-Organisation");
    if (field(request, "Tenant") != expected)
        m_violations.push_back("request of " + expected + " was executed for "
                               + field(request, "Tenant"));
}

std::uint64_t SoakTargets::handleRequest(Target &target, const IncomingRequest &request)
{
    const std::uint64_t exchangeId = m_nextExchangeId++;
    const std::string id = field(request, "Request-Id");
    const std::string head = "Request-Id: " + id + "\r\n";
    if (field(request, "Target-Instance") != target.id) {
        sendResponse(request.sink, "HTTP/1.1 421 X\r\n" + head, "");
        return exchangeId;
    }
    checkRequest(request);
    if (target.drainingSince)
        m_drainingArrivals.push_back({ id, m_loop.now() - *target.drainingSince, m_loop.now() });
    target.arrivals.push_back({ id, m_loop.now() });
    if (turnAway(target, request, id))
        return exchangeId;
    ExecutionRecord &record = m_executions[id];
    if (record.executionCount++ == 0)
        record.firstStart = m_loop.now();
    record.lastStart = m_loop.now();
    record.lastEnd.reset();
    record.lastCompleted = false;
    record.organisation = field(request, "Tenant");
    ++target.runningRequests;
    m_runs[exchangeId] = id;
    const Duration serviceTime
            = target.service == longService
                      ? milliseconds(pathNumber(request.head.request.target, 0))
                      : baseServiceTime * (target.mode == TargetMode::Slow ? slowFactor : 1);
    callLater(m_loop, serviceTime, [this, &target, request, id, exchangeId] {
        --target.runningRequests;
        if (m_runs.erase(exchangeId) == 0)
            return;
        ExecutionRecord &ended = m_executions[id];
        ended.lastEnd = m_loop.now();
        ended.lastCompleted = true;
        completeRequest(target, request, id, exchangeId);
    });
    return exchangeId;
}

void SoakTargets::sendEndless(std::uint64_t exchangeId, const ResponseSink &sink,
                              const EndlessResponse &response, std::size_t sentBytes)
{
    if (!m_endlessExchanges.contains(exchangeId))
        return;
    if (sentBytes > EndlessResponse::maxBytes) {
        m_endlessExchanges.erase(exchangeId);
        sink.abort(true);
        return;
    }
    std::string part;
    while (!sink.isCongested() && part.size() < endlessPartBytes)
        part += response.repeated;
    sink.body(part);
    sentBytes += part.size();
    callLater(m_loop, endlessPartInterval, [this, exchangeId, sink, response, sentBytes] {
        sendEndless(exchangeId, sink, response, sentBytes);
    });
}

void SoakTargets::handleDisconnect(std::uint64_t exchangeId)
{
    m_endlessExchanges.erase(exchangeId);
    const auto run = m_runs.find(exchangeId);
    if (run == m_runs.end())
        return;
    m_executions[run->second].lastEnd = m_loop.now();
    m_runs.erase(run);
}

void SoakTargets::completeRequest(Target &target, const IncomingRequest &request,
                                  const std::string &id, std::uint64_t exchangeId)
{
    const ResponseSink &sink = request.sink;
    const bool injectsFault = std::uniform_int_distribution<int>(0, 2)(m_random) == 0;
    const TargetMode mode = injectsFault ? target.mode : TargetMode::Healthy;
    std::string body = id + " " + request.head.request.target + " " + request.body.text();
    if (target.service == longService)
        body.append(static_cast<std::size_t>(pathNumber(request.head.request.target, 1)), 'r');
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: s-" + id
                             + "\r\nServer-Load: " + std::to_string(target.runningRequests) + ",0,"
                             + std::to_string(target.slots) + speedFigure(target.service) + "\r\n"
                             + noticeFields(target, id);
    if (mode == TargetMode::CutHeads) {
        // An interim response in front, because a sink sends whole heads only.
        sink.head("HTTP/1.1 100 Continue\r\n");
        sink.body(head.substr(0, m_random() % head.size()));
        sink.finish(true);
        return;
    }
    if (mode == TargetMode::EndlessBytes) {
        const auto endless
                = EndlessResponse::make(m_random() % EndlessResponse::variantCount, head, body);
        m_endlessExchanges.insert(exchangeId);
        ++m_endlessResponseCount;
        sink.head("HTTP/1.1 100 Continue\r\n");
        sink.body(endless.start);
        sendEndless(exchangeId, sink, endless, 0);
        return;
    }
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (mode == TargetMode::DropResponses) {
        sink.abort(true);
        return;
    }
    if (mode == TargetMode::TruncateResponses) {
        sink.head(head + "Content-Length: " + std::to_string(body.size() + 10) + "\r\n");
        sink.body(body);
        sink.finish(true);
        return;
    }
    if (mode == TargetMode::RepeatRefusals) {
        // On a new connection, a refusal without an id can only belong to the request.
        const bool isNewConnection = target.usedConnections.insert(request.connectedAt).second;
        const std::string earlier
                = isNewConnection || m_random() % 2 == 0 ? "Request-Id: earlier\r\n" : "";
        sink.head("HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + earlier + "Content-Length: 0\r\n");
        sink.body(head + length + "\r\n" + body);
        sink.finish(false);
        return;
    }
    sink.head(head + length);
    sink.body(body);
    if (mode == TargetMode::AppendBytes)
        sink.body("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    // The duplicate arrives where the response to the next request is expected.
    if (mode == TargetMode::DuplicateResponses)
        sink.body(head + length + "\r\n" + body);
    sink.finish(false);
}

} // namespace basildeck::soak
