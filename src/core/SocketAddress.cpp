#include "core/SocketAddress.h"

#include <arpa/inet.h>

namespace basildeck {

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

} // namespace basildeck
