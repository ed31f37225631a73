#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// The VMs that own a fraction of every fleet-wide limit. The table is an object in the store that
// is written with a condition on its version. It lists the holders before and after the latest
// change.
struct HolderTable
{
    std::uint64_t version = 0; // in the store; 0: there is no table yet
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::vector<std::string> gone; // VMs that the platform listed as gone at the time of the write
    std::map<std::string, std::string> regions; // of all VMs named above

    bool operator==(const HolderTable &other) const = default;
};

// The fraction of the limits that one VM may use under a table.
//
// While a change is in progress, a VM uses the smaller of its fractions before and after the
// change. It uses a larger fraction only once each VM whose fraction was reduced has acknowledged
// the version or is listed by the platform as gone.
class HolderView
{
public:
    explicit HolderView(std::string vm)
        : m_vm(std::move(vm))
    {}

    // Sets the table, unless the current one is as recent.
    void setTable(const HolderTable &table);
    // Records that a VM uses no more than its fraction under a version.
    void acknowledge(const std::string &vm, std::uint64_t version);
    // Records that this VM uses no more than its fraction under the current version.
    void acknowledgeOwn() { acknowledge(m_vm, m_table.version); }

    // Whether every VM whose fraction is reduced has acknowledged the version or is gone.
    bool complete() const;
    // The fraction of a limit that this VM may use now.
    double fraction() const;
    // The fraction that this VM must not exceed before it may acknowledge the current version.
    double fractionToAcknowledge() const;
    const HolderTable &table() const { return m_table; }

    // The VMs that currently own a fraction.
    std::vector<std::string> holders() const;

private:
    static double fractionIn(const std::vector<std::string> &list, const std::string &vm);

    std::string m_vm;
    HolderTable m_table;
    std::map<std::string, std::uint64_t> m_acknowledged;
};

// What the VM that proposes a table knows about the VMs.
struct HolderCandidates
{
    std::set<std::string> live; // according to heartbeats
    std::set<std::string> leaving;
    std::set<std::string> gone; // according to the platform's list
    std::map<std::string, std::string> regions;
};

// The maximum number of VMs that own a fraction of the limits.
constexpr std::size_t maxHolders = 7;

// Returns the holders that a table should list. A holder stays until it leaves or is gone, even
// while it does not respond. Live VMs join up to the limit.
std::vector<std::string> desiredHolders(const std::vector<std::string> &current,
                                        const HolderCandidates &candidates, std::size_t limit);

// Returns the table that should replace the current one, if any. While a change is in progress,
// only VMs that are newly gone are added.
std::optional<HolderTable> proposeHolders(const HolderTable &current, bool complete,
                                          const HolderCandidates &candidates);

} // namespace basildeck
