#include "soak/SoakPartitions.h"

#include <algorithm>
#include <array>

namespace basildeck::soak {

namespace {

constexpr std::uint64_t seedOffset = 2000003;
constexpr std::size_t firstLinkByte = 101; // the third byte of the first VM's link addresses
constexpr Duration meanFaultInterval = milliseconds(2500);
constexpr Duration shortCut = seconds(1);
constexpr Duration maxCut = seconds(3);
constexpr int flapCount = 4;
constexpr Duration maxFlap = milliseconds(400);
constexpr Duration drillDuration = seconds(9);
constexpr std::size_t zoneCount = 2; // VMs are assigned to them in turn
// The drill of one of this many seeds cuts a single VM.
constexpr std::uint64_t oneVmPeriod = 4;
constexpr std::array<CutMode, 3> modes = { CutMode::Hang, CutMode::Reset, CutMode::Refuse };

std::string_view modeName(CutMode mode)
{
    static constexpr std::array<std::string_view, 3> names = { "hang", "reset", "refuse" };
    return names.at(static_cast<std::size_t>(mode));
}

} // namespace

SoakPartitions::SoakPartitions(EventLoop &loop, std::size_t vmCount, int subnet, std::uint64_t seed,
                               std::function<void(const std::string &)> logEvent)
    : m_loop(loop)
    , m_subnet(subnet)
    , m_seed(seed)
    , m_random(seed + seedOffset)
    , m_logEvent(std::move(logEvent))
    , m_links(vmCount)
{}

std::string SoakPartitions::targetPrefix(std::size_t vm) const
{
    return "127." + std::to_string(m_subnet) + "." + std::to_string(firstLinkByte + vm) + ".";
}

bool SoakPartitions::addTarget(const std::string &number, const Address &target)
{
    for (std::size_t vm = 0; vm < m_links.size(); ++vm) {
        auto link = FaultProxy::make(m_loop, { targetPrefix(vm) + number, target.port }, target);
        const auto cut = std::find_if(
                m_partitions.begin(), m_partitions.end(), [&](const Partition &partition) {
                    return partition.vm == vm && partition.until > m_loop.now();
                });
        if (!link)
            return false;
        if (cut != m_partitions.end())
            link->cut(cut->mode);
        m_links[vm].push_back(std::move(link));
    }
    return true;
}

std::size_t SoakPartitions::randomIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

void SoakPartitions::start(Time until)
{
    m_faultPhaseEnd = until;
    injectFault();
}

void SoakPartitions::injectFault()
{
    if (m_loop.now() >= m_faultPhaseEnd)
        return;
    const std::size_t vm = randomIndex(m_links.size());
    const CutMode mode = modes.at(randomIndex(modes.size()));
    const std::size_t kind = randomIndex(3);
    if (kind == 0) {
        begin(vm, mode, shortCut);
    } else if (kind == 1) {
        begin(vm, mode,
              shortCut + milliseconds(randomIndex((maxCut - shortCut) / milliseconds(1))));
    } else {
        for (int i = 0; i < flapCount; ++i)
            callLater(m_loop, 2 * i * maxFlap,
                      [this, vm, mode, duration = maxFlap / 2 + milliseconds(randomIndex(200))] {
                          begin(vm, mode, duration);
                      });
    }
    callLater(m_loop, milliseconds(randomIndex(2 * (meanFaultInterval / milliseconds(1)))),
              [this] { injectFault(); });
}

Duration SoakPartitions::drill()
{
    const bool cutsZone = m_seed % oneVmPeriod != 0;
    for (std::size_t vm = 0; vm < m_links.size(); ++vm) {
        const bool isCut
                = cutsZone ? vm % zoneCount == m_seed % zoneCount : vm == m_seed % m_links.size();
        if (isCut)
            begin(vm, modes.at((m_seed + vm / zoneCount) % modes.size()), drillDuration);
    }
    return drillDuration;
}

void SoakPartitions::begin(std::size_t vm, CutMode mode, Duration duration)
{
    const Time now = m_loop.now();
    if (wasPartitioned(vm, now, now))
        return;
    m_logEvent("vm-" + std::to_string(vm + 1) + " is cut from all targets ("
               + std::string(modeName(mode)) + ") for " + std::to_string(toSeconds(duration))
               + " s");
    m_partitions.push_back({ vm, mode, now, now + duration });
    for (const auto &link : m_links[vm])
        link->cut(mode);
    callLater(m_loop, duration, [this, vm] { end(vm); });
}

void SoakPartitions::end(std::size_t vm)
{
    m_logEvent("vm-" + std::to_string(vm + 1) + " reaches targets again");
    for (const auto &link : m_links[vm]) {
        if (!link->endCut())
            m_violations.push_back("the address of a link of vm-" + std::to_string(vm + 1)
                                   + " is in use");
    }
}

bool SoakPartitions::wasPartitioned(std::size_t vm, Time from, Time to) const
{
    return std::any_of(m_partitions.begin(), m_partitions.end(), [&](const Partition &partition) {
        return partition.vm == vm && partition.from <= to && partition.until >= from;
    });
}

} // namespace basildeck::soak
