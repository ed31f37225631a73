#include "edge/VmRegistration.h"

#include "core/Log.h"

#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "registration";
constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusConflict = 409;

} // namespace

VmRegistration::VmRegistration(EventLoop &loop, const EdgeSettings &settings,
                               const ObjectProtocol &protocol, std::string kind,
                               std::function<void(std::uint64_t era)> onEra)
    : m_settings(settings)
    , m_protocol(protocol)
    , m_kind(std::move(kind))
    , m_onEra(std::move(onEra))
    , m_content({ { "gossip", settings.gossipAddress().toString() },
                  { "relay", settings.relayAddress().toString() },
                  { "region", settings.region },
                  { "memory_bytes", settings.memoryBytes } })
    , m_client(loop)
{
    if (settings.capacity.isKnown()) {
        m_content["link_kbps"] = settings.capacity.linkKbps;
        m_content["processor_permille"] = settings.capacity.processorPermille;
    }
}

void VmRegistration::call(const std::string &method, const std::string &path,
                          const std::string &body, Duration callTimeout,
                          JsonHttpClient::ResponseCallback onResponse)
{
    m_client.call(m_settings.storeAddress, method, path, body, callTimeout,
                  [this, onResponse = std::move(onResponse)](Result<JsonHttpResponse> response) {
                      if (response)
                          m_onEra(response.value().numberField(m_protocol.eraHeader).value_or(0));
                      onResponse(std::move(response));
                  });
}

void VmRegistration::check(const std::map<std::string, StoredObject> &stored)
{
    const auto own = stored.find(m_settings.vmName);
    const bool isCurrent = own != stored.end() && own->second.content == m_content;
    m_isRegistered = isCurrent || (m_isRegistered && own != stored.end());
    if (!m_isRegistered && !m_isRemoved && !isBusy())
        registerSelf();
}

void VmRegistration::registerSelf()
{
    const std::string body = m_protocol.createBody(m_settings.vmName, m_content);
    const std::string path = m_protocol.objectPath(m_kind, m_settings.vmName);
    call("POST", path, body, timeout, [this, path, body](const Result<JsonHttpResponse> &response) {
        const int status = response ? response.value().status : 0;
        if (status == statusOk || status == statusCreated) {
            m_isRegistered = true;
            return;
        }
        if (status == statusConflict) {
            // An earlier process of this VM registered with other addresses.
            call("PUT", path, body, timeout, [this](const Result<JsonHttpResponse> &putResponse) {
                m_isRegistered = putResponse && putResponse.value().status == statusOk;
            });
            return;
        }
        BASILDECK_WARNING(logComponent) << "registration failed status=" << status
                                        << (response ? "" : " " + response.error().detail);
    });
}

void VmRegistration::removeOther(const StoredObject &registration)
{
    if (isBusy())
        return;
    BASILDECK_INFO(logComponent) << "deregistering a VM that is gone vm=" << registration.name
                                 << " revision=" << registration.revision;
    const std::string path = m_protocol.objectPath(m_kind, registration.name)
                             + "?revision=" + std::to_string(registration.revision);
    call("DELETE", path, {}, timeout, [](const Result<JsonHttpResponse> &response) {
        if (!response)
            BASILDECK_WARNING(logComponent)
                    << "deregistration of the VM may have failed " << response.error().detail;
    });
}

void VmRegistration::removeOwn(std::function<void()> onRemoved)
{
    m_isRemoved = true;
    m_client.cancel();
    call("DELETE", m_protocol.objectPath(m_kind, m_settings.vmName), {}, removalTimeout,
         [onRemoved = std::move(onRemoved)](const Result<JsonHttpResponse> &response) {
             if (!response)
                 BASILDECK_WARNING(logComponent)
                         << "own registration may be left behind " << response.error().detail;
             onRemoved();
         });
}

} // namespace basildeck
