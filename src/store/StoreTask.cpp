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
constexpr const char *holdersName = "holders";
constexpr const char *claimsKind = "claims";
constexpr microseconds tickPeriod{ 20'000 };
// Each answer of a watch, also an empty one, is evidence that the store is reached.
constexpr milliseconds watchWait{ 800 };
constexpr Duration watchRetry = milliseconds(300);
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
                << "table of holders, version " << version << " refused: " << error.what();
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
    // Connections report their end to their owners while the loop is destroyed.
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
        handle(std::move(message), now);
    commitClaims(now);
}

void StoreTask::onTick()
{
    const Time now = Clock::now();
    m_client->expire(now);
    watch(now);
    checkHolders(now);
    commitClaims(now);
    m_statistics.calls = m_client->calls();
}

void StoreTask::handle(StoreMessage message, Time now)
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

void StoreTask::noteResult(bool reached)
{
    if (reached) {
        m_peer->post(StoreContactSucceeded{});
        return;
    }
    ++m_statistics.failures;
    m_peer->post(StoreContactFailed{});
}

// A new process watches once by itself, and then only if it is its zone's watcher.
void StoreTask::watch(Time now)
{
    const bool wanted = m_roles.isStoreWatcher || !m_firstReadDone;
    if (!wanted || m_watchOpen || now < m_nextWatch)
        return;
    m_watchOpen = true;
    const milliseconds wait = m_firstReadDone ? watchWait : milliseconds(0);
    m_client->watch(fleetKind, m_seenVersion, wait,
                    [this](Result<StoreChanges> changes) { onChanges(std::move(changes)); });
}

void StoreTask::onChanges(Result<StoreChanges> changes)
{
    m_watchOpen = false;
    if (!changes) {
        m_nextWatch = Clock::now() + watchRetry;
        noteResult(false);
        return;
    }
    m_firstReadDone = true;
    for (const StoredValue &object : changes.value().objects)
        onObject(object);
    // A store that was restored to an older state must not hide later changes.
    m_seenVersion = changes.value().version;
    noteResult(true);
}

void StoreTask::onObject(const StoredValue &object)
{
    if (object.name == configName && object.version > m_configVersion) {
        m_configVersion = object.version;
        m_peer->post(ConfigDocument{ object.version,
                                     std::make_shared<const std::string>(object.value) });
    }
    if (object.name == holdersName && object.version > m_holders.version) {
        m_holders = decodeHolderTable(object.value, object.version);
        m_peer->post(HolderTableChanged{ m_holders });
    }
}

void StoreTask::checkHolders(Time now)
{
    if (!m_roles.isHolderProposer || m_vmsOpen || m_holderWriteOpen || now < m_nextVmList)
        return;
    m_vmsOpen = true;
    m_nextVmList = now + vmListInterval;
    m_client->listVms([this](Result<std::vector<ListedVm>> vms) { onVms(std::move(vms)); });
}

void StoreTask::onVms(Result<std::vector<ListedVm>> vms)
{
    m_vmsOpen = false;
    if (!vms) {
        noteResult(false);
        return;
    }
    m_gone.clear();
    m_listedLeaving.clear();
    for (const ListedVm &vm : vms.value()) {
        if (vm.state == "gone")
            m_gone.insert(vm.name);
        if (vm.state == "leaving")
            m_listedLeaving.insert(vm.name);
    }

    HolderCandidates candidates;
    candidates.live.insert(m_roles.liveVms.begin(), m_roles.liveVms.end());
    candidates.leaving = m_listedLeaving;
    candidates.leaving.insert(m_roles.leavingVms.begin(), m_roles.leavingVms.end());
    candidates.gone = m_gone;
    candidates.regions = m_roles.regionOfVm;
    if (auto table = proposeHolders(m_holders, m_roles.holderChangeComplete, candidates))
        writeHolders(*table);
}

void StoreTask::writeHolders(const HolderTable &table)
{
    m_holderWriteOpen = true;
    m_client->write(fleetKind, holdersName, m_holders.version, encodeHolderTable(table),
                    [this, table](const Result<std::uint64_t> &result) {
                        onHoldersWritten(result, table);
                    });
}

// After a conflict or a lost answer the object is read again, and the next round decides anew.
void StoreTask::onHoldersWritten(const Result<std::uint64_t> &result, HolderTable table)
{
    m_holderWriteOpen = false;
    if (result) {
        table.version = result.value();
        m_holders = table;
        m_peer->post(HolderTableChanged{ m_holders });
        return;
    }
    m_client->read(fleetKind, holdersName, [this](Result<StoredValue> value) {
        if (value)
            onObject(value.value());
    });
}

void StoreTask::commitClaims(Time now)
{
    for (ClaimBook::StoreCall &call : m_claims.dueCalls(now, unixSeconds())) {
        const int bucket = call.bucket;
        const std::string name = ClaimBook::bucketName(bucket);
        if (!call.isWrite) {
            m_client->read(claimsKind, name, [this, bucket](Result<StoredValue> value) {
                const Time at = Clock::now();
                if (value)
                    m_claims.readDone(bucket, value.value().version, value.value().value, at);
                else
                    m_claims.callFailed(bucket, at);
            });
            continue;
        }
        ++m_statistics.claimWrites;
        m_client->write(claimsKind, name, call.expectedVersion, call.value,
                        [this, bucket](Result<std::uint64_t> version) {
                            const Time at = Clock::now();
                            if (version) {
                                m_claims.writeDone(bucket, version.value(), at);
                            } else if (version.error().kind == ErrorKind::EditConflict) {
                                ++m_statistics.claimConflicts;
                                m_claims.writeConflicted(bucket, at);
                            } else {
                                m_claims.callFailed(bucket, at);
                            }
                        });
    }
    for (ClaimBook::DecisionTo &decision : m_claims.takeDecisions(now))
        m_peer->post(OutgoingFrontPayload{ decision.vm, std::move(decision.decision) });
    m_statistics.claimsWaiting = m_claims.waiting();
}

} // namespace basildeck
