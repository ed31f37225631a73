#include "soak/SoakBlackHole.h"

#include "core/SocketAddress.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace basildeck::soak {

namespace {

// More than a queue of length 0 holds.
constexpr int fillingConnections = 4;

int makeSocket()
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

} // namespace

std::unique_ptr<SoakBlackHole> SoakBlackHole::make(const Address &address)
{
    std::unique_ptr<SoakBlackHole> hole(new SoakBlackHole(address));
    const sockaddr_in socketAddress = toSocketAddress(address);
    const auto *raw = reinterpret_cast<const sockaddr *>(&socketAddress);
    const int listener = makeSocket();
    hole->m_descriptors.push_back(listener);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    if (bind(listener, raw, sizeof(socketAddress)) < 0 || listen(listener, 0) < 0)
        return nullptr;
    for (int i = 0; i < fillingConnections; ++i) {
        hole->m_descriptors.push_back(makeSocket());
        static_cast<void>(connect(hole->m_descriptors.back(), raw, sizeof(socketAddress)));
    }
    return hole;
}

SoakBlackHole::~SoakBlackHole()
{
    for (const int descriptor : m_descriptors)
        close(descriptor);
}

} // namespace basildeck::soak
