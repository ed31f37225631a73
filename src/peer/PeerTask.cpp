#include "peer/PeerTask.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "peer/PeerSockets.h"

#include <algorithm>
#include <chrono>

namespace basildeck {

namespace {

constexpr const char *part = "peer";
constexpr milliseconds longestWait{ 20 };
constexpr Duration joinInterval = milliseconds(500);
constexpr Duration rolesInterval = milliseconds(250);
constexpr Duration publishInterval = milliseconds(100);
constexpr std::size_t pushFanOut = 3;
// Without news of the store for this time, a VM watches it by itself.
constexpr Duration watchAloneAfter = milliseconds(1200);
// Holders are proposed only after a VM has had time to hear of the others.
constexpr Duration proposeAfter = milliseconds(2500);
constexpr std::uint64_t firstForward = 1ULL << 62;

std::uint64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

std::int64_t unixSeconds()
{
    return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

Member selfOf(const Settings &settings)
{
    return { settings.vmName, wallClockMs(),          MemberState::Alive,   settings.region,
             settings.zone,   settings.callerAddress, settings.peerAddress, 0 };
}

std::int64_t toMs(Duration age)
{
    return age == Duration::max() ? -1 : std::chrono::duration_cast<milliseconds>(age).count();
}

Duration fromMs(std::int64_t age)
{
    return age < 0 ? Duration::max() : Duration(milliseconds(age));
}

// Names of the members that serve, and that fulfil a condition.
template <typename Condition>
std::vector<std::string> servingNames(const MemberList &members, Condition condition)
{
    std::vector<std::string> names;
    for (const Member &member : members) {
        if (member.serves() && condition(member))
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
    PeerSockets::Events events;
    events.onDatagram = [self](std::string_view bytes) { self->onDatagram(bytes); };
    events.onRequest = [self](std::string_view bytes) { return self->onSyncRequest(bytes); };
    events.onAnswer
            = [self](std::uint64_t id, std::string_view bytes) { self->onSyncAnswer(id, bytes); };
    task->m_sockets = PeerSockets::make(settings.peerAddress, std::move(events));
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
    , m_membership(selfOf(settings), stableHash(settings.vmName, std::to_string(wallClockMs())))
    , m_evidence(settings.region == settings.storeRegion, Clock::now())
    , m_holderView(settings.vmName)
    , m_nextForward(firstForward)
    , m_started(Clock::now())
{}

PeerTask::~PeerTask() = default;

void PeerTask::run()
{
    while (!m_stopped.load()) {
        m_sockets->serve(longestWait);
        const Time now = Clock::now();
        for (PeerMessage &message : m_mailbox.takeAll())
            handle(std::move(message), now);
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
    std::erase_if(m_forwarded, [&](const auto &entry) {
        return now - entry.second.sent > Membership::probeTimeout;
    });
    join(now);
    endExceptions();
    publish(now);
    m_figures.bytesSent = m_sockets->bytesSent();
    m_figures.bytesReceived = m_sockets->bytesReceived();
}

// Asks the seeds while no other VM is known, or while there is no configuration.
void PeerTask::join(Time now)
{
    const bool alone = m_membership.members().size() < 2;
    if ((!alone && m_config.version() != 0) || now - m_lastJoin < joinInterval)
        return;
    m_lastJoin = now;
    for (const Address &seed : m_settings.seedPeers) {
        if (seed == m_settings.peerAddress)
            continue;
        if (alone)
            sendTo(seed, "", Ping{ 0 });
        if (!m_openSync)
            startSync(seed, true);
    }
}

void PeerTask::publish(Time now)
{
    if (now - m_lastPublish >= publishInterval || m_publishedRevision != m_membership.revision()) {
        m_lastPublish = now;
        m_publishedRevision = m_membership.revision();
        m_front.post(MembersChanged{ m_membership.members() });
        m_front.post(ServeUntil{ m_evidence.serveUntil() });
    }
    if (now - m_lastRoles >= rolesInterval)
        publishRoles(now);
}

void PeerTask::publishRoles(Time now)
{
    m_lastRoles = now;
    const MemberList members = m_membership.members();
    const auto inZone = servingNames(
            members, [&](const Member &member) { return member.zone == m_settings.zone; });
    const auto all = servingNames(members, [](const Member &) { return true; });
    RelayRoles roles;
    const auto chosen = [&](const std::string &item, const std::vector<std::string> &names) {
        return !names.empty() && names[rendezvousPick(item, names)] == m_settings.vmName;
    };
    const bool quiet = m_evidence.ages(now).sinceSuccess > watchAloneAfter;
    roles.watches = chosen("watch", inZone) || quiet;
    roles.proposes = now - m_started >= proposeAfter && chosen("propose", all);
    roles.live = all;
    for (const Member &member : members) {
        if (member.state == MemberState::Leaving)
            roles.leaving.push_back(member.vm);
    }
    for (const Member &member : members)
        roles.regions[member.vm] = member.region;
    roles.tableComplete = m_holderView.complete();
    m_store.post(std::move(roles));
}

void PeerTask::handle(PeerMessage message, Time now)
{
    std::visit(Overloaded{
                       [&](ConfigDocument &document) {
                           takeConfig(document.version, std::move(document.text));
                       },
                       [&](HolderTableChanged &changed) { takeHolders(changed.table); },

                       [&](StoreReached &) { m_evidence.recordSuccess(now); },
                       [&](StoreFailed &) { m_evidence.recordFailure(now); },
                       [&](FrontPayloadTo &to) {
                           if (const auto *report = std::get_if<CrashReport>(&to.payload))
                               m_crashes.addReport(*report, now);
                           if (to.vm == m_settings.vmName) {
                               m_front.post(FrontPayloadFrom{ to.vm, std::move(to.payload) });
                               return;
                           }
                           if (!to.vm.empty()) {
                               send(to.vm, std::move(to.payload));
                               return;
                           }
                           for (const Member &member : m_membership.members()) {
                               if (member.vm != m_settings.vmName && member.serves())
                                   send(member.vm, to.payload);
                           }
                       },
                       [&](StorePayloadTo &to) {
                           if (to.vm == m_settings.vmName)
                               m_store.post(StorePayloadFrom{ to.vm, std::move(to.payload) });
                           else
                               send(to.vm, std::move(to.payload));
                       },
                       [&](FrontReport &report) {
                           m_membership.setOwnLoad(report.loadPermille);
                           m_holderAcknowledged = report.holderVersion;
                           m_holderView.acknowledge(m_settings.vmName, report.holderVersion);
                       },
                       [&](LeaveRequested &) {
                           m_membership.leave();
                           pushNews();
                       },
                       [&](FrontDrained &) { stop(); },
               },
               message);
}

void PeerTask::takeConfig(std::uint64_t version, std::shared_ptr<const std::string> text)
{
    if (version <= m_config.version())
        return;
    auto parsed = FleetConfig::parse(*text, unixSeconds());
    if (!parsed) {
        BASILDECK_ERROR(part) << "configuration version " << version
                              << " refused: " << parsed.error().detail;
        return;
    }
    m_config.add(version, text);
    m_figures.configVersion = version;
    m_nextExceptionEnd = parsed.value().nextEnd(unixSeconds());
    m_front.post(ConfigInForce{ version,
                                std::make_shared<const FleetConfig>(std::move(parsed.value())) });
    m_store.post(ConfigDocument{ version, std::move(text) });
    BASILDECK_INFO(part) << "configuration version " << version << " in force";
    pushNews();
}

// Puts the same document in force again when one of its exceptions has ended.
void PeerTask::endExceptions()
{
    if (!m_nextExceptionEnd || unixSeconds() < *m_nextExceptionEnd)
        return;
    auto parsed = FleetConfig::parse(*m_config.text(), unixSeconds());
    m_nextExceptionEnd.reset();
    if (!parsed)
        return;
    m_nextExceptionEnd = parsed.value().nextEnd(unixSeconds());
    m_front.post(ConfigInForce{ m_config.version(),
                                std::make_shared<const FleetConfig>(std::move(parsed.value())) });
    BASILDECK_INFO(part) << "an exception has ended";
}

void PeerTask::takeHolders(const HolderTable &table)
{
    if (table.version <= m_holders.version)
        return;
    m_holders = table;
    m_holderView.setTable(table);
    m_front.post(HolderTableChanged{ table });
    pushNews();
}

// Tells a few VMs at once that there is news; they fetch it and tell others.
void PeerTask::pushNews()
{
    for (const std::string &vm : m_membership.randomLiveMembers(pushFanOut))
        send(vm, Ping{ 0 });
}

PacketHeader PeerTask::header(Time now) const
{
    PacketHeader header;
    header.vm = m_settings.vmName;
    header.incarnation = m_membership.self().incarnation;
    header.configVersion = m_config.version();
    header.holderVersion = m_holders.version;
    header.holderAcknowledged = m_holderAcknowledged;
    header.loadPermille = m_membership.self().loadPermille;
    const StoreContactAges ages = m_evidence.ages(now);
    header.storeReachedAgeMs = toMs(ages.sinceSuccess);
    header.storeDownAgeMs = toMs(ages.sinceRegionalFailure);
    header.membersDigest = m_membership.digest();
    return header;
}

void PeerTask::send(const std::string &vm, PacketBody body)
{
    const Member *member = m_membership.find(vm);
    if (member != nullptr)
        sendTo(member->peer, vm, std::move(body));
}

void PeerTask::sendTo(const Address &address, const std::string &vm, PacketBody body)
{
    Packet packet{ header(Clock::now()), m_membership.takeUpdates(vm), std::move(body) };
    const std::string bytes = encodePacket(packet);
    if (bytes.size() > maxPacketBytes) {
        BASILDECK_WARNING(part) << "packet of " << bytes.size() << " bytes not sent";
        return;
    }
    ++m_figures.packetsSent;
    m_sockets->sendDatagram(address, bytes);
}

void PeerTask::onDatagram(std::string_view bytes)
{
    const auto packet = decodePacket(bytes);
    if (!packet) {
        ++m_figures.packetsRefused;
        return;
    }
    const Time now = Clock::now();
    for (const Member &member : packet->updates)
        m_membership.applyUpdate(member, now);
    m_membership.onMessageFrom(packet->header.vm, packet->header.incarnation, now);
    readHeader(packet->header, now);
    onBody(*packet, now);
}

void PeerTask::readHeader(const PacketHeader &header, Time now)
{
    m_membership.setLoad(header.vm, header.loadPermille);
    // Evidence about the store is worth nothing here without the configuration that the sender had.
    if (header.configVersion <= m_config.version())
        m_evidence.mergePeerAges(
                { fromMs(header.storeReachedAgeMs), fromMs(header.storeDownAgeMs) }, now);
    m_holderView.acknowledge(header.vm, header.holderAcknowledged);
    std::uint64_t &acknowledged = m_acknowledgedBy[header.vm];
    if (header.holderAcknowledged > acknowledged) {
        acknowledged = header.holderAcknowledged;
        m_front.post(HolderAcknowledged{ header.vm, acknowledged });
    }
    const Member *member = m_membership.find(header.vm);
    const bool newer
            = header.configVersion > m_config.version() || header.holderVersion > m_holders.version;
    if (member == nullptr || m_openSync)
        return;
    const bool wantsMembers = m_membership.needsFullSync(header.membersDigest, now);
    if (newer || wantsMembers)
        startSync(member->peer, wantsMembers);
}

void PeerTask::onBody(const Packet &packet, Time now)
{
    const std::string &from = packet.header.vm;
    std::visit(Overloaded{
                       [&](const Ping &ping) { send(from, Ack{ ping.sequence }); },
                       [&](const Ack &ack) { onAck(from, ack, now); },
                       [&](const PingRequest &request) {
                           const std::uint64_t own = m_nextForward++;
                           m_forwarded[own] = { from, request.sequence, now };
                           send(request.target, Ping{ own });
                       },
                       [&](const IndirectAck &ack) {
                           m_membership.acknowledged(ack.target, ack.sequence, now);
                       },
                       [&](const FrontPayload &payload) {
                           if (const auto *report = std::get_if<CrashReport>(&payload))
                               m_crashes.addReport(*report, now);
                           m_front.post(FrontPayloadFrom{ from, payload });
                       },
                       [&](const StorePayload &payload) {
                           m_store.post(StorePayloadFrom{ from, payload });
                       },
               },
               packet.body);
}

void PeerTask::onAck(const std::string &from, const Ack &ack, Time now)
{
    const auto forwarded = m_forwarded.find(ack.sequence);
    if (forwarded == m_forwarded.end()) {
        m_membership.acknowledged(from, ack.sequence, now);
        return;
    }
    send(forwarded->second.asker, IndirectAck{ forwarded->second.sequence, from });
    m_forwarded.erase(forwarded);
}

void PeerTask::startSync(const Address &from, bool wantsMembers)
{
    const SyncRequest request{ m_config.version(), wantsMembers };
    m_openSync = m_sockets->startExchange(from, encodeSyncRequest(request));
}

std::string PeerTask::onSyncRequest(std::string_view bytes)
{
    const auto request = decodeSyncRequest(bytes);
    if (!request)
        return "";
    SyncAnswer answer;
    answer.configVersion = m_config.version();
    answer.holders = m_holders;
    answer.crashes = m_crashes.reports(Clock::now());
    if (request->wantsMembers)
        answer.members = m_membership.members();
    if (m_config.version() > request->configVersion) {
        auto patch = m_config.patchFrom(request->configVersion);
        answer.isPatch = patch.has_value();
        answer.baseVersion = request->configVersion;
        answer.config = patch.value_or(*m_config.text());
    }
    return encodeSyncAnswer(answer);
}

void PeerTask::onSyncAnswer(std::uint64_t exchange, std::string_view bytes)
{
    if (m_openSync == exchange)
        m_openSync.reset();
    const auto answer = decodeSyncAnswer(bytes);
    if (!answer)
        return;
    const Time now = Clock::now();
    for (const Member &member : answer->members)
        m_membership.applyUpdate(member, now);
    for (const CrashReport &report : answer->crashes) {
        m_crashes.addReport(report, now);
        m_front.post(FrontPayloadFrom{ "", report });
    }
    takeHolders(answer->holders);
    if (answer->config.empty() || answer->configVersion <= m_config.version())
        return;
    ++m_figures.configSyncs;
    if (answer->isPatch && answer->baseVersion != m_config.version())
        return;
    const auto text = answer->isPatch ? m_config.patched(answer->config) : answer->config;
    if (text)
        takeConfig(answer->configVersion, std::make_shared<const std::string>(*text));
}

} // namespace basildeck
