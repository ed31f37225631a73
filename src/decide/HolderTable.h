#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// The VMs that own a part of every fleet-wide limit: an object of the store, written with a
// condition on its version. It holds the list before the change and the list after it.
struct HolderTable
{
    std::uint64_t version = 0; // of the store; 0: there is no table yet
    std::vector<std::string> before;
    std::vector<std::string> after;
    std::vector<std::string> gone; // VMs that the platform listed as gone when this was written
    std::map<std::string, std::string> regions; // of all VMs named above

    bool operator==(const HolderTable &other) const = default;
};

// What one VM may use of the limits under a table.
//
// While a change is under way a VM uses the smaller of its two parts. It moves to a larger one only
// when each VM whose part shrank has acknowledged the version, or is known by the platform to be
// gone.
class HolderView
{
public:
    explicit HolderView(std::string vm)
        : m_vm(std::move(vm))
    {}

    // Takes in a table. An older version than the known one is ignored.
    void setTable(const HolderTable &table);
    // Another VM uses no more than its part under this version.
    void acknowledge(const std::string &vm, std::uint64_t version);
    // This VM uses no more than its part under the current version.
    void acknowledgeOwn() { acknowledge(m_vm, m_table.version); }

    // Every VM that shrinks has acknowledged or is gone.
    bool complete() const;
    // The fraction of a limit that this VM may use now.
    double fraction() const;
    // The fraction that this VM has to keep to before it may acknowledge the current version.
    double fractionToAcknowledge() const;
    const HolderTable &table() const { return m_table; }

    // The VMs that currently own a part.
    std::vector<std::string> holders() const;

private:
    static double fractionIn(const std::vector<std::string> &list, const std::string &vm);

    std::string m_vm;
    HolderTable m_table;
    std::map<std::string, std::uint64_t> m_acknowledged;
};

// What a proposer knows of the VMs.
struct HolderCandidates
{
    std::set<std::string> live; // by heartbeats
    std::set<std::string> leaving;
    std::set<std::string> gone; // by the platform's list
    std::map<std::string, std::string> regions;
};

// VMs that own a part of the limits at most.
constexpr std::size_t maxHolders = 7;

// The list of holders that a table should have: VMs that own a part keep it until they leave or are
// gone, also while they do not answer; live ones join up to the limit.
std::vector<std::string> desiredHolders(const std::vector<std::string> &current,
                                        const HolderCandidates &candidates, std::size_t limit);

// The table to write after the current one, if one is due. While a change is open, nothing but the
// news that a VM is gone is added to it.
std::optional<HolderTable> proposeHolders(const HolderTable &current, bool complete,
                                          const HolderCandidates &candidates);

} // namespace basildeck
