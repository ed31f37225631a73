#include "soak/SoakTargets.h"

namespace basildeck::soak {

using nlohmann::json;

namespace {

constexpr int slots = 4;
constexpr int queue = 8;
constexpr Duration work = milliseconds(20);
constexpr int slowFactor = 15;
// A leaving target's entry goes this long after it said that it leaves.
constexpr Duration leaveTime = milliseconds(2500);
constexpr std::size_t maxBodyBytes = 1 << 20;

std::string field(const IncomingRequest &request, std::string_view name)
{
    const std::string *value = request.head.fields.find(name);
    return value == nullptr ? std::string() : *value;
}

void answer(const ResponseSink &sink, const std::string &head, const std::string &body)
{
    sink.head(head + "Content-Length: " + std::to_string(body.size()) + "\r\n");
    sink.body(body);
    sink.finish(false);
}

} // namespace

SoakTargets::SoakTargets(EventLoop &loop, SoakStore &store, std::mt19937_64 &random)
    : m_loop(loop)
    , m_store(store)
    , m_random(random)
{}

bool SoakTargets::add(const std::string &id, const std::string &zone, const Address &at,
                      const Address &via)
{
    auto target = std::make_unique<Target>();
    target->id = id;
    target->zone = zone;
    target->via = via;
    Target *raw = target.get();
    auto server = EdgeServer::make(
            m_loop, at,
            { [this, raw](const IncomingRequest &request) { return take(*raw, request); },
              [](const ResponseSink &sink, ErrorKind) { answer(sink, "HTTP/1.1 400 X\r\n", ""); },
              [this](std::uint64_t run) { m_open[run] = false; }, [](std::uint64_t) {} },
            maxBodyBytes);
    target->proxy = FaultProxy::make(m_loop, via, at);
    if (!server || !target->proxy)
        return false;
    target->server = std::move(server.value());
    write(*target, "ready");
    m_targets[id] = std::move(target);
    return true;
}

void SoakTargets::write(const Target &target, const std::string &state)
{
    m_store.put("servers", target.id,
                { { "service", "svc" },
                  { "address", target.via.toString() },
                  { "zone", target.zone },
                  { "version", "v1" },
                  { "slots", slots },
                  { "state", state },
                  { "cold_remaining", "0ms" },
                  { "seq", 1 } });
}

void SoakTargets::setMode(const std::string &id, TargetMode mode)
{
    m_targets.at(id)->mode = mode;
}

void SoakTargets::setProxyMode(const std::string &id, ProxyMode mode)
{
    m_targets.at(id)->proxy->setMode(mode);
}

void SoakTargets::leave(const std::string &id)
{
    Target &target = *m_targets.at(id);
    if (target.leavingSince)
        return;
    target.leavingSince = m_loop.now();
    write(target, "draining");
    callLater(m_loop, leaveTime, [this, id] { m_store.remove("servers", id); });
}

std::vector<std::string> SoakTargets::ids() const
{
    std::vector<std::string> result;
    for (const auto &[id, target] : m_targets)
        result.push_back(id);
    return result;
}

void SoakTargets::check(const IncomingRequest &request)
{
    for (const auto &[name, value] : request.head.fields.all()) {
        if (equalsIgnoreCase(name, "Api-Key") || value.find("key-") != std::string::npos)
            m_faults.push_back("a target saw a caller's key: " + name);
    }
    const std::string expected = field(request, "Expected-Organisation");
    if (field(request, "Tenant") != expected)
        m_faults.push_back("request of " + expected + " ran for " + field(request, "Tenant"));
}

std::uint64_t SoakTargets::take(Target &target, const IncomingRequest &request)
{
    const std::uint64_t run = m_nextRun++;
    const std::string id = field(request, "Request-Id");
    const std::string head = "Request-Id: " + id + "\r\n";
    if (field(request, "Target-Instance") != target.id) {
        answer(request.sink, "HTTP/1.1 421 X\r\n" + head, "");
        return run;
    }
    check(request);
    if (target.leavingSince)
        m_lateArrivals.push_back({ id, m_loop.now() - *target.leavingSince, m_loop.now() });
    if (target.mode == TargetMode::Sheds || target.running >= slots + queue) {
        answer(request.sink, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n" + head, "");
        return run;
    }
    RunRecord &record = m_runs[id];
    if (record.runs++ == 0)
        record.first = m_loop.now();
    record.organisation = field(request, "Tenant");
    ++target.running;
    m_open[run] = true;
    const Duration took = target.mode == TargetMode::Slow ? work * slowFactor : work;
    callLater(m_loop, took, [this, &target, request, id, run] {
        --target.running;
        const bool isOpen = m_open.at(run);
        m_open.erase(run);
        if (isOpen)
            finish(target, request, id);
    });
    return run;
}

void SoakTargets::finish(Target &target, const IncomingRequest &request, const std::string &id)
{
    const bool misbehaves = std::uniform_int_distribution<int>(0, 2)(m_random) == 0;
    const TargetMode mode = misbehaves ? target.mode : TargetMode::Good;
    const std::string body = id + " " + request.head.request.target + " " + request.body;
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: s-" + id
                             + "\r\nServer-Load: " + std::to_string(target.running) + ",0,4\r\n";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const ResponseSink &sink = request.sink;
    if (mode == TargetMode::LosesAnswers) {
        sink.abort();
        return;
    }
    if (mode == TargetMode::BreaksOff) {
        sink.head(head + "Content-Length: " + std::to_string(body.size() + 10) + "\r\n");
        sink.body(body);
        sink.finish(true);
        return;
    }
    sink.head(head + length);
    sink.body(body);
    if (mode == TargetMode::AddsBytes)
        sink.body("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    // A second whole answer, which arrives where the next one is expected.
    if (mode == TargetMode::LateAnswers)
        sink.body(head + length + "\r\n" + body);
    sink.finish(false);
}

} // namespace basildeck::soak
