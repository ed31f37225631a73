#include "peer/PeerTask.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "peer/PeerSockets.h"

#include <algorithm>
#include <chrono>

namespace basildeck {

namespace {

constexpr const char *component = "peer";
constexpr milliseconds maxPollWait{ 20 };
constexpr Duration seedContactInterval = milliseconds(500);
constexpr Duration rolesInterval = milliseconds(250);
constexpr Duration publishInterval = milliseconds(100);
constexpr std::size_t announcementFanOut = 3;
// A VM without evidence that the store was reached within this time watches the store itself,
// whether or not it is its zone's watcher.
constexpr Duration fallbackWatchDelay = milliseconds(1200);
// Delay before a new process may propose holders, so that it has learnt of the other VMs first.
constexpr Duration proposalDelay = milliseconds(2500);
// Pings that are sent for other VMs are numbered from here, apart from those of this VM's own
// probes.
constexpr std::uint64_t firstForwardedSequence = 1ULL << 62;

std::uint64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

std::int64_t unixSeconds()
{
    return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

Member makeSelf(const Settings &settings)
{
    return { settings.vmName, wallClockMs(),          MemberState::Alive,   settings.region,
             settings.zone,   settings.callerAddress, settings.peerAddress, 0 };
}

std::int64_t toWireAge(Duration age)
{
    return age == Duration::max() ? -1 : std::chrono::duration_cast<milliseconds>(age).count();
}

Duration fromWireAge(std::int64_t age)
{
    return age < 0 ? Duration::max() : Duration(milliseconds(age));
}

// Returns the names of the serving members that satisfy a condition.
template <typename Condition>
std::vector<std::string> servingNames(const MemberList &members, Condition condition)
{
    std::vector<std::string> names;
    for (const Member &member : members) {
        if (member.isServing() && condition(member))
            names.push_back(member.vm);
    }
    return names;
}

} // namespace

std::unique_ptr<PeerTask> PeerTask::make(const Settings &settings, Mailbox<FrontMessage> &front,
                                         Mailbox<StoreMessage> &store)
{
    std::unique_ptr<PeerTask> task(new PeerTask(settings, front, store));
    PeerTask *self = task.get();
    PeerSockets::Callbacks callbacks;
    callbacks.onDatagram = [self](std::string_view bytes) { self->onDatagram(bytes); };
    callbacks.onRequest = [self](std::string_view bytes) { return self->onSyncRequest(bytes); };
    callbacks.onResponse
            = [self](std::uint64_t id, std::string_view bytes) { self->onSyncResponse(id, bytes); };
    task->m_sockets = PeerSockets::make(settings.peerAddress, std::move(callbacks));
    if (!task->m_sockets)
        return nullptr;
    task->m_mailbox.setWake([self] { self->m_sockets->wake(); });
    return task;
}

PeerTask::PeerTask(const Settings &settings, Mailbox<FrontMessage> &front,
                   Mailbox<StoreMessage> &store)
    : m_settings(settings)
    , m_front(front)
    , m_store(store)
    , m_membership(makeSelf(settings), stableHash(settings.vmName, std::to_string(wallClockMs())))
    , m_evidence(settings.region == settings.storeRegion, Clock::now())
    , m_holderView(settings.vmName)
    , m_nextForwardedSequence(firstForwardedSequence)
    , m_started(Clock::now())
{}

PeerTask::~PeerTask() = default;

void PeerTask::run()
{
    while (!m_stopped.load()) {
        m_sockets->processEvents(maxPollWait);
        const Time now = Clock::now();
        for (PeerMessage &message : m_mailbox.takeAll())
            handleMessage(std::move(message), now);
        tick(now);
    }
}

void PeerTask::stop()
{
    m_stopped.store(true);
    m_sockets->wake();
}

void PeerTask::tick(Time now)
{
    const Membership::Probes probes = m_membership.tick(now);
    for (const Membership::PingTo &ping : probes.pings)
        send(ping.vm, ping.ping);
    for (const Membership::PingRequestTo &request : probes.requests)
        send(request.vm, request.request);
    std::erase_if(m_forwardedPings, [&](const auto &entry) {
        return now - entry.second.sent > Membership::probeTimeout;
    });
    contactSeeds(now);
    expireExceptions();
    publishUpdates(now);
    m_statistics.bytesSent = m_sockets->bytesSent();
    m_statistics.bytesReceived = m_sockets->bytesReceived();
}

// Contacts the seed peers while no other VM is known or there is no configuration.
void PeerTask::contactSeeds(Time now)
{
    const bool noPeerKnown = m_membership.members().size() < 2;
    if ((!noPeerKnown && m_config.version().exists())
        || now - m_lastSeedContact < seedContactInterval)
        return;
    m_lastSeedContact = now;
    for (const Address &seed : m_settings.seedPeers) {
        if (seed == m_settings.peerAddress)
            continue;
        if (noPeerKnown)
            sendTo(seed, "", Ping{ 0 });
        if (!m_pendingSync)
            startSync(seed, true);
    }
}

void PeerTask::publishUpdates(Time now)
{
    if (now - m_lastPublish >= publishInterval || m_publishedRevision != m_membership.revision()) {
        m_lastPublish = now;
        m_publishedRevision = m_membership.revision();
        m_front.post(MembersChanged{ m_membership.members() });
        m_front.post(KeyAcceptanceDeadline{ m_evidence.serveUntil() });
    }
    if (now - m_lastRolesPublish >= rolesInterval)
        publishRoles(now);
}

void PeerTask::publishRoles(Time now)
{
    m_lastRolesPublish = now;
    const MemberList members = m_membership.members();
    const auto zoneMembers = servingNames(
            members, [&](const Member &member) { return member.zone == m_settings.zone; });
    const auto servingMembers = servingNames(members, [](const Member &) { return true; });
    StoreRoles roles;
    const auto isSelected = [&](const std::string &item, const std::vector<std::string> &names) {
        return !names.empty() && names[rendezvousPick(item, names)] == m_settings.vmName;
    };
    const bool storeEvidenceStale = m_evidence.ages(now).sinceSuccess > fallbackWatchDelay;
    roles.isStoreWatcher = isSelected("watch", zoneMembers) || storeEvidenceStale;
    roles.isHolderProposer
            = now - m_started >= proposalDelay && isSelected("propose", servingMembers);
    roles.liveVms = servingMembers;
    for (const Member &member : members) {
        if (member.state == MemberState::Leaving)
            roles.leavingVms.push_back(member.vm);
    }
    for (const Member &member : members)
        roles.regionOfVm[member.vm] = member.region;
    roles.holderVersion = m_holderTable.version;
    roles.holderChangeComplete = m_holderView.complete();
    m_store.post(std::move(roles));
}

void PeerTask::handleMessage(PeerMessage message, Time now)
{
    std::visit(Overloaded{
                       [&](ConfigDocument &document) {
                           applyConfig(document.version, std::move(document.text));
                       },
                       [&](HolderTableChanged &changed) { applyHolderTable(changed.table); },

                       [&](StoreContactSucceeded &) { m_evidence.recordSuccess(now); },
                       [&](StoreContactFailed &) { m_evidence.recordFailure(now); },
                       [&](OutgoingFrontPayload &to) {
                           if (const auto *report = std::get_if<CrashReport>(&to.payload))
                               m_crashes.addReport(*report, now);
                           if (to.vm == m_settings.vmName) {
                               m_front.post(ReceivedFrontPayload{ to.vm, std::move(to.payload) });
                               return;
                           }
                           if (!to.vm.empty()) {
                               send(to.vm, std::move(to.payload));
                               return;
                           }
                           for (const Member &member : m_membership.members()) {
                               if (member.vm != m_settings.vmName && member.isServing())
                                   send(member.vm, to.payload);
                           }
                       },
                       [&](OutgoingStorePayload &to) {
                           if (to.vm == m_settings.vmName)
                               m_store.post(ReceivedStorePayload{ to.vm, std::move(to.payload) });
                           else
                               send(to.vm, std::move(to.payload));
                       },
                       [&](FrontReport &report) {
                           m_membership.setOwnLoad(report.loadPermille);
                           m_acknowledgedHolderVersion = report.acknowledgedHolderVersion;
                           m_holderView.acknowledge(m_settings.vmName,
                                                    report.acknowledgedHolderVersion);
                       },
                       [&](LeaveRequested &) {
                           m_membership.leave();
                           announceUpdate();
                       },
                       [&](FrontDrained &) { stop(); },
               },
               message);
}

void PeerTask::applyConfig(const StoreVersion &version, std::shared_ptr<const std::string> text)
{
    if (version <= m_config.version())
        return;
    auto parsed = FleetConfig::parse(*text, unixSeconds());
    if (!parsed) {
        BASILDECK_ERROR(component)
                << "configuration version " << version.revision << " of store era " << version.era
                << " rejected: " << parsed.error().detail;
        return;
    }
    m_config.add(version, text);
    m_statistics.configEra = version.era;
    m_statistics.configVersion = version.revision;
    m_nextExceptionExpiry = parsed.value().nextExceptionExpiry(unixSeconds());
    m_front.post(ActiveConfig{ version,
                               std::make_shared<const FleetConfig>(std::move(parsed.value())) });
    m_admin->post(ConfigDocument{ version, text });
    m_store.post(ConfigDocument{ version, std::move(text) });
    BASILDECK_INFO(component) << "configuration version " << version.revision << " of store era "
                              << version.era << " applied";
    announceUpdate();
}

// Applies the current document again, without the exceptions that have expired.
void PeerTask::expireExceptions()
{
    if (!m_nextExceptionExpiry || unixSeconds() < *m_nextExceptionExpiry)
        return;
    auto parsed = FleetConfig::parse(*m_config.text(), unixSeconds());
    m_nextExceptionExpiry.reset();
    if (!parsed)
        return;
    m_nextExceptionExpiry = parsed.value().nextExceptionExpiry(unixSeconds());
    m_front.post(ActiveConfig{ m_config.version(),
                               std::make_shared<const FleetConfig>(std::move(parsed.value())) });
    BASILDECK_INFO(component) << "an exception has expired";
}

void PeerTask::applyHolderTable(const HolderTable &table)
{
    if (table.version <= m_holderTable.version)
        return;
    m_holderTable = table;
    m_holderView.setTable(table);
    m_front.post(HolderTableChanged{ table });
    m_store.post(HolderTableChanged{ table });
    announceUpdate();
}

// Pings a few random VMs. The packet header tells them that this VM has newer state; they fetch it
// and announce it in turn.
void PeerTask::announceUpdate()
{
    for (const std::string &vm : m_membership.randomLiveMembers(announcementFanOut))
        send(vm, Ping{ 0 });
}

PacketHeader PeerTask::header(Time now) const
{
    PacketHeader header;
    header.sender = m_settings.vmName;
    header.incarnation = m_membership.self().incarnation;
    header.configVersion = m_config.version();
    header.holderVersion = m_holderTable.version;
    header.acknowledgedHolderVersion = m_acknowledgedHolderVersion;
    header.loadPermille = m_membership.self().loadPermille;
    const StoreContactAges ages = m_evidence.ages(now);
    header.storeReachedAgeMs = toWireAge(ages.sinceSuccess);
    header.storeDownAgeMs = toWireAge(ages.sinceRegionalFailure);
    header.membersDigest = m_membership.digest();
    return header;
}

void PeerTask::send(const std::string &vm, PacketBody body)
{
    const Member *member = m_membership.find(vm);
    if (member != nullptr)
        sendTo(member->peerAddress, vm, std::move(body));
}

void PeerTask::sendTo(const Address &address, const std::string &vm, PacketBody body)
{
    Packet packet{ header(Clock::now()), m_membership.takeUpdates(vm), std::move(body) };
    const std::string bytes = encodePacket(packet);
    if (bytes.size() > maxPacketBytes) {
        BASILDECK_WARNING(component)
                << "dropped a packet of " << bytes.size() << " bytes: too large";
        return;
    }
    ++m_statistics.packetsSent;
    m_sockets->sendDatagram(address, bytes);
}

void PeerTask::onDatagram(std::string_view bytes)
{
    const auto packet = decodePacket(bytes);
    if (!packet) {
        ++m_statistics.packetsRefused;
        return;
    }
    const Time now = Clock::now();
    for (const Member &member : packet->updates)
        m_membership.applyUpdate(member, now);
    m_membership.onMessageFrom(packet->header.sender, packet->header.incarnation, now);
    handleHeader(packet->header, now);
    handleBody(*packet, now);
}

void PeerTask::handleHeader(const PacketHeader &header, Time now)
{
    m_membership.setLoad(header.sender, header.loadPermille);
    // The sender's evidence holds for its own configuration. It says nothing here if that is newer
    // than this VM's.
    if (header.configVersion <= m_config.version())
        m_evidence.mergePeerAges(
                { fromWireAge(header.storeReachedAgeMs), fromWireAge(header.storeDownAgeMs) }, now);
    m_holderView.acknowledge(header.sender, header.acknowledgedHolderVersion);
    StoreVersion &acknowledged = m_acknowledgedVersions[header.sender];
    if (header.acknowledgedHolderVersion > acknowledged) {
        acknowledged = header.acknowledgedHolderVersion;
        m_front.post(HolderTableAcknowledged{ header.sender, acknowledged });
    }
    const Member *member = m_membership.find(header.sender);
    const bool hasNewerState = header.configVersion > m_config.version()
                               || header.holderVersion > m_holderTable.version;
    if (member == nullptr || m_pendingSync)
        return;
    const bool includeMembers = m_membership.needsFullSync(header.membersDigest, now);
    if (hasNewerState || includeMembers)
        startSync(member->peerAddress, includeMembers);
}

void PeerTask::handleBody(const Packet &packet, Time now)
{
    const std::string &from = packet.header.sender;
    std::visit(Overloaded{
                       [&](const Ping &ping) { send(from, Ack{ ping.sequence }); },
                       [&](const Ack &ack) { onAck(from, ack, now); },
                       [&](const PingRequest &request) {
                           const std::uint64_t forwardedSequence = m_nextForwardedSequence++;
                           m_forwardedPings[forwardedSequence] = { from, request.sequence, now };
                           send(request.target, Ping{ forwardedSequence });
                       },
                       [&](const IndirectAck &ack) {
                           m_membership.acknowledged(ack.target, ack.sequence, now);
                       },
                       [&](const FrontPayload &payload) {
                           if (const auto *report = std::get_if<CrashReport>(&payload))
                               m_crashes.addReport(*report, now);
                           m_front.post(ReceivedFrontPayload{ from, payload });
                       },
                       [&](const StorePayload &payload) {
                           m_store.post(ReceivedStorePayload{ from, payload });
                       },
               },
               packet.body);
}

void PeerTask::onAck(const std::string &from, const Ack &ack, Time now)
{
    const auto forwarded = m_forwardedPings.find(ack.sequence);
    if (forwarded == m_forwardedPings.end()) {
        m_membership.acknowledged(from, ack.sequence, now);
        return;
    }
    send(forwarded->second.requester, IndirectAck{ forwarded->second.sequence, from });
    m_forwardedPings.erase(forwarded);
}

void PeerTask::startSync(const Address &from, bool includeMembers)
{
    const SyncRequest request{ m_config.version(), includeMembers };
    m_pendingSync = m_sockets->startExchange(from, encodeSyncRequest(request));
}

std::string PeerTask::onSyncRequest(std::string_view bytes)
{
    const auto request = decodeSyncRequest(bytes);
    if (!request)
        return "";
    SyncResponse response;
    response.configVersion = m_config.version();
    response.holders = m_holderTable;
    response.crashes = m_crashes.reports(Clock::now());
    if (request->includeMembers)
        response.members = m_membership.members();
    if (m_config.version() > request->configVersion) {
        auto patch = m_config.patchFrom(request->configVersion);
        response.isPatch = patch.has_value();
        response.baseVersion = request->configVersion;
        response.config = patch.value_or(*m_config.text());
    }
    return encodeSyncResponse(response);
}

void PeerTask::onSyncResponse(std::uint64_t exchange, std::string_view bytes)
{
    if (m_pendingSync == exchange)
        m_pendingSync.reset();
    const auto response = decodeSyncResponse(bytes);
    if (!response)
        return;
    const Time now = Clock::now();
    for (const Member &member : response->members)
        m_membership.applyUpdate(member, now);
    for (const CrashReport &report : response->crashes) {
        m_crashes.addReport(report, now);
        m_front.post(ReceivedFrontPayload{ "", report });
    }
    applyHolderTable(response->holders);
    if (response->config.empty() || response->configVersion <= m_config.version())
        return;
    ++m_statistics.configSyncs;
    if (response->isPatch && response->baseVersion != m_config.version())
        return;
    const auto text = response->isPatch ? m_config.applyPatch(response->config) : response->config;
    if (text)
        applyConfig(response->configVersion, std::make_shared<const std::string>(*text));
}

} // namespace basildeck
