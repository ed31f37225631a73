#include "decide/memory/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

// Time constant of the moving average of the release rate.
constexpr double releaseRateSeconds = 2;
// Refused callers are spread over this fraction of the retry time around it.
constexpr double retrySpread = 0.5;
// Successive multiples of the golden ratio are spread evenly over the unit interval.
constexpr double goldenRatio = 0.6180339887498949;

} // namespace

std::string_view memoryUseName(MemoryUse use)
{
    static constexpr std::array<std::string_view, memoryUseCount> names
            = { "request-body", "response", "caller-output" };
    return names.at(static_cast<std::size_t>(use));
}

MemoryCharge::MemoryCharge(std::shared_ptr<Ledger> ledger, MemoryUse use)
    : m_ledger(std::move(ledger))
    , m_use(use)
{}

MemoryCharge::MemoryCharge(MemoryCharge &&other) noexcept
    : m_ledger(std::move(other.m_ledger))
    , m_use(other.m_use)
    , m_bytes(std::exchange(other.m_bytes, 0))
{}

MemoryCharge &MemoryCharge::operator=(MemoryCharge &&other) noexcept
{
    if (this == &other)
        return *this;
    set(0);
    m_ledger = std::move(other.m_ledger);
    m_use = other.m_use;
    m_bytes = std::exchange(other.m_bytes, 0);
    return *this;
}

void MemoryCharge::set(std::size_t bytes)
{
    if (!m_ledger)
        return;
    std::size_t &held = m_ledger->held.at(static_cast<std::size_t>(m_use));
    held = held - m_bytes + bytes;
    m_ledger->total = m_ledger->total - m_bytes + bytes;
    if (bytes < m_bytes)
        m_ledger->released += m_bytes - bytes;
    m_bytes = bytes;
}

MemoryBudget::MemoryBudget(std::size_t limitBytes)
    : m_limit(limitBytes)
    , m_ledger(std::make_shared<MemoryCharge::Ledger>())
{}

std::size_t MemoryBudget::limitFor(std::size_t memoryBytes)
{
    const std::size_t memory = memoryBytes == 0 ? defaultMemoryBytes : memoryBytes;
    return static_cast<std::size_t>(static_cast<double>(memory) * memoryFraction);
}

bool MemoryBudget::admitsBody(const MemoryCharge &charge, std::size_t bytes,
                              std::optional<WaitId> wait) const
{
    const std::size_t others = held() - charge.bytes();
    if (!isLarge(bytes))
        return others + bytes <= m_limit;
    const bool isNext = m_largeWaits.empty() || m_largeWaits.front() == wait;
    return (isNext || charge.bytes() > 0) && others + bytes <= m_limit - m_limit / freePartDivisor;
}

MemoryBudget::WaitId MemoryBudget::beginWait(std::size_t bytes)
{
    countPause(MemoryUse::RequestBody);
    if (isLarge(bytes))
        m_largeWaits.push_back(m_nextWait);
    return m_nextWait++;
}

void MemoryBudget::endWait(WaitId wait)
{
    std::erase(m_largeWaits, wait);
}

bool MemoryBudget::mayReadAhead(std::size_t bytes) const
{
    return held() < m_limit / 2 && bytes < m_limit / readAheadDivisor;
}

bool MemoryBudget::isShort() const
{
    return held() > m_limit - m_limit / 4;
}

Duration MemoryBudget::retryAfter() const
{
    const double wait = m_releaseRate > 0 ? static_cast<double>(held()) / 2 / m_releaseRate
                                          : toSeconds(maxRetryAfter);
    const double position = goldenRatio * static_cast<double>(m_refusals);
    const double factor
            = 1
              + retrySpread
                        * (position - static_cast<double>(static_cast<std::uint64_t>(position)));
    const double bounded = std::clamp(wait, toSeconds(minRetryAfter), toSeconds(maxRetryAfter));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded * factor));
}

void MemoryBudget::tick(Time now)
{
    const std::uint64_t released = m_ledger->released;
    if (m_tickedAt && now > *m_tickedAt) {
        const double elapsed = toSeconds(now - *m_tickedAt);
        const double rate = static_cast<double>(released - m_releasedAtTick) / elapsed;
        m_releaseRate += (rate - m_releaseRate) * std::min(1.0, elapsed / releaseRateSeconds);
    }
    m_tickedAt = now;
    m_releasedAtTick = released;
}

std::string MemoryBudget::metricsText() const
{
    std::string text = "basildeck_memory_budget_bytes " + std::to_string(m_limit) + "\n";
    for (std::size_t i = 0; i < memoryUseCount; ++i) {
        const auto use = static_cast<MemoryUse>(i);
        const std::string label = "{use=\"" + std::string(memoryUseName(use)) + "\"} ";
        text += "basildeck_memory_held_bytes" + label + std::to_string(held(use)) + "\n";
        text += "basildeck_memory_pauses_total" + label + std::to_string(pauses(use)) + "\n";
    }
    return text + "basildeck_memory_refusals_total " + std::to_string(m_refusals) + "\n";
}

} // namespace basildeck
