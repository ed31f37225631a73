#include "decide/HolderTable.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

namespace {

void setGoneAndRegions(HolderTable &table, const HolderTable &current,
                       const HolderCandidates &candidates)
{
    table.gone.assign(candidates.gone.begin(), candidates.gone.end());
    table.regions = current.regions;
    for (const auto &[vm, region] : candidates.regions)
        table.regions[vm] = region;
}

} // namespace

double HolderView::fractionIn(const std::vector<std::string> &list, const std::string &vm)
{
    const bool listed = std::find(list.begin(), list.end(), vm) != list.end();
    return listed ? 1.0 / static_cast<double>(list.size()) : 0.0;
}

void HolderView::setTable(const HolderTable &table)
{
    if (table.version <= m_table.version)
        return;
    m_earlierLists = table.confirming.empty() ? std::vector<std::vector<std::string>>{}
                                              : applicableLists();
    const std::map<std::string, std::string> earlierRegions = std::move(m_table.regions);
    m_table = table;
    m_table.regions.insert(earlierRegions.begin(), earlierRegions.end());
}

void HolderView::acknowledge(const std::string &vm, const StoreVersion &version)
{
    StoreVersion &known = m_acknowledged[vm];
    known = std::max(known, version);
}

// An acknowledgement from a later era does not count: the fraction that it confirms was not derived
// from this table.
bool HolderView::hasAcknowledged(const std::string &vm) const
{
    if (std::find(m_table.gone.begin(), m_table.gone.end(), vm) != m_table.gone.end())
        return true;
    const auto acknowledged = m_acknowledged.find(vm);
    return acknowledged != m_acknowledged.end() && acknowledged->second >= m_table.version
           && acknowledged->second.era == m_table.version.era;
}

bool HolderView::complete() const
{
    const auto hasConfirmed = [&](const std::string &vm) { return hasAcknowledged(vm); };
    const auto isReduced = [&](const std::string &vm) {
        return fractionIn(m_table.after, vm) < fractionIn(m_table.before, vm);
    };
    return std::all_of(m_table.confirming.begin(), m_table.confirming.end(), hasConfirmed)
           && std::all_of(m_table.before.begin(), m_table.before.end(), [&](const std::string &vm) {
                  return !isReduced(vm) || hasAcknowledged(vm);
              });
}

std::vector<std::vector<std::string>> HolderView::listsDuringChange() const
{
    std::vector<std::vector<std::string>> lists = m_earlierLists;
    lists.push_back(m_table.before);
    lists.push_back(m_table.after);
    return lists;
}

std::vector<std::vector<std::string>> HolderView::applicableLists() const
{
    if (!complete())
        return listsDuringChange();
    return { m_table.after };
}

double HolderView::smallestFraction(const std::vector<std::vector<std::string>> &lists) const
{
    double fraction = 1.0;
    for (const std::vector<std::string> &list : lists)
        fraction = std::min(fraction, fractionIn(list, m_vm));
    return fraction;
}

double HolderView::fractionToAcknowledge() const
{
    return smallestFraction(listsDuringChange());
}

double HolderView::fraction() const
{
    return smallestFraction(applicableLists());
}

std::vector<std::string> HolderView::holders() const
{
    if (complete())
        return m_table.after;
    std::vector<std::string> common;
    for (const std::string &vm : m_table.before) {
        if (std::find(m_table.after.begin(), m_table.after.end(), vm) != m_table.after.end())
            common.push_back(vm);
    }
    return common;
}

std::vector<std::string> desiredHolders(const std::vector<std::string> &current,
                                        const HolderCandidates &candidates, std::size_t limit)
{
    const auto stays = [&](const std::string &vm) {
        return !candidates.gone.contains(vm) && !candidates.leaving.contains(vm);
    };
    std::vector<std::string> list;
    for (const std::string &vm : current) {
        if (stays(vm))
            list.push_back(vm);
    }
    std::vector<std::string> joining;
    for (const std::string &vm : candidates.live) {
        if (stays(vm) && std::find(list.begin(), list.end(), vm) == list.end())
            joining.push_back(vm);
    }
    std::sort(joining.begin(), joining.end(), [](const std::string &a, const std::string &b) {
        return stableHash(a) > stableHash(b);
    });
    for (const std::string &vm : joining) {
        if (list.size() < limit)
            list.push_back(vm);
    }
    std::sort(list.begin(), list.end());
    return list;
}

std::optional<HolderTable> proposeHolders(const HolderTable &current, bool complete,
                                          const HolderCandidates &candidates)
{
    const auto desired = desiredHolders(current.after, candidates, maxHolders);
    if (desired.empty())
        return std::nullopt;
    const auto isNewlyGone = [&](const std::string &vm) {
        return candidates.gone.contains(vm)
               && std::find(current.gone.begin(), current.gone.end(), vm) == current.gone.end();
    };
    const bool hasNewlyGone
            = std::any_of(current.before.begin(), current.before.end(), isNewlyGone)
              || std::any_of(current.confirming.begin(), current.confirming.end(), isNewlyGone);
    if (complete ? desired == current.after : !hasNewlyGone)
        return std::nullopt;
    HolderTable table;
    table.before = complete ? current.after : current.before;
    table.after = complete ? desired : current.after;
    if (!complete)
        table.confirming = current.confirming;
    setGoneAndRegions(table, current, candidates);
    return table;
}

HolderTable confirmHolders(const HolderTable &current, bool complete,
                           const HolderCandidates &candidates)
{
    HolderTable table;
    table.before = complete ? current.after : current.before;
    table.after = current.after;
    setGoneAndRegions(table, current, candidates);
    std::set<std::string> confirming = candidates.live;
    confirming.insert(candidates.leaving.begin(), candidates.leaving.end());
    confirming.insert(candidates.listed.begin(), candidates.listed.end());
    confirming.insert(current.before.begin(), current.before.end());
    confirming.insert(current.after.begin(), current.after.end());
    confirming.insert(current.confirming.begin(), current.confirming.end());
    for (const std::string &vm : confirming) {
        if (!candidates.gone.contains(vm))
            table.confirming.push_back(vm);
    }
    return table;
}

} // namespace basildeck
