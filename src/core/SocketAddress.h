#pragma once

#include "config/Address.h"

#include <netinet/in.h>

namespace basildeck {

// An address in the form that system calls take.
sockaddr_in toSocketAddress(const Address &address);

} // namespace basildeck
