#include "edge/FleetView.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *part = "fleet";
constexpr Duration writeTimeout = milliseconds(1500);
constexpr Duration leaveTimeout = milliseconds(500);
constexpr Duration copyTimeout = milliseconds(1000);
constexpr int statusOk = 200;
constexpr int statusCreated = 201;
constexpr int statusConflict = 409;

} // namespace

FleetView::FleetView(Parts parts, std::function<void(const FleetConfig &)> configured)
    : m_parts(parts)
    , m_configured(std::move(configured))
    , m_writer(parts.loop)
    , m_copier(parts.loop)
    , m_copyTimer(parts.loop, [this] { fetchCopies(); })
{
    const auto reachable = [this](bool) { noteReachable(); };
    m_replicas.push_back(makeReplica(parts.format.configKind,
                                     { [this](const StoredObject &object) { takeConfig(object); },
                                       [](const std::string &) {}, [] {}, reachable }));
    m_replicas.push_back(makeReplica(
            parts.format.targetKind,
            { [this](const StoredObject &object) { takeTarget(object); },
              [this](const std::string &name) { m_parts.targets.remove(name, m_parts.loop.now()); },
              [] {}, reachable },
            targetPause));
    m_replicas.push_back(
            makeReplica(parts.format.evacuationKind,
                        { [this](const StoredObject &object) {
                             m_parts.targets.setEvacuated(object.name, true, m_parts.loop.now());
                         },
                          [this](const std::string &name) {
                              m_parts.targets.setEvacuated(name, false, m_parts.loop.now());
                          },
                          [] {}, reachable }));
    m_replicas.push_back(
            makeReplica(vmKind, { [](const StoredObject &) {}, [](const std::string &) {},
                                  [this] { takeVms(); }, reachable }));
}

FleetView::~FleetView() = default;

std::unique_ptr<ObjectReplica>
FleetView::makeReplica(const std::string &kind, ObjectReplica::Callbacks callbacks, Duration pause)
{
    return std::make_unique<ObjectReplica>(m_parts.loop, m_parts.protocol,
                                           m_parts.settings.storeAddress, kind,
                                           std::move(callbacks), pause);
}

void FleetView::start()
{
    for (const auto &replica : m_replicas)
        replica->start();
    m_copyTimer.startRepeating(copyPeriod);
}

void FleetView::takeConfig(const StoredObject &object)
{
    if (object.name != m_parts.format.configName)
        return;
    auto config = m_parts.format.parseConfig(object);
    if (!config) {
        BASILDECK_ERROR(part) << "configuration is not readable revision=" << object.revision
                              << " reason=\"" << config.error().detail << '"';
        return;
    }
    m_routing = std::make_shared<RoutingTable>(std::move(config.value()), object.revision);
    useConfig();
}

// Without the list of VMs the part of quotas that this VM may use is not known.
void FleetView::useConfig()
{
    if (!m_routing || replica(vmKind)->revision() == 0)
        return;
    m_parts.targets.setServices(m_routing->config());
    m_parts.forwarder.setRouting(m_routing);
    m_configured(m_routing->config());
    m_isConfigured = true;
    BASILDECK_INFO(part) << "configuration in force revision=" << m_routing->revision()
                         << " routes=" << m_routing->config().routes.size()
                         << " organisations=" << m_routing->config().organisations.size();
}

void FleetView::takeTarget(const StoredObject &object)
{
    const auto target = m_parts.format.parseTarget(object);
    if (target) {
        m_parts.targets.store(target.value(), m_parts.loop.now());
        return;
    }
    BASILDECK_WARNING(part) << "entry names no target name=" << object.name
                            << " revision=" << object.revision << " reason=\""
                            << target.error().detail << '"';
    m_parts.targets.remove(object.name, m_parts.loop.now());
}

void FleetView::takeVms()
{
    std::map<std::string, std::string> addresses;
    for (const auto &[name, object] : replica(vmKind)->objects()) {
        const auto gossip = object.content.find("gossip");
        if (gossip != object.content.end() && gossip->is_string())
            addresses[name] = gossip->get<std::string>();
    }
    const auto own = addresses.find(m_parts.settings.vmName);
    m_isRegistered = m_isRegistered && own != addresses.end();
    const bool isCurrent
            = own != addresses.end() && own->second == m_parts.settings.gossipAddress().toString();
    if (!isCurrent && !m_leaving)
        registerSelf();
    m_parts.peers.setRegistered(std::move(addresses), m_parts.loop.now());
    if (!m_isConfigured)
        useConfig();
}

void FleetView::registerSelf()
{
    if (m_writer.isBusy() || m_isRegistered)
        return;
    const nlohmann::json content = {
        { "gossip", m_parts.settings.gossipAddress().toString() },
        { "region", m_parts.settings.region },
    };
    const std::string body = m_parts.protocol.createBody(m_parts.settings.vmName, content);
    const std::string path = m_parts.protocol.objectPath(vmKind, m_parts.settings.vmName);
    m_writer.call(m_parts.settings.storeAddress, "POST", path, body, writeTimeout,
                  [this, path, body](const Result<CallAnswer> &answer) {
                      const int status = answer ? answer.value().status : 0;
                      if (status == statusOk || status == statusCreated) {
                          m_isRegistered = true;
                          return;
                      }
                      if (status == statusConflict) {
                          // An earlier process of this VM had another address.
                          m_writer.call(m_parts.settings.storeAddress, "PUT", path, body,
                                        writeTimeout, [this](const Result<CallAnswer> &put) {
                                            m_isRegistered = put && put.value().status == statusOk;
                                        });
                          return;
                      }
                      BASILDECK_WARNING(part) << "registration failed status=" << status
                                              << (answer ? "" : " " + answer.error().detail);
                  });
}

// Parts of quotas stay reserved for registered VMs, so those that are gone for good are removed.
// One that comes back registers again.
void FleetView::removeGoneVm()
{
    const auto gone = m_parts.peers.vmToDeregister(m_parts.loop.now());
    const ObjectReplica &vms = *replica(vmKind);
    if (!gone || m_writer.isBusy() || !vms.isReachable())
        return;
    const auto object = vms.objects().find(*gone);
    if (object == vms.objects().end())
        return;
    BASILDECK_INFO(part) << "removes a VM that is gone vm=" << *gone
                         << " revision=" << object->second.revision;
    const std::string path = m_parts.protocol.objectPath(vmKind, *gone)
                             + "?revision=" + std::to_string(object->second.revision);
    m_writer.call(m_parts.settings.storeAddress, "DELETE", path, {}, writeTimeout,
                  [](const Result<CallAnswer> &answer) {
                      if (!answer)
                          BASILDECK_WARNING(part)
                                  << "may not have been removed " << answer.error().detail;
                  });
}

void FleetView::leave(std::function<void()> left)
{
    m_leaving = true;
    m_copyTimer.stop();
    for (const auto &replica : m_replicas) {
        if (replica->kind() == vmKind)
            replica->stop();
    }
    m_writer.cancel();
    m_writer.call(m_parts.settings.storeAddress, "DELETE",
                  m_parts.protocol.objectPath(vmKind, m_parts.settings.vmName), {}, leaveTimeout,
                  [left = std::move(left)](const Result<CallAnswer> &answer) {
                      if (!answer)
                          BASILDECK_WARNING(part)
                                  << "own object may be left behind " << answer.error().detail;
                      left();
                  });
}

ObjectReplica *FleetView::replica(const std::string &kind) const
{
    const auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
                                    [&](const auto &r) { return r->kind() == kind; });
    return found == m_replicas.end() ? nullptr : found->get();
}

void FleetView::noteReachable()
{
    const bool allReached = std::all_of(m_replicas.begin(), m_replicas.end(),
                                        [](const auto &r) { return r->isReachable(); });
    m_parts.targets.setStoreReached(allReached, m_parts.loop.now());
}

std::map<std::string, std::uint64_t> FleetView::revisions() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &replica : m_replicas)
        result[replica->kind()] = replica->changeRevision();
    return result;
}

std::uint64_t FleetView::storeCalls() const
{
    std::uint64_t calls = 0;
    for (const auto &replica : m_replicas)
        calls += replica->calls();
    return calls;
}

std::string FleetView::copyText(const std::string &kind) const
{
    const ObjectReplica *wanted = replica(kind);
    if (wanted == nullptr || wanted->revision() == 0)
        return {};
    nlohmann::json objects = nlohmann::json::object();
    for (const auto &[name, object] : wanted->objects())
        objects[name] = { { "revision", object.revision }, { "content", object.content } };
    return nlohmann::json{
        { "revision", wanted->revision() }, { "objects", std::move(objects) }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void FleetView::fetchCopies()
{
    if (!m_isRegistered && !m_leaving && replica(vmKind)->isReachable())
        takeVms();
    if (!m_leaving)
        removeGoneVm();
    if (m_copier.isBusy())
        return;
    for (const auto &replica : m_replicas) {
        const Time now = m_parts.loop.now();
        const Heartbeat *peer
                = m_parts.peers.peerWithNewestCopy(replica->kind(), replica->revision(), now);
        if (peer == nullptr) {
            m_behindSince.erase(replica->kind());
            continue;
        }
        const Time behindSince = m_behindSince.try_emplace(replica->kind(), now).first->second;
        if (replica->isReachable() && now - behindSince < longestLag)
            continue;
        const auto address = Address::parse(peer->relayAddress);
        if (!address)
            continue;
        m_copier.call(address.value(), "GET", "/copies/" + replica->kind(), {}, copyTimeout,
                      [this, kind = replica->kind()](const Result<CallAnswer> &answer) {
                          takeCopy(kind, answer);
                      });
        return;
    }
}

void FleetView::takeCopy(const std::string &kind, const Result<CallAnswer> &answer)
{
    if (!answer || answer.value().status != statusOk) {
        BASILDECK_WARNING(part) << "no copy from another VM kind=" << kind << ' '
                                << (answer ? std::to_string(answer.value().status)
                                           : answer.error().detail);
        return;
    }
    try {
        const auto text = nlohmann::json::parse(answer.value().body);
        std::map<std::string, StoredObject> objects;
        for (const auto &[name, object] : text.at("objects").items())
            objects[name]
                    = { name, object.at("revision").get<std::uint64_t>(), object.at("content") };
        const auto revision = text.at("revision").get<std::uint64_t>();
        if (replica(kind)->adopt(std::move(objects), revision))
            BASILDECK_INFO(part) << "took over a copy of another VM kind=" << kind
                                 << " revision=" << revision;
    } catch (const nlohmann::json::exception &error) {
        BASILDECK_WARNING(part) << "unreadable copy of another VM kind=" << kind << ' '
                                << error.what();
    }
    fetchCopies();
}

} // namespace basildeck
