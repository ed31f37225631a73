#pragma once

#include "core/StoreVersion.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// The VMs that own a fraction of every fleet-wide limit. The table is an object in the store that
// is written with a condition on its version. It lists the holders before and after the latest
// change.
//
// After a restore of the store, newer tables may have been lost that some VMs still follow. The
// first table of the new era therefore lists every VM that may hold a fraction as confirming.
struct HolderTable
{
    StoreVersion version; // none: there is no table yet
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::vector<std::string> gone; // VMs that the platform listed as gone at the time of the write
    std::vector<std::string> confirming;        // must acknowledge the version, or be gone
    std::map<std::string, std::string> regions; // of all VMs named above

    bool operator==(const HolderTable &other) const = default;
};

// The fraction of the limits that one VM may use under a table.
//
// While a change is in progress, a VM uses the smaller of its fractions before and after the
// change. It uses a larger fraction only once each VM whose fraction was reduced has acknowledged
// the version or is listed by the platform as gone. If the table lists confirming VMs, the fraction
// that was in use when the table arrived is a further bound until each of them has acknowledged it.
class HolderView
{
public:
    explicit HolderView(std::string vm)
        : m_vm(std::move(vm))
    {}

    // Sets the table, unless the current one is as recent.
    void setTable(const HolderTable &table);
    // Records that a VM uses no more than its fraction under a version.
    void acknowledge(const std::string &vm, const StoreVersion &version);
    // Records that this VM uses no more than its fraction under the current version.
    void acknowledgeOwn() { acknowledge(m_vm, m_table.version); }

    // Whether every confirming VM and every VM whose fraction is reduced has acknowledged the
    // version or is gone.
    bool complete() const;
    // The fraction of a limit that this VM may use now.
    double fraction() const;
    // The fraction that this VM must not exceed before it may acknowledge the current version.
    double fractionToAcknowledge() const;
    const HolderTable &table() const { return m_table; }
    // The lists of holders that apply now, at least one. This VM uses the smallest of its parts
    // under them.
    std::vector<std::vector<std::string>> applicableLists() const;

    // The VMs that currently own a fraction.
    std::vector<std::string> holders() const;

private:
    static double fractionIn(const std::vector<std::string> &list, const std::string &vm);
    double smallestFraction(const std::vector<std::vector<std::string>> &lists) const;
    std::vector<std::vector<std::string>> listsDuringChange() const;
    bool hasAcknowledged(const std::string &vm) const;

    std::string m_vm;
    HolderTable m_table;
    // The lists that applied when a table with confirming VMs arrived.
    std::vector<std::vector<std::string>> m_earlierLists;
    std::map<std::string, StoreVersion> m_acknowledged;
};

// What the VM that proposes a table knows about the VMs.
struct HolderCandidates
{
    std::set<std::string> live; // according to heartbeats
    std::set<std::string> leaving;
    std::set<std::string> listed; // by the platform, as live or leaving
    std::set<std::string> gone;   // according to the platform's list
    std::map<std::string, std::string> regions;
};

// The maximum number of VMs that own a fraction of the limits.
constexpr std::size_t maxHolders = 7;

// Returns the holders that a table should list. A holder stays until it leaves or is gone, even
// while it does not respond. Live VMs join up to the limit.
std::vector<std::string> desiredHolders(const std::vector<std::string> &current,
                                        const HolderCandidates &candidates, std::size_t limit);

// Returns the table that should replace the current one, if any. While a change is in progress,
// only VMs that are newly gone are added. The result has no version.
std::optional<HolderTable> proposeHolders(const HolderTable &current, bool complete,
                                          const HolderCandidates &candidates);

// Returns the first table after a restore of the store: the current holders, to be confirmed by
// each VM that may hold a fraction under this table or one that was lost. The result has no
// version.
HolderTable confirmHolders(const HolderTable &current, bool complete,
                           const HolderCandidates &candidates);

} // namespace basildeck
