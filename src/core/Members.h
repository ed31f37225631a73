#pragma once

#include "config/Address.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// The state of a VM as seen by another one. Of two states with the same incarnation, the later one
// in this list takes precedence.
enum class MemberState { Alive, Suspect, Leaving, Dead };

// "alive", "suspect", "leaving" or "dead".
std::string_view memberStateName(MemberState state);

// One entry VM, as known to the others.
struct Member
{
    std::string vm;
    std::uint64_t incarnation = 0; // increases with each restart of the VM's process
    MemberState state = MemberState::Alive;
    std::string region;
    std::string zone;
    Address callerAddress;
    Address peerAddress;
    std::uint32_t loadPermille = 0; // running and queued requests per 1000 slots

    // A suspected VM counts as serving until it is declared dead.
    bool isServing() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

using MemberList = std::vector<Member>;

} // namespace basildeck
