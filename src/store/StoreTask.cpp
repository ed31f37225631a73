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

std::int64_t unixSeconds()
{
    return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

} // namespace

std::string encodeHolderTable(const HolderTable &table)
{
    return json({ { "before", table.before },
                  { "after", table.after },
                  { "gone", table.gone },
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
        table.regions = document.at("regions").get<std::map<std::string, std::string>>();
    } catch (const json::exception &error) {
        BASILDECK_ERROR(component)
                << "table of holders, version " << version << " rejected: " << error.what();
        return {};
    }
    table.version = version;
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
    watch(now);
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
                           m_configVersion = std::max(m_configVersion, document.version);
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
    m_client->watch(fleetKind, m_watchedVersion, wait,
                    [this](Result<StoreChanges> changes) { onChanges(std::move(changes)); });
}

void StoreTask::onChanges(Result<StoreChanges> changes)
{
    m_watchPending = false;
    if (!changes) {
        m_nextWatch = Clock::now() + watchRetryDelay;
        reportStoreContact(false);
        return;
    }
    m_initialReadDone = true;
    for (const StoredValue &object : changes.value().objects)
        onObject(object);
    // Set even if the version went backwards: after the store was restored to an older state, later
    // changes would otherwise be missed.
    m_watchedVersion = changes.value().version;
    reportStoreContact(true);
}

void StoreTask::onObject(const StoredValue &object)
{
    if (object.name == configName && object.version > m_configVersion) {
        m_configVersion = object.version;
        m_peer->post(ConfigDocument{ object.version,
                                     std::make_shared<const std::string>(object.value) });
    }
    if (object.name == holderTableName && object.version > m_holderTable.version) {
        m_holderTable = decodeHolderTable(object.value, object.version);
        m_peer->post(HolderTableChanged{ m_holderTable });
    }
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
    m_goneVms.clear();
    m_listedLeavingVms.clear();
    for (const ListedVm &vm : vms.value()) {
        if (vm.state == "gone")
            m_goneVms.insert(vm.name);
        if (vm.state == "leaving")
            m_listedLeavingVms.insert(vm.name);
    }

    HolderCandidates candidates;
    candidates.live.insert(m_roles.liveVms.begin(), m_roles.liveVms.end());
    candidates.leaving = m_listedLeavingVms;
    candidates.leaving.insert(m_roles.leavingVms.begin(), m_roles.leavingVms.end());
    candidates.gone = m_goneVms;
    candidates.regions = m_roles.regionOfVm;
    if (auto table = proposeHolders(m_holderTable, m_roles.holderChangeComplete, candidates))
        writeHolderTable(*table);
}

void StoreTask::writeHolderTable(const HolderTable &table)
{
    m_holderWritePending = true;
    m_client->write(fleetKind, holderTableName, m_holderTable.version, encodeHolderTable(table),
                    [this, table](const Result<std::uint64_t> &result) {
                        onHolderTableWritten(result, table);
                    });
}

// After a conflict or a lost response, reads the object again; the next check then decides anew.
void StoreTask::onHolderTableWritten(const Result<std::uint64_t> &result, HolderTable table)
{
    m_holderWritePending = false;
    if (result) {
        table.version = result.value();
        m_holderTable = table;
        m_peer->post(HolderTableChanged{ m_holderTable });
        return;
    }
    m_client->read(fleetKind, holderTableName, [this](Result<StoredValue> value) {
        if (value)
            onObject(value.value());
    });
}

void StoreTask::commitClaims(Time now)
{
    for (ClaimRegistry::StoreCall &call : m_claims.dueCalls(now, unixSeconds())) {
        const int bucket = call.bucket;
        const std::string name = ClaimRegistry::bucketName(bucket);
        if (!call.isWrite) {
            m_client->read(claimsKind, name, [this, bucket](Result<StoredValue> value) {
                const Time completed = Clock::now();
                if (value)
                    m_claims.readDone(bucket, value.value().version, value.value().value,
                                      completed);
                else
                    m_claims.callFailed(bucket, completed);
            });
            continue;
        }
        ++m_statistics.claimWrites;
        m_client->write(claimsKind, name, call.expectedVersion, call.value,
                        [this, bucket](Result<std::uint64_t> version) {
                            const Time completed = Clock::now();
                            if (version) {
                                m_claims.writeDone(bucket, version.value(), completed);
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
