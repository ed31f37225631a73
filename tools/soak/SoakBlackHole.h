#pragma once

#include "config/Address.h"

#include <memory>
#include <vector>

namespace basildeck::soak {

// An address at which new connections are never established, as behind a cut link.
class SoakBlackHole
{
public:
    // Returns null if the address is in use.
    static std::unique_ptr<SoakBlackHole> make(const Address &address);
    ~SoakBlackHole();
    SoakBlackHole(const SoakBlackHole &) = delete;
    SoakBlackHole &operator=(const SoakBlackHole &) = delete;

    const Address &address() const { return m_address; }

private:
    explicit SoakBlackHole(Address address)
        : m_address(std::move(address))
    {}

    Address m_address;
    // A listener that accepts nothing, and the connections that fill its queue.
    std::vector<int> m_descriptors;
};

} // namespace basildeck::soak
