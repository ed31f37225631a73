#include "store/StoreTask.h"

#include "core/Log.h"
#include "http/LwsLoop.h"
#include "store/StoreClient.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr const char *component = "store";
constexpr const char *fleetKind = "fleet";
constexpr const char *configName = "config";
constexpr const char *holderTableName = "holders";
constexpr const char *claimsKind = "claims";
constexpr microseconds tickPeriod{ 20'000 };
// Longest time that the store holds a watch call. Every response, even an empty one, is evidence
// that the store can be reached.
constexpr milliseconds watchWait{ 800 };
constexpr Duration watchRetryDelay = milliseconds(300);
constexpr Duration vmListInterval = milliseconds(1000);

// Time from a restore of the store until a watcher writes the configuration again, so that the
// watcher knows the newest one that any VM it reaches has received.
constexpr Duration confirmationDelay = milliseconds(1000);

std::int64_t unixSeconds()
{
    return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

} // namespace

std::string encodeHolderTable(const HolderTable &table, std::uint64_t era)
{
    return json({ { "era", era },
                  { "before", table.before },
                  { "after", table.after },
                  { "gone", table.gone },
                  { "confirming", table.confirming },
                  { "regions", table.regions } })
            .dump();
}

HolderTable decodeHolderTable(const std::string &value, std::uint64_t version)
{
    const json document = json::parse(value, nullptr, false);
    HolderTable table;
    if (!document.is_object())
        return table;
    try {
        table.before = document.at("before").get<std::vector<std::string>>();
        table.after = document.at("after").get<std::vector<std::string>>();
        table.gone = document.at("gone").get<std::vector<std::string>>();
        table.confirming = document.value("confirming", std::vector<std::string>{});
        table.regions = document.at("regions").get<std::map<std::string, std::string>>();
        table.version = { document.value("era", std::uint64_t{ 0 }), version };
    } catch (const json::exception &error) {
        BASILDECK_ERROR(component)
                << "table of holders, version " << version << " rejected: " << error.what();
        return {};
    }
    return table;
}

std::unique_ptr<StoreTask> StoreTask::make(const Settings &settings)
{
    std::unique_ptr<StoreTask> task(new StoreTask(settings));
    task->m_loop = LwsLoop::make({ .tick = tickPeriod });
    if (!task->m_loop)
        return nullptr;
    task->m_client = StoreClient::make(*task->m_loop, settings.storeAddresses);
    if (!task->m_client)
        return nullptr;
    StoreTask *self = task.get();
    task->m_loop->setOnWake([self] { self->onWake(); });
    task->m_loop->setOnTick([self] { self->onTick(); });
    task->m_mailbox.setWake([self] { self->m_loop->wake(); });
    return task;
}

StoreTask::StoreTask(const Settings &settings)
    : m_settings(settings)
{}

StoreTask::~StoreTask()
{
    // Destroying the loop closes its connections, which notify their owners, so m_client has to
    // outlive it.
    m_loop.reset();
}

void StoreTask::run()
{
    m_loop->run();
}

void StoreTask::stop()
{
    m_loop->stop();
}

void StoreTask::onWake()
{
    const Time now = Clock::now();
    for (StoreMessage &message : m_mailbox.takeAll())
        handleMessage(std::move(message), now);
    commitClaims(now);
}

void StoreTask::onTick()
{
    const Time now = Clock::now();
    m_client->expire(now);
    checkEra(now);
    watch(now);
    confirmConfig(now);
    checkHolderTable(now);
    commitClaims(now);
    m_statistics.calls = m_client->calls();
}

void StoreTask::handleMessage(StoreMessage message, Time now)
{
    std::visit(Overloaded{
                       [&](StoreRoles &roles) { m_roles = std::move(roles); },
                       [&](ReceivedStorePayload &from) {
                           std::visit(Overloaded{
                                              [&](const ClaimBegin &claim) {
                                                  m_claims.begin(from.vm, claim, now);
                                              },
                                              [&](const ClaimFinish &claim) {
                                                  m_claims.finish(from.vm, claim);
                                              },
                                              [&](const ClaimRelease &claim) {
                                                  m_claims.release(claim, now);
                                              },
                                      },
                                      from.payload);
                       },
                       [&](ConfigDocument &document) {
                           // Another VM may have seen a restore of the store first.
                           m_client->raiseEra(document.version.era);
                           checkEra(now);
                           m_activeConfig = std::move(document);
                       },
                       [&](HolderTableChanged &changed) {
                           if (changed.table.version > m_holderTable.version)
                               m_holderTable = std::move(changed.table);
                       },
               },
               message);
}

void StoreTask::reportStoreContact(bool reached)
{
    if (reached) {
        m_peer->post(StoreContactSucceeded{});
        return;
    }
    ++m_statistics.failures;
    m_peer->post(StoreContactFailed{});
}

// A new process makes one watch call of its own. After that, only VMs with the role of a store
// watcher make them.
void StoreTask::watch(Time now)
{
    const bool shouldWatch = m_roles.isStoreWatcher || !m_initialReadDone;
    if (!shouldWatch || m_watchPending || now < m_nextWatch)
        return;
    m_watchPending = true;
    const milliseconds wait = m_initialReadDone ? watchWait : milliseconds(0);
    const std::uint64_t from = m_watchedVersion;
    m_client->watch(fleetKind, from, wait, [this, from](Result<StoreChanges> changes) {
        onChanges(from, std::move(changes));
    });
}

void StoreTask::onChanges(std::uint64_t from, Result<StoreChanges> changes)
{
    m_watchPending = false;
    if (!changes) {
        m_nextWatch = Clock::now() + watchRetryDelay;
        reportStoreContact(false);
        return;
    }
    reportStoreContact(true);
    checkEra(Clock::now());
    if (from != m_watchedVersion)
        return; // everything is read again
    if (changes.value().version < from) {
        readAnew();
        return;
    }
    m_initialReadDone = true;
    if (from == 0) {
        m_storedConfig.emplace().era = m_era;
        m_storedHolderVersion = 0;
    }
    for (const StoredValue &object : changes.value().objects)
        onObject(object);
    m_watchedVersion = changes.value().version;
}

// Notices a restore of the store. Any response may show it first.
void StoreTask::checkEra(Time now)
{
    if (m_client->era() == m_era)
        return;
    if (m_era != 0)
        BASILDECK_WARNING(component) << "the store came back from a copy: era " << m_client->era();
    m_era = m_client->era();
    m_eraSeen = now;
    m_claims.setEra(m_era, now);
    readAnew();
}

// Makes the next watch call return all objects.
void StoreTask::readAnew()
{
    m_initialReadDone = false;
    m_watchedVersion = 0;
    m_storedConfig.reset();
    m_storedHolderVersion.reset();
}

void StoreTask::onObject(const StoredValue &object)
{
    if (object.name == configName)
        onConfig(object);
    if (object.name == holderTableName)
        onHolderTable(object);
}

void StoreTask::onConfig(const StoredValue &object)
{
    if (!m_storedConfig || object.version <= m_storedConfig->version.revision)
        return;
    m_storedConfig = decodeConfig(object);
    if (m_storedConfig->isConfirmed())
        reportStoredConfig();
}

void StoreTask::reportStoredConfig()
{
    const StoreVersion &version = m_storedConfig->version;
    if (version <= std::max(m_reportedConfig, m_activeConfig.version))
        return;
    m_reportedConfig = version;
    m_peer->post(ConfigDocument{
            version, std::make_shared<const std::string>(m_storedConfig->document.dump()) });
}

// A table from an earlier era is not passed on: the tables that followed it may be lost.
void StoreTask::onHolderTable(const StoredValue &object)
{
    if (!m_storedHolderVersion || object.version <= *m_storedHolderVersion)
        return;
    m_storedHolderVersion = object.version;
    const HolderTable table = decodeHolderTable(object.value, object.version);
    if (table.version <= m_holderTable.version)
        return;
    m_holderTable = table;
    if (table.version.era == m_era)
        m_peer->post(HolderTableChanged{ table });
}

// Returns the configuration that this VM, as a watcher, should write to the store, if any.
std::optional<json> StoreTask::configToWrite() const
{
    if (!m_activeConfig.text)
        return std::nullopt;
    const StoreVersion &stored = m_storedConfig->version;
    const StoreVersion &active = m_activeConfig.version;
    // Written by hand over one that states its era.
    if (stored.era == 0 && active.era != 0 && stored.revision > active.revision)
        return m_storedConfig->document;
    const bool isOlder = stored < active;
    const bool isUnconfirmed = stored == active && active.era != 0;
    if (active.era < m_era && (isOlder || isUnconfirmed))
        return json::parse(*m_activeConfig.text, nullptr, false);
    return std::nullopt;
}

// Writes the configuration in force again after a restore of the store. Several watchers may try;
// the condition on the version lets one succeed. An unconfirmed document of the copy is followed
// only if no other VM has delivered a newer one by then.
void StoreTask::confirmConfig(Time now)
{
    if (!m_storedConfig || m_configWritePending || now - m_eraSeen < confirmationDelay)
        return;
    reportStoredConfig();
    if (!m_roles.isStoreWatcher)
        return;
    auto document = configToWrite();
    if (!document)
        return;
    m_configWritePending = true;
    StoredConfig written{ { m_era, 0 }, m_era, std::move(*document) };
    const std::string value = encodeConfig(written.document, m_era);
    m_client->write(fleetKind, configName, m_storedConfig->version.revision, value,
                    [this, written = std::move(written)](const Result<StoreVersion> &result) {
                        onConfigWritten(result, written);
                    });
}

void StoreTask::onConfigWritten(const Result<StoreVersion> &result, const StoredConfig &written)
{
    m_configWritePending = false;
    if (!result || result.value().era != written.era) {
        m_nextWatch = Clock::now() + watchRetryDelay;
        readAnew();
        return;
    }
    const StoreVersion &version = result.value();
    BASILDECK_INFO(component) << "wrote the configuration again as version " << version.revision
                              << " of store era " << version.era;
    m_storedConfig = written;
    m_storedConfig->version = version;
    m_reportedConfig = version;
    m_peer->post(ConfigDocument{ version,
                                 std::make_shared<const std::string>(written.document.dump()) });
}

void StoreTask::checkHolderTable(Time now)
{
    if (!m_roles.isHolderProposer || m_vmListPending || m_holderWritePending || now < m_nextVmList)
        return;
    m_vmListPending = true;
    m_nextVmList = now + vmListInterval;
    m_client->listVms([this](Result<std::vector<ListedVm>> vms) { onVmList(std::move(vms)); });
}

void StoreTask::onVmList(Result<std::vector<ListedVm>> vms)
{
    m_vmListPending = false;
    if (!vms) {
        reportStoreContact(false);
        return;
    }
    m_listedVms.clear();
    m_goneVms.clear();
    m_listedLeavingVms.clear();
    for (const ListedVm &vm : vms.value()) {
        (vm.state == "gone" ? m_goneVms : m_listedVms).insert(vm.name);
        if (vm.state == "leaving")
            m_listedLeavingVms.insert(vm.name);
    }

    HolderCandidates candidates;
    candidates.live.insert(m_roles.liveVms.begin(), m_roles.liveVms.end());
    candidates.leaving = m_listedLeavingVms;
    candidates.leaving.insert(m_roles.leavingVms.begin(), m_roles.leavingVms.end());
    candidates.listed = m_listedVms;
    candidates.gone = m_goneVms;
    candidates.regions = m_roles.regionOfVm;
    proposeHolderTable(candidates);
}

void StoreTask::proposeHolderTable(const HolderCandidates &candidates)
{
    checkEra(Clock::now());
    if (!m_storedHolderVersion)
        return; // not read yet in this era
    const bool isViewCurrent = m_roles.holderVersion == m_holderTable.version;
    const bool complete = isViewCurrent && m_roles.holderChangeComplete;
    if (m_holderTable.version.exists() && m_holderTable.version.era < m_era) {
        writeHolderTable(confirmHolders(m_holderTable, complete, candidates));
        return;
    }
    if (!isViewCurrent)
        return;
    if (auto table = proposeHolders(m_holderTable, complete, candidates))
        writeHolderTable(*table);
}

void StoreTask::writeHolderTable(HolderTable table)
{
    m_holderWritePending = true;
    table.version.era = m_era;
    m_client->write(fleetKind, holderTableName, *m_storedHolderVersion,
                    encodeHolderTable(table, m_era),
                    [this, table](const Result<StoreVersion> &result) {
                        onHolderTableWritten(result, table);
                    });
}

// After a conflict or a lost response, reads again; the next check then decides again.
void StoreTask::onHolderTableWritten(const Result<StoreVersion> &result, HolderTable table)
{
    m_holderWritePending = false;
    if (!result || result.value().era != table.version.era) {
        readAnew();
        return;
    }
    table.version = result.value();
    m_storedHolderVersion = table.version.revision;
    if (table.version <= m_holderTable.version)
        return;
    m_holderTable = table;
    m_peer->post(HolderTableChanged{ std::move(table) });
}

void StoreTask::commitClaims(Time now)
{
    for (ClaimRegistry::StoreCall &call : m_claims.dueCalls(now, unixSeconds())) {
        const int bucket = call.bucket;
        const std::string name = ClaimRegistry::bucketName(bucket);
        if (!call.isWrite) {
            m_client->read(claimsKind, name, [this, bucket](Result<StoredValue> value) {
                const Time completed = Clock::now();
                checkEra(completed);
                if (!value)
                    return m_claims.callFailed(bucket, completed);
                const StoredValue &read = value.value();
                if (!m_claims.readDone(bucket, read.version, read.value, completed))
                    BASILDECK_WARNING(component)
                            << "claims cannot be read, new ones are refused name=" << read.name
                            << " version=" << read.version;
            });
            continue;
        }
        ++m_statistics.claimWrites;
        m_client->write(claimsKind, name, call.expectedVersion, call.value,
                        [this, bucket](Result<StoreVersion> version) {
                            const Time completed = Clock::now();
                            checkEra(completed);
                            if (version) {
                                m_claims.writeDone(bucket, version.value().revision, completed);
                            } else if (version.error().kind == ErrorKind::EditConflict) {
                                ++m_statistics.claimConflicts;
                                m_claims.writeConflicted(bucket, completed);
                            } else {
                                m_claims.callFailed(bucket, completed);
                            }
                        });
    }
    for (ClaimRegistry::OutgoingDecision &decision : m_claims.takeDecisions(now))
        m_peer->post(OutgoingFrontPayload{ decision.vm, std::move(decision.decision) });
    m_statistics.claimsWaiting = m_claims.waiting();
}

} // namespace basildeck
