#pragma once

#include "edge/ForwardingFields.h"

#include <cstdint>
#include <map>
#include <string>

namespace basildeck {

// The requests that this VM takes from VMs that are partitioned from the targets.
class PeerIntake
{
public:
    // Maximum number of requests taken from all other VMs together.
    static constexpr int maxOpen = 128;

    bool isFull() const { return m_open >= maxOpen; }
    void accept();
    void end() { --m_open; }
    void decline(ForwardingDecline decline) { ++m_declined[decline]; }
    void refuse(ErrorKind kind) { ++m_refused[kind]; }
    std::string metricsText() const;

private:
    int m_open = 0;
    std::uint64_t m_accepted = 0;
    std::map<ForwardingDecline, std::uint64_t> m_declined;
    std::map<ErrorKind, std::uint64_t> m_refused;
};

} // namespace basildeck
