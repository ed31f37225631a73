#include "decide/access/AccessClient.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

// How long it is remembered when a coordinator replied. Longer than any request waits.
constexpr Duration replyMemory = std::chrono::minutes(1);

std::uint32_t toMs(Duration duration)
{
    return static_cast<std::uint32_t>(
            std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(duration).count()));
}

} // namespace

AccessClient::AccessClient(std::string vm, std::uint64_t firstNumber)
    : m_vm(std::move(vm))
    , m_lastNumber(firstNumber)
{}

bool AccessClient::decidesLocally(const std::string &coordinator, Time now) const
{
    const auto found = m_localUntil.find(coordinator);
    return found != m_localUntil.end() && now < found->second;
}

PermitRequest AccessClient::ask(const std::string &coordinator, const Terms &terms, Time now)
{
    const std::uint64_t number = ++m_lastNumber;
    const Duration mayWait = std::max(Duration::zero(), terms.mayWait);
    m_permits[number] = { terms.request, coordinator, terms.target,
                          false,         now,         now + mayWait + replyTimeout };
    ++m_counters.asked;
    return { m_vm,
             number,
             terms.target,
             terms.priority,
             terms.organisation,
             toMs(mayWait),
             toMs(terms.expectedRun),
             toMs(terms.expiresIn) };
}

std::optional<AccessClient::Answer> AccessClient::handle(const PermitReply &reply, Time now)
{
    const auto found = m_permits.find(reply.number);
    if (found == m_permits.end() || found->second.isGranted)
        return std::nullopt;
    Permit &permit = found->second;
    m_repliedAt[permit.coordinator] = now;
    m_loads[permit.target] = { reply.running, reply.waiting, now };
    const Answer answer{ permit.request, reply.isGranted, milliseconds(reply.retryAfterMs) };
    if (reply.isGranted) {
        permit.isGranted = true;
        ++m_counters.granted;
        m_counters.waited += now - permit.askedAt;
    } else {
        ++m_counters.declined;
        m_permits.erase(found);
    }
    return answer;
}

std::optional<AccessClient::Release> AccessClient::release(std::uint64_t number,
                                                           const std::optional<LoadReport> &load,
                                                           Duration ranFor, bool isShed)
{
    const auto found = m_permits.find(number);
    if (found == m_permits.end())
        return std::nullopt;
    const Permit permit = std::move(found->second);
    m_permits.erase(found);
    return Release{ permit.coordinator,
                    { m_vm, number, permit.target, load, toMs(ranFor), isShed } };
}

// A coordinator that has replied to others since the request was sent is alive: only a datagram was
// lost. Otherwise all requests that wait for it are decided locally now.
std::vector<AccessClient::Unanswered> AccessClient::takeUnanswered(Time now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, permit] : m_permits) {
        if (permit.isGranted || permit.replyBy > now)
            continue;
        const auto replied = m_repliedAt.find(permit.coordinator);
        if (replied == m_repliedAt.end() || replied->second < permit.askedAt)
            m_localUntil[permit.coordinator] = now + localDecisionTime;
        numbers.push_back(number);
    }
    for (const auto &[number, permit] : m_permits) {
        if (!permit.isGranted && permit.replyBy > now && decidesLocally(permit.coordinator, now))
            numbers.push_back(number);
    }
    std::vector<Unanswered> unanswered;
    for (const std::uint64_t number : numbers) {
        const RequestId request = m_permits.at(number).request;
        ++m_counters.unanswered;
        unanswered.push_back({ request, *release(number, std::nullopt, Duration::zero(), false) });
    }
    std::erase_if(m_localUntil, [&](const auto &entry) { return entry.second <= now; });
    std::erase_if(m_repliedAt, [&](const auto &entry) { return now - entry.second > replyMemory; });
    std::erase_if(m_loads, [&](const auto &entry) { return now - entry.second.at > loadLifetime; });
    return unanswered;
}

std::vector<AccessClient::RequestId> AccessClient::waitingFor(const std::string &target) const
{
    std::vector<RequestId> requests;
    for (const auto &[number, permit] : m_permits) {
        if (!permit.isGranted && permit.target == target)
            requests.push_back(permit.request);
    }
    return requests;
}

Duration AccessClient::expectedWait(const std::string &target, int slots, Duration run,
                                    Time now) const
{
    const auto found = m_loads.find(target);
    if (found == m_loads.end() || now - found->second.at > loadLifetime)
        return Duration::zero();
    const TargetLoad &load = found->second;
    if (load.running < slots && load.waiting == 0)
        return Duration::zero();
    return run * (load.waiting + 1) / std::max(1, slots);
}

bool AccessClient::isWaiting() const
{
    return std::any_of(m_permits.begin(), m_permits.end(),
                       [](const auto &entry) { return !entry.second.isGranted; });
}

} // namespace basildeck
