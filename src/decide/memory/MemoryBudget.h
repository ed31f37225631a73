#pragma once

#include "basildeck/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// What memory is held for: request bodies that are read or kept for another attempt, responses that
// are buffered before they are written to a caller's connection, and output of callers' connections
// that the kernel has not taken yet.
enum class MemoryUse { RequestBody, Response, CallerOutput };
constexpr std::size_t memoryUseCount = static_cast<std::size_t>(MemoryUse::CallerOutput) + 1;

// Returns "request-body", "response" or "caller-output".
std::string_view memoryUseName(MemoryUse use);

// Bytes that are counted against a budget until the charge is destroyed. It may outlive the budget.
class MemoryCharge
{
public:
    // Counts nothing.
    MemoryCharge() = default;
    ~MemoryCharge() { set(0); }
    MemoryCharge(MemoryCharge &&other) noexcept;
    MemoryCharge &operator=(MemoryCharge &&other) noexcept;

    void set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    friend class MemoryBudget;
    struct Ledger
    {
        std::array<std::size_t, memoryUseCount> held{};
        std::size_t total = 0;
        std::uint64_t released = 0;
    };
    MemoryCharge(std::shared_ptr<Ledger> ledger, MemoryUse use);

    std::shared_ptr<Ledger> m_ledger;
    MemoryUse m_use = MemoryUse::RequestBody;
    std::size_t m_bytes = 0;
};

// Decides about the memory of a VM that is held for callers and targets.
//
// A charge may always be made: the budget is kept by asking before more is read. A request body is
// admitted as a whole when its length is known, so bodies do not wait for each other half read. One
// that arrives in chunks may have to wait while it holds memory, so every wait has a time limit.
class MemoryBudget
{
public:
    using WaitId = std::uint64_t;

    // Fraction of the VM's memory. The rest is for the program itself, for strings that are copied
    // when they grow, and for what is read before a pause takes effect. At 160 MiB a body of 64 MiB
    // still fits.
    static constexpr double memoryFraction = 0.6;
    // Memory of a VM whose settings do not name it.
    static constexpr std::size_t defaultMemoryBytes = 256UL * 1024 * 1024;
    // Bodies above this fraction of the budget are large. They leave a part of it free, so that
    // long uploads do not keep short ones out.
    static constexpr std::size_t largeBodyDivisor = 128;
    static constexpr std::size_t freePartDivisor = 8;
    // One response that waits for earlier ones of its connection may take this fraction.
    static constexpr std::size_t readAheadDivisor = 16;
    // A body waits for memory for this long before it is refused.
    static constexpr Duration maxBodyWait = seconds(2);
    // Bounds of the time after which a refused caller may try again.
    static constexpr Duration minRetryAfter = milliseconds(300);
    static constexpr Duration maxRetryAfter = seconds(5);

    explicit MemoryBudget(std::size_t limitBytes);
    // The budget of a VM with this much memory; 0 if that is unknown.
    static std::size_t limitFor(std::size_t memoryBytes);

    MemoryCharge charge(MemoryUse use) { return { m_ledger, use }; }
    // Whether a body with a charge may take this many bytes. Large bodies that hold nothing yet are
    // admitted in the order in which their waits began.
    bool admitsBody(const MemoryCharge &charge, std::size_t bytes,
                    std::optional<WaitId> wait = std::nullopt) const;
    // Reading of a body is paused until it is admitted. Each wait must be ended.
    WaitId beginWait(std::size_t bytes);
    void endWait(WaitId wait);
    // Whether a response that waits for earlier ones, of which this much is held, is read further.
    bool mayReadAhead(std::size_t bytes) const;
    // Whether little of the budget is free, so that connections should hold less than usual.
    bool isShort() const;

    void countPause(MemoryUse use) { ++m_pauses.at(static_cast<std::size_t>(use)); }
    void countRefusal() { ++m_refusals; }
    // When the caller of a refused body may try again: when half of what is held has been released
    // at the current rate, spread so that callers do not return together.
    Duration retryAfter() const;
    // Measures the rate at which memory is released. To be called a few times per second.
    void tick(Time now);

    std::size_t limit() const { return m_limit; }
    std::size_t held() const { return m_ledger->total; }
    std::size_t held(MemoryUse use) const
    {
        return m_ledger->held.at(static_cast<std::size_t>(use));
    }
    std::uint64_t pauses(MemoryUse use) const { return m_pauses.at(static_cast<std::size_t>(use)); }
    std::uint64_t refusals() const { return m_refusals; }
    std::string metricsText() const;

private:
    bool isLarge(std::size_t bytes) const { return bytes > m_limit / largeBodyDivisor; }

    std::size_t m_limit;
    std::shared_ptr<MemoryCharge::Ledger> m_ledger;
    std::deque<WaitId> m_largeWaits; // in order
    WaitId m_nextWait = 1;
    std::array<std::uint64_t, memoryUseCount> m_pauses{};
    std::uint64_t m_refusals = 0;
    double m_releaseRate = 0; // bytes per second, moving average
    std::uint64_t m_releasedAtTick = 0;
    std::optional<Time> m_tickedAt;
};

} // namespace basildeck
