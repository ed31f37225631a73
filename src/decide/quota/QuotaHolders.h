#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// Selects the VMs that hold the tokens of an organisation's quota.
//
// In a small fleet every VM holds some. In a large one each VM receives so few requests of an
// organisation that tokens divided among all VMs would seldom be where the next request arrives, so
// a few VMs of each region hold them and the others borrow one for each request. The holders are
// found by rendezvous hashing: a VM that joins or leaves changes the holders of few organisations.
class QuotaHolders
{
public:
    // Fleets up to this size have all VMs hold tokens.
    static constexpr std::size_t maxVmsHoldingAll = 12;
    static constexpr std::size_t holdersPerRegion = 2;
    // Lower limit of an organisation's holders in fleets with few regions.
    static constexpr std::size_t minHolders = 4;

    QuotaHolders() = default;
    // Takes the region of each registered VM by its name.
    explicit QuotaHolders(const std::map<std::string, std::string> &vmRegions);

    // Names of an organisation's holders, best ranked first within each region.
    const std::vector<std::string> &of(const std::string &organisation) const;
    bool isHolder(std::string_view vm, const std::string &organisation) const;
    // Region of a registered VM; empty if the VM is not registered.
    std::string_view regionOf(std::string_view vm) const;
    const std::map<std::string, std::string, std::less<>> &vmRegions() const { return m_regions; }

private:
    std::vector<std::string> select(const std::string &organisation) const;

    std::map<std::string, std::string, std::less<>> m_regions;     // by VM
    std::map<std::string, std::vector<std::string>> m_vmsByRegion; // names by region
    mutable std::map<std::string, std::vector<std::string>> m_holdersByOrganisation; // on demand
};

} // namespace basildeck
