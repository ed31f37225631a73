#pragma once

#include "config/Address.h"

#include <netinet/in.h>

namespace basildeck {

// Converts to the form that the socket calls take.
sockaddr_in toSocketAddress(const Address &address);

} // namespace basildeck
