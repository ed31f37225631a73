#include "core/Members.h"

#include <array>

namespace basildeck {

std::string_view memberStateName(MemberState state)
{
    static constexpr std::array<std::string_view, 4> names
            = { "alive", "suspect", "leaving", "dead" };
    return names.at(static_cast<std::size_t>(state));
}

} // namespace basildeck
