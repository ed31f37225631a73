#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Identifies one attempt to run a request: the VM and process that make it, and a sequence number
// within that process.
struct ClaimId
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const ClaimId &other) const = default;
};

// The recorded response to a request. The body is kept only if it is small.
struct ClaimOutcome
{
    int status = 0; // 0: the outcome is unknown
    std::string contentType;
    std::string body;
    bool bodyKept = false;
};

// Requests the right to run the request with an idempotency key. The key is a digest of the
// organisation and the caller's key; the fingerprint is a digest of the request itself.
struct ClaimBegin
{
    ClaimId id;
    std::string key;
    std::uint64_t fingerprint = 0;
    int retentionSeconds = 0;
};

// Records the outcome of a claimed request.
struct ClaimFinish
{
    ClaimId id;
    std::string key;
    ClaimOutcome outcome;
};

// Releases a claim whose request was not run and will not be.
struct ClaimRelease
{
    ClaimId id;
    std::string key;
};

// Recorded is the answer to a ClaimFinish: the outcome is in the store, or the claim no longer is.
// The other verdicts answer a ClaimBegin.
enum class ClaimVerdict {
    Granted,
    Replay,
    InProgress,
    OutcomeUnknown,
    Mismatch,
    Unavailable,
    Recorded,
};

struct ClaimDecision
{
    ClaimId id;
    std::string key;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    ClaimOutcome outcome;
};

// Claims on idempotency keys, kept in buckets of the platform's store.
//
// The owner of a bucket collects the changes that arrive while a write is in flight and commits
// them in the next conditional write. Ownership only avoids write conflicts. Correctness depends on
// the store's version check alone, so two owners, a paused owner or a lost response are harmless. A
// claim is granted only once its write is known to have taken effect.
//
// When the store comes back from a copy, claims that it acknowledged may be lost in it. Each
// registry then writes the entries that it remembers of a bucket again, which confirms the bucket
// for the store's new era. New claims are granted only in confirmed buckets, and not before the
// other registries had time to do the same. If nothing is remembered of a bucket, new claims in it
// are unavailable until lost ones would have expired.
class ClaimRegistry
{
public:
    // Time from a restore of the store until new claims are granted.
    static constexpr Duration restoreGrace = seconds(3);
    static constexpr int bucketCount = 16;
    // Time between two writes of one bucket; limits the fleet to 160 writes per second.
    static constexpr Duration writeInterval = milliseconds(100);
    // A claim that is not decided within this time is reported as unavailable.
    static constexpr Duration decisionTimeout = milliseconds(1500);
    static constexpr std::size_t maxBucketBytes = 900'000;
    static constexpr std::size_t maxKeptBodyBytes = 1024;

    static int bucketOf(const std::string &key);
    // Returns the name of a bucket's object in the store.
    static std::string bucketName(int bucket);

    // Sets the store's era, which rises with each restore; in the first era nothing is lost. Call
    // it before passing on results of that era. Results of earlier eras count as failed calls.
    void setEra(std::uint64_t era, Time now);
    std::uint64_t era() const { return m_era; }

    void begin(const std::string &from, const ClaimBegin &claim, Time now);
    void finish(const std::string &from, const ClaimFinish &claim);
    void release(const ClaimRelease &claim, Time now);

    // A call to the store.
    struct StoreCall
    {
        int bucket = 0;
        bool isWrite = false;
        std::uint64_t expectedVersion = 0; // for a write
        std::string value;                 // for a write
    };
    // Returns the calls to make now.
    std::vector<StoreCall> dueCalls(Time now, std::int64_t nowUnixSeconds);

    // Handles the result of a read; the version is 0 if the object does not exist. Returns false if
    // the value cannot be read. Then the claims of the bucket are refused, because it may have the
    // keys of requests that were executed, and it is read again later.
    bool readDone(int bucket, std::uint64_t version, const std::string &value, Time now);
    // Handles a write that took effect.
    void writeDone(int bucket, std::uint64_t version, Time now);
    // Handles a call without a result. If it was a write, it may have taken effect. The next call
    // for the bucket is a read.
    void callFailed(int bucket, Time now);
    // Handles a write that had no effect because the version had changed.
    void writeConflicted(int bucket, Time now);

    struct OutgoingDecision
    {
        std::string vm;
        ClaimDecision decision;
    };
    // Returns the decisions to send now, including those on claims that timed out.
    std::vector<OutgoingDecision> takeDecisions(Time now);

    // The number of undecided claims.
    std::size_t waiting() const;

private:
    enum class EntryState { Running, Done, Unknown };
    struct Entry
    {
        ClaimId id;
        std::uint64_t fingerprint = 0;
        EntryState state = EntryState::Running;
        ClaimOutcome outcome;
        std::int64_t expiresUnixSeconds = 0;
    };
    struct PendingClaim
    {
        std::string from;
        ClaimBegin claim;
        Time arrived;
        bool inWrite = false;      // part of the write in flight
        bool maybeWritten = false; // part of a write with an unknown result
    };
    struct PendingFinish
    {
        std::string from;
        ClaimFinish claim;
    };
    using Entries = std::map<std::string, Entry>; // by key
    // What a registry knows of a bucket from before a restore of the store.
    struct Memory
    {
        std::uint64_t version = 0;
        Entries entries;
    };
    struct Bucket
    {
        bool isLoaded = false; // version and entries match the store, as far as known
        bool wasLoaded = false;
        std::uint64_t storedEra = 0; // in which the bucket was last confirmed
        bool mayConfirm = true;      // whether a write confirms the bucket for the current era
        bool mustWrite = false;      // entries differ from those in the store
        std::uint64_t writeEra = 0;  // of the write in flight
        std::optional<Memory> memory;
        std::uint64_t version = 0;
        Time readAt;
        Entries entries;
        std::vector<PendingClaim> begins;
        std::vector<PendingFinish> finishes;
        std::vector<ClaimRelease> releases;
        std::map<ClaimId, std::pair<std::string, Time>> uncertain; // declined, but may be written
        bool callPending = false;
        Entries written; // entries of the write in flight
        Time lastWrite;
        Time retryAt;
        Time readAgainAt; // of a bucket that is not confirmed
    };

    void resolvePending(Bucket &bucket, Time now);
    void decide(const PendingClaim &pending, ClaimVerdict verdict, const ClaimOutcome &outcome);
    void recall(Bucket &bucket, Time now) const;
    void refuseUnconfirmed(Bucket &bucket, Time now);
    bool prepareWrite(Bucket &bucket, Time now, std::int64_t nowUnixSeconds) const;
    static void merge(Entries &entries, const Entries &remembered);
    static std::string encode(const Entries &entries, std::uint64_t era);
    // Throws nlohmann::json::exception if the value cannot be read.
    static Entries decode(const std::string &value, std::uint64_t &era);

    std::map<int, Bucket> m_buckets;
    std::uint64_t m_era = 0;
    Time m_eraSeen;
    std::vector<OutgoingDecision> m_decisions;
};

} // namespace basildeck
