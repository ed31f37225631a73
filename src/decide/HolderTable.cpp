#include "decide/HolderTable.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

double HolderView::fractionIn(const std::vector<std::string> &list, const std::string &vm)
{
    const bool listed = std::find(list.begin(), list.end(), vm) != list.end();
    return listed ? 1.0 / static_cast<double>(list.size()) : 0.0;
}

void HolderView::setTable(const HolderTable &table)
{
    if (table.version > m_table.version)
        m_table = table;
}

void HolderView::acknowledge(const std::string &vm, std::uint64_t version)
{
    std::uint64_t &known = m_acknowledged[vm];
    known = std::max(known, version);
}

bool HolderView::complete() const
{
    return std::all_of(m_table.before.begin(), m_table.before.end(), [&](const std::string &vm) {
        const auto &gone = m_table.gone;
        const bool isGone = std::find(gone.begin(), gone.end(), vm) != gone.end();
        if (isGone || fractionIn(m_table.after, vm) >= fractionIn(m_table.before, vm))
            return true;
        const auto acknowledged = m_acknowledged.find(vm);
        return acknowledged != m_acknowledged.end() && acknowledged->second >= m_table.version;
    });
}

double HolderView::fractionToAcknowledge() const
{
    return std::min(fractionIn(m_table.before, m_vm), fractionIn(m_table.after, m_vm));
}

double HolderView::fraction() const
{
    return complete() ? fractionIn(m_table.after, m_vm) : fractionToAcknowledge();
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
    const bool hasNewlyGone
            = std::any_of(current.before.begin(), current.before.end(), [&](const std::string &vm) {
                  return candidates.gone.contains(vm)
                         && std::find(current.gone.begin(), current.gone.end(), vm)
                                    == current.gone.end();
              });
    if (complete ? desired == current.after : !hasNewlyGone)
        return std::nullopt;
    HolderTable table;
    table.before = complete ? current.after : current.before;
    table.after = complete ? desired : current.after;
    table.gone.assign(candidates.gone.begin(), candidates.gone.end());
    table.regions = current.regions;
    for (const auto &[vm, region] : candidates.regions)
        table.regions[vm] = region;
    return table;
}

} // namespace basildeck
