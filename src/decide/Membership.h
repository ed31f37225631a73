#pragma once

#include "basildeck/Time.h"
#include "core/Members.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace basildeck {

// Probes a VM, which responds with an Ack of the same sequence number.
struct Ping
{
    std::uint64_t sequence = 0;
};

struct Ack
{
    std::uint64_t sequence = 0;
};

// Indirect probe: asks a VM to ping the target on behalf of the sender.
struct PingRequest
{
    std::uint64_t sequence = 0;
    std::string target;
};

// Tells the sender of a PingRequest that the target responded.
struct IndirectAck
{
    std::uint64_t sequence = 0;
    std::string target;
};

// Group membership and failure detection with random probes, indirect probes and piggybacked
// updates (SWIM: Das, Gupta and Motivala 2002). The cost per VM does not grow with the number of
// VMs.
//
// A VM that learns that it is suspected or considered dead refutes this with a higher incarnation.
// A process that was paused for longer than the suspicion timeout therefore rejoins with a new
// incarnation.
class Membership
{
public:
    static constexpr Duration probePeriod = milliseconds(200);
    static constexpr Duration directProbeTimeout = milliseconds(250);
    static constexpr Duration probeTimeout = milliseconds(500);
    static constexpr Duration suspicionTimeout = milliseconds(1600);
    // Interval of probes of dead members, by which the sides of a network partition find each other
    // again.
    static constexpr Duration deadProbePeriod = milliseconds(1000);
    static constexpr Duration deadMemberRetention = seconds(600);
    // Whole member lists are exchanged if digests still differ after the time that updates need to
    // reach all VMs.
    static constexpr Duration convergenceTime = seconds(3);
    static constexpr Duration fullSyncInterval = seconds(5);
    // A new process adds itself to each message for this time, because the first messages may reach
    // VMs that do not listen yet.
    static constexpr Duration selfAnnouncementPeriod = seconds(30);
    static constexpr std::size_t indirectProbeCount = 3;
    static constexpr std::size_t maxUpdatesPerMessage = 6;

    struct PingTo
    {
        std::string vm;
        Ping ping;
    };
    struct PingRequestTo
    {
        std::string vm;
        PingRequest request;
    };
    struct Probes
    {
        std::vector<PingTo> pings;
        std::vector<PingRequestTo> requests;
    };

    Membership(Member self, std::uint64_t randomSeed);

    // Returns the probes that are due.
    Probes tick(Time now);
    // Called when the Ack to a probe arrives, directly or through another VM.
    void acknowledged(const std::string &vm, std::uint64_t sequence, Time now);
    // Called for every message from a VM.
    void onMessageFrom(const std::string &vm, std::uint64_t incarnation, Time now);

    // Returns true if the update changed what is known.
    bool applyUpdate(const Member &update, Time now);
    // Digest of the members that are not dead, equal on all VMs with the same view of them.
    std::uint64_t digest() const;
    // Returns true if the digest of another VM shows that updates were missed, so that its whole
    // list has to be fetched.
    bool needsFullSync(std::uint64_t otherDigest, Time now);

    // Updates to piggyback on the next message to a VM: one about that VM first, then those that
    // were sent least often.
    std::vector<Member> takeUpdates(const std::string &to);

    // Marks this VM as leaving and disseminates this.
    void leave();
    void setOwnLoad(std::uint32_t loadPermille) { m_self.loadPermille = loadPermille; }
    void setLoad(const std::string &vm, std::uint32_t loadPermille);

    const Member &self() const { return m_self; }
    // All members including this VM, ordered by name.
    MemberList members() const;
    const Member *find(const std::string &vm) const;
    // Number of changes, not counting those of loads.
    std::uint64_t revision() const { return m_revision; }
    // Other members that are not dead, chosen at random.
    std::vector<std::string> randomLiveMembers(std::size_t count);

private:
    struct MemberRecord
    {
        Member member;
        Time changedAt;
    };
    struct Probe
    {
        std::uint64_t sequence;
        Time sent;
        bool indirect = false;
    };
    struct PendingUpdate
    {
        int sends = 0;
    };

    void setState(MemberRecord &known, MemberState state, Time now);
    void enqueueUpdate(const std::string &vm);
    void checkTimeouts(Time now);
    std::optional<std::string> nextToProbe();
    int retransmitLimit() const;

    Member m_self;
    std::map<std::string, MemberRecord> m_members;
    std::map<std::string, Probe> m_probes;
    std::map<std::string, PendingUpdate> m_pendingUpdates;
    std::vector<std::string> m_probeOrder;
    std::uint64_t m_nextSequence = 1;
    std::optional<Time> m_firstTick;
    Time m_lastTick;
    Time m_lastProbe;
    Time m_lastDeadProbe;
    std::uint64_t m_revision = 1;
    mutable std::uint64_t m_digest = 0;
    mutable std::uint64_t m_digestRevision = 0;
    std::uint64_t m_convergingRevision = 0;
    Time m_convergingSince;
    Time m_lastFullSync;
    std::mt19937_64 m_random;
};

} // namespace basildeck
