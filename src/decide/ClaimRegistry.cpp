#include "decide/ClaimRegistry.h"

#include "core/Hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr Duration retryInterval = milliseconds(200);
constexpr Duration uncertainRetention = seconds(60);
constexpr Duration maxReadAge = milliseconds(500);
constexpr std::uint64_t firstEra = 1; // the store has never been restored
constexpr Duration unconfirmedReadInterval = milliseconds(500);

} // namespace

int ClaimRegistry::bucketOf(const std::string &key)
{
    return static_cast<int>(stableHash(key) % bucketCount);
}

std::string ClaimRegistry::bucketName(int bucket)
{
    return "bucket-" + std::to_string(bucket);
}

void ClaimRegistry::setEra(std::uint64_t era, Time now)
{
    if (era <= m_era)
        return;
    const bool isRestore = m_era != 0;
    m_era = era;
    m_eraSeen = now;
    for (auto &[index, bucket] : m_buckets) {
        bucket.isLoaded = false;
        bucket.retryAt = now;
        if (!isRestore || !bucket.wasLoaded)
            continue;
        if (!bucket.memory)
            bucket.memory = Memory{};
        bucket.memory->version = bucket.version;
        merge(bucket.memory->entries, bucket.entries);
    }
}

// Adds remembered entries. Of two entries of a key, the one with an outcome stays.
void ClaimRegistry::merge(Entries &entries, const Entries &remembered)
{
    for (const auto &[key, entry] : remembered) {
        const auto [found, inserted] = entries.emplace(key, entry);
        if (!inserted && found->second.state == EntryState::Running)
            found->second = entry;
    }
}

// Merges what is remembered from before a restore into the entries that were read. The memory
// confirms the bucket unless the copy already has writes of another registry after it.
void ClaimRegistry::recall(Bucket &bucket, Time now) const
{
    const bool isConfirmed = m_era <= firstEra || bucket.storedEra == m_era;
    const bool isMemoryRecent = bucket.memory && bucket.memory->version >= bucket.version;
    bucket.mayConfirm = isConfirmed || isMemoryRecent;
    bucket.mustWrite = bucket.memory.has_value();
    bucket.readAgainAt = now + unconfirmedReadInterval;
    if (bucket.memory)
        merge(bucket.entries, bucket.memory->entries);
}

std::string ClaimRegistry::encode(const Entries &entries, std::uint64_t era)
{
    nlohmann::json claims = nlohmann::json::object();
    for (const auto &[key, entry] : entries) {
        nlohmann::json item = { { "vm", entry.id.vm },
                                { "inc", entry.id.incarnation },
                                { "seq", entry.id.sequence },
                                { "fp", entry.fingerprint },
                                { "state", static_cast<int>(entry.state) },
                                { "until", entry.expiresUnixSeconds } };
        if (entry.state == EntryState::Done) {
            item["status"] = entry.outcome.status;
            item["type"] = entry.outcome.contentType;
            item["kept"] = entry.outcome.bodyKept;
            item["body"] = entry.outcome.body;
        }
        claims[key] = std::move(item);
    }
    return nlohmann::json({ { "era", era }, { "claims", claims } })
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

ClaimRegistry::Entries ClaimRegistry::decode(const std::string &value, std::uint64_t &era)
{
    Entries entries;
    era = 0;
    const auto document = nlohmann::json::parse(value);
    if (!document.contains("claims") && document.is_object())
        return entries;
    era = document.value("era", std::uint64_t{ 0 });
    const auto &claims = document.at("claims").get_ref<const nlohmann::json::object_t &>();
    for (const auto &[key, from] : claims) {
        Entry entry;
        entry.id = { from.value("vm", ""), from.value("inc", std::uint64_t{ 0 }),
                     from.value("seq", std::uint64_t{ 0 }) };
        entry.fingerprint = from.value("fp", std::uint64_t{ 0 });
        entry.state = static_cast<EntryState>(std::clamp(from.value("state", 2), 0, 2));
        entry.expiresUnixSeconds = from.value("until", std::int64_t{ 0 });
        entry.outcome = { from.value("status", 0), from.value("type", ""), from.value("body", ""),
                          from.value("kept", false) };
        entries.emplace(key, std::move(entry));
    }
    return entries;
}

void ClaimRegistry::begin(const std::string &from, const ClaimBegin &claim, Time now)
{
    Bucket &bucket = m_buckets[bucketOf(claim.key)];
    const bool repeated = std::any_of(
            bucket.begins.begin(), bucket.begins.end(),
            [&](const PendingClaim &pending) { return pending.claim.id == claim.id; });
    if (!repeated)
        bucket.begins.push_back({ from, claim, now, false });
}

void ClaimRegistry::finish(const std::string &from, const ClaimFinish &claim)
{
    Bucket &bucket = m_buckets[bucketOf(claim.key)];
    const bool repeated = std::any_of(
            bucket.finishes.begin(), bucket.finishes.end(),
            [&](const PendingFinish &pendingFinish) { return pendingFinish.claim.id == claim.id; });
    if (!repeated)
        bucket.finishes.push_back({ from, claim });
}

void ClaimRegistry::release(const ClaimRelease &claim, Time now)
{
    Bucket &bucket = m_buckets[bucketOf(claim.key)];
    bucket.releases.push_back(claim);
    // The release may arrive before its claim is decided.
    for (PendingClaim &pending : bucket.begins) {
        if (pending.claim.id == claim.id && !pending.inWrite)
            decide(pending, ClaimVerdict::Unavailable, {});
    }
    std::erase_if(bucket.begins, [&](const PendingClaim &pending) {
        if (pending.claim.id != claim.id || pending.inWrite)
            return false;
        if (pending.maybeWritten)
            bucket.uncertain[claim.id] = { claim.key, now };
        return true;
    });
}

void ClaimRegistry::decide(const PendingClaim &pending, ClaimVerdict verdict,
                           const ClaimOutcome &outcome)
{
    m_decisions.push_back(
            { pending.from, { pending.claim.id, pending.claim.key, verdict, outcome } });
}

// Decides the claims that the loaded entries determine and drops changes that have taken effect.
void ClaimRegistry::resolvePending(Bucket &bucket, Time now)
{
    std::erase_if(bucket.begins, [&](const PendingClaim &pending) {
        const auto found = bucket.entries.find(pending.claim.key);
        if (found == bucket.entries.end())
            return false;
        const Entry &entry = found->second;
        if (entry.id == pending.claim.id) {
            decide(pending, ClaimVerdict::Granted, {});
            return true;
        }
        if (entry.fingerprint != pending.claim.fingerprint)
            decide(pending, ClaimVerdict::Mismatch, {});
        else if (entry.state == EntryState::Done)
            decide(pending, ClaimVerdict::Replay, entry.outcome);
        else if (entry.state == EntryState::Unknown)
            decide(pending, ClaimVerdict::OutcomeUnknown, {});
        else if (now - bucket.readAt > maxReadAge)
            return false; // needs a fresh read: the request may have completed since
        else
            decide(pending, ClaimVerdict::InProgress, {});
        return true;
    });
    const auto isRunning = [&](const ClaimId &id, const std::string &key) {
        const auto found = bucket.entries.find(key);
        return found != bucket.entries.end() && found->second.id == id
               && found->second.state == EntryState::Running;
    };
    std::erase_if(bucket.finishes, [&](const PendingFinish &pendingFinish) {
        const ClaimFinish &claim = pendingFinish.claim;
        if (isRunning(claim.id, claim.key))
            return false;
        m_decisions.push_back(
                { pendingFinish.from, { claim.id, claim.key, ClaimVerdict::Recorded, {} } });
        return true;
    });
    std::erase_if(bucket.releases,
                  [&](const ClaimRelease &claim) { return !isRunning(claim.id, claim.key); });
    for (auto uncertain = bucket.uncertain.begin(); uncertain != bucket.uncertain.end();) {
        const auto &[key, since] = uncertain->second;
        const auto found = bucket.entries.find(key);
        const bool written = found != bucket.entries.end() && found->second.id == uncertain->first;
        if (written)
            bucket.releases.push_back({ uncertain->first, key });
        if (written || now - since > uncertainRetention)
            uncertain = bucket.uncertain.erase(uncertain);
        else
            ++uncertain;
    }
}

// Refuses new claims in a bucket whose lost claims nobody has written again. It is read again
// later: another registry may do so. Once the lost claims would have expired, the bucket is
// confirmed by the next write.
void ClaimRegistry::refuseUnconfirmed(Bucket &bucket, Time now)
{
    if (bucket.mayConfirm)
        return;
    std::erase_if(bucket.begins, [&](const PendingClaim &pending) {
        bucket.mayConfirm
                = bucket.mayConfirm || now - m_eraSeen >= seconds(pending.claim.retentionSeconds);
        if (bucket.mayConfirm)
            return false;
        if (pending.maybeWritten)
            bucket.uncertain[pending.claim.id] = { pending.claim.key, now };
        decide(pending, ClaimVerdict::Unavailable, {});
        return true;
    });
}

// Builds the entries of the next write. Returns false if nothing changes.
bool ClaimRegistry::prepareWrite(Bucket &bucket, Time now, std::int64_t nowUnixSeconds) const
{
    bucket.written = bucket.entries;
    bool changed = bucket.mustWrite;
    for (const ClaimRelease &release : bucket.releases) {
        const auto found = bucket.written.find(release.key);
        if (found == bucket.written.end() || found->second.id != release.id
            || found->second.state != EntryState::Running)
            continue;
        bucket.written.erase(found);
        changed = true;
    }
    for (const PendingFinish &pendingFinish : bucket.finishes) {
        const ClaimFinish &finish = pendingFinish.claim;
        const auto found = bucket.written.find(finish.key);
        if (found == bucket.written.end() || found->second.id != finish.id
            || found->second.state == EntryState::Done)
            continue;
        found->second.state = finish.outcome.status == 0 ? EntryState::Unknown : EntryState::Done;
        found->second.outcome = finish.outcome;
        changed = true;
    }
    const bool isGraceOver = m_era <= firstEra || now - m_eraSeen >= restoreGrace;
    for (PendingClaim &pending : bucket.begins) {
        if (!isGraceOver || bucket.written.contains(pending.claim.key))
            continue; // claimed earlier in the same write
        Entry entry;
        entry.id = pending.claim.id;
        entry.fingerprint = pending.claim.fingerprint;
        entry.expiresUnixSeconds = nowUnixSeconds + pending.claim.retentionSeconds;
        bucket.written.emplace(pending.claim.key, std::move(entry));
        pending.inWrite = true;
        changed = true;
    }
    if (changed)
        std::erase_if(bucket.written, [&](const auto &stored) {
            return stored.second.expiresUnixSeconds <= nowUnixSeconds;
        });
    return changed;
}

std::vector<ClaimRegistry::StoreCall> ClaimRegistry::dueCalls(Time now, std::int64_t nowUnixSeconds)
{
    std::vector<StoreCall> calls;
    for (auto &entry : m_buckets) {
        const int index = entry.first;
        Bucket &bucket = entry.second;
        if (bucket.callPending || bucket.retryAt > now)
            continue;
        if (bucket.begins.empty() && bucket.finishes.empty() && bucket.releases.empty()
            && !bucket.memory)
            continue;
        // An expired entry no longer blocks its key.
        std::erase_if(bucket.entries, [&](const auto &stored) {
            return stored.second.expiresUnixSeconds <= nowUnixSeconds;
        });
        if (!bucket.mayConfirm && bucket.readAgainAt <= now)
            bucket.isLoaded = false;
        if (bucket.isLoaded)
            resolvePending(bucket, now);
        const bool needsRead = std::any_of(bucket.begins.begin(), bucket.begins.end(),
                                           [&](const PendingClaim &pending) {
                                               return bucket.entries.contains(pending.claim.key);
                                           });
        if (!bucket.isLoaded || needsRead) {
            bucket.callPending = true;
            calls.push_back({ index, false, 0, "" });
            continue;
        }
        if (now - bucket.lastWrite < writeInterval)
            continue;
        refuseUnconfirmed(bucket, now);
        if (!prepareWrite(bucket, now, nowUnixSeconds))
            continue;
        std::string value = encode(bucket.written, bucket.mayConfirm ? m_era : bucket.storedEra);
        if (value.size() > maxBucketBytes) {
            for (const PendingClaim &pending : bucket.begins)
                decide(pending, ClaimVerdict::Unavailable, {});
            bucket.begins.clear();
            continue;
        }
        bucket.callPending = true;
        bucket.lastWrite = now;
        bucket.writeEra = m_era;
        calls.push_back({ index, true, bucket.version, std::move(value) });
    }
    return calls;
}

bool ClaimRegistry::readDone(int index, std::uint64_t version, const std::string &value, Time now)
{
    Bucket &bucket = m_buckets[index];
    try {
        std::uint64_t storedEra = 0;
        bucket.entries = version == 0 ? Entries() : decode(value, storedEra);
        bucket.storedEra = storedEra;
    } catch (const nlohmann::json::exception &) {
        callFailed(index, now);
        return false;
    }
    bucket.callPending = false;
    bucket.isLoaded = true;
    bucket.wasLoaded = true;
    bucket.version = version;
    bucket.readAt = now;
    recall(bucket, now);
    for (PendingClaim &pending : bucket.begins)
        pending.inWrite = false;
    resolvePending(bucket, now);
    return true;
}

void ClaimRegistry::writeDone(int index, std::uint64_t version, Time now)
{
    Bucket &bucket = m_buckets[index];
    if (bucket.writeEra != m_era) {
        callFailed(index, now); // prepared before a restore of the store
        return;
    }
    bucket.callPending = false;
    bucket.version = version;
    bucket.readAt = now;
    bucket.storedEra = bucket.mayConfirm ? m_era : bucket.storedEra;
    bucket.mustWrite = false;
    bucket.memory.reset();
    bucket.entries = std::move(bucket.written);
    for (PendingClaim &pending : bucket.begins)
        pending.inWrite = false;
    resolvePending(bucket, now);
}

void ClaimRegistry::callFailed(int index, Time now)
{
    Bucket &bucket = m_buckets[index];
    bucket.callPending = false;
    bucket.isLoaded = false;
    bucket.retryAt = now + retryInterval;
    for (PendingClaim &pending : bucket.begins) {
        pending.maybeWritten = pending.maybeWritten || pending.inWrite;
        pending.inWrite = false;
    }
}

void ClaimRegistry::writeConflicted(int index, Time)
{
    Bucket &bucket = m_buckets[index];
    bucket.callPending = false;
    bucket.isLoaded = false;
    for (PendingClaim &pending : bucket.begins)
        pending.inWrite = false;
}

std::vector<ClaimRegistry::OutgoingDecision> ClaimRegistry::takeDecisions(Time now)
{
    for (auto &entry : m_buckets) {
        Bucket &bucket = entry.second;
        std::erase_if(bucket.begins, [&](const PendingClaim &pending) {
            if (now - pending.arrived < decisionTimeout)
                return false;
            if (pending.inWrite || pending.maybeWritten)
                bucket.uncertain[pending.claim.id] = { pending.claim.key, now };
            decide(pending, ClaimVerdict::Unavailable, {});
            return true;
        });
    }
    return std::exchange(m_decisions, {});
}

std::size_t ClaimRegistry::waiting() const
{
    std::size_t count = 0;
    for (const auto &[index, bucket] : m_buckets)
        count += bucket.begins.size();
    return count;
}

} // namespace basildeck
