#pragma once

#include "edge/EdgeSettings.h"
#include "edge/JsonHttpClient.h"
#include "store/ObjectProtocol.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace basildeck {

// Registers this VM in the store, by which the others discover it, and removes registrations.
class VmRegistration
{
public:
    static constexpr Duration timeout = milliseconds(1500);
    static constexpr Duration removalTimeout = milliseconds(500);

    // The function is called with the era of each response.
    VmRegistration(EventLoop &loop, const EdgeSettings &settings, const ObjectProtocol &protocol,
                   std::string kind, std::function<void(std::uint64_t era)> onEra);

    // Registers this VM if its registration is missing among those in the store, or differs.
    void check(const std::map<std::string, StoredObject> &stored);
    // The store may have lost the registration, so the next check goes by what the store has.
    void invalidate() { m_isRegistered = false; }
    bool isRegistered() const { return m_isRegistered; }
    bool isBusy() const { return m_client.isBusy(); }
    // Removes the registration of another VM unless it has changed.
    void removeOther(const StoredObject &registration);
    // Removes this VM's registration, and does not register it again.
    void removeOwn(std::function<void()> onRemoved);

private:
    void registerSelf();
    void call(const std::string &method, const std::string &path, const std::string &body,
              Duration callTimeout, JsonHttpClient::ResponseCallback onResponse);

    const EdgeSettings &m_settings;
    const ObjectProtocol &m_protocol;
    std::string m_kind;
    std::function<void(std::uint64_t era)> m_onEra;
    nlohmann::json m_content;
    JsonHttpClient m_client;
    bool m_isRegistered = false;
    bool m_isRemoved = false;
};

} // namespace basildeck
