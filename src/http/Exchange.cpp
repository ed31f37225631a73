#include "http/Exchange.h"

#include <array>

namespace basildeck {

std::string_view stageName(Stage stage)
{
    static constexpr std::array<std::string_view, 6> names
            = { "rate", "body", "claim", "queue", "running", "answering" };
    return names.at(static_cast<std::size_t>(stage));
}

} // namespace basildeck
