#pragma once

#include "edge/ForwardedRequest.h"

#include <cstddef>
#include <string>

namespace basildeck::soak {

// The bytes of a response that a faulty target goes on with until its connection is closed.
struct EndlessResponse
{
    std::string start;    // from the status line
    std::string repeated; // without end

    // The number of variants, in which something else has no end.
    static constexpr std::size_t variantCount = 9;
    // A target gives up after this much.
    static constexpr std::size_t maxBytes = 16 * 1024 * 1024;

    // The head and the body are those of a complete response. The head has neither a length nor an
    // empty line.
    static EndlessResponse make(std::size_t variant, const std::string &head,
                                const std::string &body);
};

} // namespace basildeck::soak
