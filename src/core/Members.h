#pragma once

#include "config/Address.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// What a VM believes of another one. Later states override earlier ones of the same incarnation.
enum class MemberState { Alive, Suspect, Leaving, Dead };

// "alive", "suspect", "leaving" or "dead".
std::string_view memberStateName(MemberState state);

// One entry VM as the others know it. The incarnation is higher in each later process of a VM.
struct Member
{
    std::string vm;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    std::string region;
    std::string zone;
    Address callerAddress;
    Address peerAddress;
    std::uint32_t loadPermille = 0; // busy share of its slots

    bool isServing() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

using MemberList = std::vector<Member>;

} // namespace basildeck
