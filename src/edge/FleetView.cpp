#include "edge/FleetView.h"

#include "core/Hash.h"
#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "fleet";
constexpr Duration catchUpTimeout = milliseconds(1000);
constexpr int statusOk = 200;

// Returns an empty text if the field is missing or not a text.
std::string textField(const nlohmann::json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string();
}

// Returns zero if the field is missing or not a positive number.
std::uint64_t numberField(const nlohmann::json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_number_unsigned() ? field->get<std::uint64_t>() : 0;
}

} // namespace

FleetView::FleetView(Dependencies dependencies, Callbacks callbacks)
    : m_dependencies(dependencies)
    , m_callbacks(std::move(callbacks))
    , m_relaySelection(dependencies.settings.vmName, dependencies.settings.region)
    , m_relay(dependencies.loop, m_replicas)
    , m_follower(
              dependencies.loop, m_relaySelection, m_replicas,
              { [this](const std::string &vm) { return m_dependencies.peers.relayAddressOf(vm); },
                [this] { updateRole(); } })
    , m_registration(dependencies.loop, dependencies.settings, dependencies.protocol, vmKind,
                     [this](std::uint64_t era) { raiseEra(era); })
    , m_catchUpClient(dependencies.loop)
    , m_timer(dependencies.loop, [this] { tick(); })
    , m_roleTimer(dependencies.loop, [this] { updateRole(); })
{
    m_catchUpClient.acceptGzip();
    m_catchUpClient.setTransferTimes(ReplicaFollower::responseTimeout,
                                     ReplicaFollower::maxTransferTime);
    const FleetObjectFormat &format = dependencies.format;
    addReplica(format.configKind, configSettlingTimes, format.configOrder,
               { [this](const StoredObject &object) { handleConfig(object); },
                 [](const std::string &) {} });
    addReplica(format.targetKind, targetSettlingTimes, format.targetOrder,
               { [this](const StoredObject &object) { handleTarget(object); },
                 [this](const std::string &name) {
                     m_dependencies.targets.remove(name, m_dependencies.loop.now());
                 } });
    addReplica(format.evacuationKind, evacuationSettlingTimes, {},
               { [this](const StoredObject &object) {
                    m_dependencies.targets.setEvacuated(object.name, true,
                                                        m_dependencies.loop.now());
                },
                 [this](const std::string &name) {
                     m_dependencies.targets.setEvacuated(name, false, m_dependencies.loop.now());
                 } });
    addReplica(vmKind, vmSettlingTimes, {},
               { [](const StoredObject &) {}, [](const std::string &) {} });
    m_dependencies.forwarder.setConfigAge(
            [&config = *replica(format.configKind)] { return config.confirmedAge(); },
            oldConfigAge);
}

FleetView::~FleetView()
{
    m_dependencies.forwarder.setConfigAge({}, oldConfigAge);
}

void FleetView::addReplica(const std::string &kind,
                           RestoredObjectFilter::SettlingTimes settlingTimes,
                           const ObjectOrder &order,
                           const RestoredObjectFilter::Callbacks &callbacks)
{
    EventLoop &loop = m_dependencies.loop;
    RestoredObjectFilter &filter
            = m_filters.try_emplace(kind, kind, settlingTimes, order, callbacks).first->second;
    ObjectReplica::Callbacks replicaCallbacks{
        [&](const StoredObject &object) { filter.stored(object, loop.now()); },
        [&](const std::string &name) { filter.deleted(name, loop.now()); },
        [this, isVmKind = kind == vmKind] {
            if (isVmKind)
                handleVms();
            handleBatch();
        },
        [this](bool) { m_roleTimer.startOnce(Duration::zero()); },
        [&](const auto &objects) { filter.restored(objects, loop.now()); },
        [this](std::uint64_t era) { raiseEra(era); },
        [this] { renewWatches(); },
    };
    WatchTimes times = watchTimes(m_dependencies.settings.vmName, kind);
    if (kind == m_dependencies.format.targetKind)
        times.delay = targetWatchDelay;
    m_replicas.push_back(std::make_unique<ObjectReplica>(loop, m_dependencies.protocol,
                                                         m_dependencies.settings.storeAddress, kind,
                                                         std::move(replicaCallbacks), times));
}

void FleetView::settle()
{
    const Time now = m_dependencies.loop.now();
    for (auto &[kind, filter] : m_filters) {
        if (!receivesChanges(*replica(kind)))
            filter.postpone(now);
        else if (filter.tick(now) && kind == vmKind)
            handleVms();
    }
}

void FleetView::start()
{
    // The other kinds follow once the role of this VM is decided.
    replica(vmKind)->start();
    m_timer.startRepeating(tickPeriod);
}

void FleetView::raiseEra(std::uint64_t era)
{
    if (era <= m_storeEra)
        return;
    m_storeEra = era;
    m_registration.invalidate();
    for (const auto &replica : m_replicas)
        replica->raiseEra(era);
}

void FleetView::handleBatch()
{
    m_relay.publish();
    if (m_relay.isServing() && !m_relaySelection.relays().empty())
        m_callbacks.onRelayChanged();
}

void FleetView::renewWatches()
{
    const Time now = m_dependencies.loop.now();
    if (now - m_watchesRenewedAt < ObjectReplica::callTimeout)
        return;
    m_watchesRenewedAt = now;
    for (const auto &replica : m_replicas)
        replica->renewWatch(now);
}

WatchTimes FleetView::watchTimes(const std::string &vm, const std::string &kind)
{
    const WatchLimits &limits = kind == vmKind ? vmWatchLimits : watchLimits;
    const std::uint64_t hash = stableHash(vm, kind);
    WatchTimes times;
    times.maxWait = limits.maxWait
                    - milliseconds(hash % static_cast<std::uint64_t>(limits.spread.count()));
    times.firstWait = times.maxWait / limits.firstWaitDivisor;
    return times;
}

bool FleetView::isStoreReachedDirectly() const
{
    return std::all_of(m_replicas.begin(), m_replicas.end(),
                       [](const auto &replica) { return replica->isReachable(); });
}

bool FleetView::receivesChanges(const ObjectReplica &replica) const
{
    return replica.isReachable() || m_follower.isFollowing();
}

void FleetView::updateRole()
{
    const ObjectReplica &vms = *replica(vmKind);
    if (m_isDeregistering || !vms.isListed())
        return;
    const Time now = m_dependencies.loop.now();
    m_relaySelection.setVms(m_dependencies.peers.registeredVms());
    if (!m_hasRole) {
        m_listedAt = m_listedAt.value_or(now);
        const bool isListed = vms.objects().contains(m_dependencies.settings.vmName);
        if (!isListed && now - *m_listedAt < registrationSettleTime)
            return;
        m_hasRole = true;
    }
    const bool isWatching = m_relaySelection.isWatching();
    for (const auto &replica : m_replicas)
        isWatching ? replica->start() : replica->stop();
    const bool isDirect = isWatching && isStoreReachedDirectly();
    m_relay.setServing(isDirect);
    m_follower.setActive(!isDirect && !m_relaySelection.relays().empty());
    updateStoreReachability();
}

void FleetView::handleConfig(const StoredObject &object)
{
    if (object.name != m_dependencies.format.configName)
        return;
    auto config = m_dependencies.format.parseConfig(object);
    if (!config) {
        BASILDECK_ERROR(logComponent) << "invalid configuration revision=" << object.revision
                                      << " reason=\"" << config.error().detail << '"';
        return;
    }
    m_routing = std::make_shared<RoutingTable>(std::move(config.value()), object.revision);
    activateConfig();
}

// Without the list of VMs, this VM's share of the quotas is unknown.
void FleetView::activateConfig()
{
    if (!m_routing || !replica(vmKind)->isListed())
        return;
    m_dependencies.targets.setServices(m_routing->config());
    m_dependencies.forwarder.setRouting(m_routing);
    m_callbacks.onConfig(m_routing->config());
    m_isConfigured = true;
    BASILDECK_INFO(logComponent) << "configuration activated revision=" << m_routing->revision()
                                 << " routes=" << m_routing->config().routes.size()
                                 << " organisations=" << m_routing->config().organisations.size();
}

void FleetView::handleTarget(const StoredObject &object)
{
    const auto target = m_dependencies.format.parseTarget(object);
    if (target) {
        m_dependencies.targets.registerTarget(target.value(), m_dependencies.loop.now());
        return;
    }
    BASILDECK_WARNING(logComponent)
            << "invalid target entry name=" << object.name << " revision=" << object.revision
            << " reason=\"" << target.error().detail << '"';
    m_dependencies.targets.remove(object.name, m_dependencies.loop.now());
}

void FleetView::handleVms()
{
    std::map<std::string, RegisteredVm> vms;
    for (const auto &[name, object] : m_filters.at(vmKind).objects()) {
        const auto gossip = object.content.find("gossip");
        if (gossip != object.content.end() && gossip->is_string())
            vms[name] = { gossip->get<std::string>(),
                          textField(object.content, "relay"),
                          textField(object.content, "region"),
                          numberField(object.content, "memory_bytes"),
                          { numberField(object.content, "link_kbps"),
                            numberField(object.content, "processor_permille") } };
    }
    m_registration.check(replica(vmKind)->objects());
    m_dependencies.peers.setRegistered(std::move(vms), m_dependencies.loop.now());
    m_roleTimer.startOnce(Duration::zero());
    if (!m_isConfigured)
        activateConfig();
}

// Quota shares stay reserved for registered VMs, so VMs that were lost for good are deregistered. A
// VM that returns registers itself again.
void FleetView::deregisterLostVm()
{
    const ObjectReplica &vms = *replica(vmKind);
    // The revisions of an earlier era may be those of other states by now.
    if (!receivesChanges(vms) || vms.isOfEarlierEra())
        return;
    std::set<std::string> left;
    for (const StoredObject &object : m_filters.at(vmKind).broughtBackByCopy(
                 m_dependencies.loop.now(), m_dependencies.peers.reachabilityTimeout()))
        left.insert(object.name);
    const auto lostVm = m_dependencies.peers.vmToDeregister(m_dependencies.loop.now(), left);
    const auto object = vms.objects().find(lostVm.value_or(std::string()));
    if (object != vms.objects().end())
        m_registration.removeOther(object->second);
}

void FleetView::deregister(std::function<void()> onDeregistered)
{
    m_isDeregistering = true;
    m_timer.stop();
    m_relay.setServing(false);
    replica(vmKind)->stop();
    m_registration.removeOwn(std::move(onDeregistered));
}

ObjectReplica *FleetView::replica(const std::string &kind) const
{
    const auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
                                    [&](const auto &r) { return r->kind() == kind; });
    return found == m_replicas.end() ? nullptr : found->get();
}

void FleetView::updateStoreReachability()
{
    m_dependencies.targets.setStoreReachable(isStoreReachedDirectly() || m_follower.isFollowing(),
                                             m_dependencies.loop.now());
}

std::map<std::string, StoreVersion> FleetView::versions() const
{
    std::map<std::string, StoreVersion> result;
    for (const auto &replica : m_replicas)
        result[replica->kind()] = replica->lastChange();
    return result;
}

std::uint64_t FleetView::storeCallCount() const
{
    std::uint64_t calls = 0;
    for (const auto &replica : m_replicas)
        calls += replica->callCount();
    return calls;
}

std::map<std::string, Duration> FleetView::storeCallAges() const
{
    std::map<std::string, Duration> ages;
    for (const auto &replica : m_replicas)
        ages[replica->kind()] = replica->callAge();
    return ages;
}

std::map<std::string, Duration> FleetView::confirmedAges() const
{
    std::map<std::string, Duration> ages;
    for (const auto &replica : m_replicas) {
        if (const auto age = replica->confirmedAge())
            ages[replica->kind()] = *age;
    }
    return ages;
}

void FleetView::tick()
{
    settle();
    updateRole();
    if (!m_registration.isRegistered() && !m_isDeregistering && receivesChanges(*replica(vmKind)))
        handleVms();
    if (!m_isDeregistering)
        deregisterLostVm();
    fetchNewerChanges();
}

const Heartbeat *FleetView::peerToCatchUpWith(Time now)
{
    const Heartbeat *peer = nullptr;
    for (const auto &replica : m_replicas) {
        const Heartbeat *newer = m_dependencies.peers.peerWithNewestReplica(
                replica->kind(), replica->version(), now, m_unhelpfulPeers);
        if (newer == nullptr) {
            m_lags.erase(replica->kind());
            continue;
        }
        const Lag lagFromNow{ now, newer->versions.at(replica->kind()) };
        Lag &lag = m_lags.try_emplace(replica->kind(), lagFromNow).first->second;
        // While changes go on, some VM is always a little ahead.
        if (replica->version() >= lag.announced)
            lag = lagFromNow;
        if (receivesChanges(*replica) && now - lag.since < maxReplicaLag)
            continue;
        peer = newer;
        replica->renewWatch(lag.since);
    }
    return peer;
}

void FleetView::fetchNewerChanges()
{
    // A large response that arrives may be what this VM lacks.
    if (m_catchUpClient.isBusy() || m_follower.isReceiving())
        return;
    const Time now = m_dependencies.loop.now();
    const Heartbeat *peer = peerToCatchUpWith(now);
    if (peer == nullptr) {
        m_unhelpfulPeers.clear();
        return;
    }
    const auto address = Address::parse(peer->relayAddress);
    if (!address)
        return;
    m_catchUpClient.call(address.value(), "GET", ReplicaRelay::catchUpRequestPath(m_replicas), {},
                         catchUpTimeout,
                         [this, vm = peer->vm, now](const Result<JsonHttpResponse> &response) {
                             handleNewerChanges(vm, now, response);
                         });
}

void FleetView::handleNewerChanges(const std::string &vm, Time requestedAt,
                                   const Result<JsonHttpResponse> &response)
{
    // Whatever the outcome, the next request goes to another VM.
    m_unhelpfulPeers.insert(vm);
    if (!response || response.value().status != statusOk) {
        BASILDECK_WARNING(logComponent)
                << "no changes from another VM vm=" << vm << ' '
                << (response ? "status " + std::to_string(response.value().status)
                             : response.error().detail);
        return;
    }
    const auto before = versions();
    if (!ReplicaRelay::apply(response.value().body, m_replicas, requestedAt)
        || versions() == before)
        return;
    BASILDECK_INFO(logComponent) << "caught up with another VM vm=" << vm;
    if (m_follower.isFollowing())
        m_follower.skipRelay();
}

} // namespace basildeck
