#include "decide/FleetLimits.h"

#include "core/Hash.h"

namespace basildeck {

namespace {

// Cannot collide with an organisation: the configuration rejects organisation names of this form.
std::string linkBudgetName(const std::string &from, const std::string &to)
{
    return "link:" + from + ">" + to;
}

} // namespace

FleetLimits::FleetLimits(std::string vm, std::uint64_t processNumber, Time processStart)
    : m_vm(std::move(vm))
    , m_processNumber(processNumber)
    , m_processStart(processStart)
    , m_holders(m_vm)
{}

std::uint64_t FleetLimits::nonceSeed(const std::string &budget) const
{
    return stableHash(m_vm + budget, std::to_string(m_processNumber));
}

void FleetLimits::setConfig(const FleetConfig &config, Time now)
{
    for (const Organisation &organisation : config.organisations) {
        const TokenBucketLimit limit{ organisation.rate, organisation.burst };
        auto &limiter = m_rateLimiters[organisation.name];
        if (!limiter)
            limiter = std::make_unique<RateLimiter>(limit, nonceSeed(organisation.name),
                                                    m_processStart);
        limiter->share().setLimit(limit, now);
    }
    for (const Link &link : config.links) {
        const std::string name = linkBudgetName(link.from, link.to);
        auto &pacer = m_pacers[name];
        if (!pacer)
            pacer = std::make_unique<LinkPacer>(link.bytesPerSecond, nonceSeed(name),
                                                m_processStart);
        pacer->setCap(link.bytesPerSecond, now);
    }
    applyFractions(now);
}

void FleetLimits::setTable(const HolderTable &table, Time now)
{
    m_holders.setTable(table);
    applyFractions(now);
}

void FleetLimits::acknowledge(const std::string &vm, const StoreVersion &version, Time now)
{
    m_holders.acknowledge(vm, version);
    applyFractions(now);
}

void FleetLimits::acknowledgeOwn(Time now)
{
    acknowledge(m_vm, m_holders.table().version, now);
}

template <typename Visit>
void FleetLimits::forEachShare(Visit visit)
{
    for (auto &[organisation, limiter] : m_rateLimiters)
        visit(organisation, limiter->share());
    for (auto &[name, pacer] : m_pacers)
        visit(name, pacer->share());
}

void FleetLimits::applyFractions(Time now)
{
    const auto others = otherHolders();
    forEachShare([&](const std::string &, TokenBucketShare &share) {
        share.setFraction(m_holders.fraction(), now);
        share.setHolders(others);
    });
}

bool FleetLimits::isWithinFraction(Time now)
{
    bool isWithin = true;
    forEachShare([&](const std::string &, TokenBucketShare &share) {
        isWithin = isWithin && share.isWithinFraction(now);
    });
    return isWithin;
}

std::vector<std::string> FleetLimits::otherHolders() const
{
    std::vector<std::string> holders = m_holders.holders();
    std::erase(holders, m_vm);
    return holders;
}

RateLimiter *FleetLimits::rateLimiter(const std::string &organisation) const
{
    const auto limiter = m_rateLimiters.find(organisation);
    return limiter == m_rateLimiters.end() ? nullptr : limiter->second.get();
}

LinkPacer *FleetLimits::pacer(const std::string &from, const std::string &to) const
{
    const auto pacer = m_pacers.find(linkBudgetName(from, to));
    return from == to || pacer == m_pacers.end() ? nullptr : pacer->second.get();
}

TokenBucketShare *FleetLimits::share(const std::string &budget) const
{
    if (RateLimiter *found = rateLimiter(budget))
        return &found->share();
    const auto pacer = m_pacers.find(budget);
    return pacer == m_pacers.end() ? nullptr : &pacer->second->share();
}

std::vector<FleetLimits::OutgoingRequest>
FleetLimits::dueRequests(const std::map<const LinkPacer *, int> &waitingReads, Time now)
{
    std::vector<OutgoingRequest> requests;
    const auto plan = [&](const std::string &name, TokenBucketShare &share, double waiting) {
        for (TokenBucketShare::OutgoingRequest &entry : share.dueRequests(waiting, now))
            requests.push_back({ entry.holder, name, std::move(entry.request) });
    };
    for (auto &[organisation, limiter] : m_rateLimiters)
        plan(organisation, limiter->share(), limiter->waiting());
    for (auto &[name, pacer] : m_pacers) {
        const auto waiting = waitingReads.find(pacer.get());
        plan(name, pacer->share(),
             pacer->tokensNeeded(waiting == waitingReads.end() ? 0 : waiting->second));
    }
    return requests;
}

} // namespace basildeck
