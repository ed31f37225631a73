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

// Asks a VM whether it lives. The target answers with an Ack of the same number.
struct Ping
{
    std::uint64_t sequence = 0;
};

struct Ack
{
    std::uint64_t sequence = 0;
};

// Asks a VM to ping another one and to pass on its Ack.
struct PingRequest
{
    std::uint64_t sequence = 0;
    std::string target;
};

// Passes on that the target of a PingRequest answered.
struct IndirectAck
{
    std::uint64_t sequence = 0;
    std::string target;
};

// Which VMs live, by random probing with indirect probes and piggybacked updates (SWIM, Das, Gupta
// and Motivala 2002). The cost of a VM does not grow with the number of VMs.
//
// A VM that hears itself suspected raises its incarnation and says so; a process that was stopped
// for longer than the suspicion lasts therefore returns as a new incarnation.
class Membership
{
public:
    static constexpr Duration probePeriod = milliseconds(200);
    static constexpr Duration directProbeTimeout = milliseconds(250);
    static constexpr Duration probeTimeout = milliseconds(500);
    static constexpr Duration suspicionTimeout = milliseconds(1600);
    // Dead members are probed now and then, so that two halves of a fleet find each other again.
    static constexpr Duration deadProbePeriod = milliseconds(1000);
    static constexpr Duration deadMemberRetention = seconds(600);
    // Lists that differ for longer than news takes to spread are compared as a whole.
    static constexpr Duration convergenceTime = seconds(3);
    static constexpr Duration fullSyncInterval = seconds(5);
    // A new process names itself in each message for this time, because its first ones may go to
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

    // The probes to send now.
    Probes tick(Time now);
    // An Ack arrived for a probe of this VM.
    void acknowledged(const std::string &vm, std::uint64_t sequence, Time now);
    // Anything arrived from a VM.
    void onMessageFrom(const std::string &vm, std::uint64_t incarnation, Time now);

    // Takes in an update. Returns true if it was news.
    bool applyUpdate(const Member &news, Time now);
    // A digest of the VMs that are not dead, equal on all VMs that know the same of them.
    std::uint64_t digest() const;
    // Another VM has a digest. Returns true if its whole list is to be fetched, because some news
    // must have been missed.
    bool needsFullSync(std::uint64_t otherDigest, Time now);

    // Updates to attach to the next message, the least spread ones first.
    std::vector<Member> takeUpdates(const std::string &to);

    // Marks this VM as leaving and spreads it.
    void leave();
    void setOwnLoad(std::uint32_t loadPermille) { m_self.loadPermille = loadPermille; }
    void setLoad(const std::string &vm, std::uint32_t loadPermille);

    const Member &self() const { return m_self; }
    // All members with this one, by name.
    MemberList members() const;
    const Member *find(const std::string &vm) const;
    // Counts changes other than those of loads.
    std::uint64_t revision() const { return m_revision; }
    // A few other live members at random.
    std::vector<std::string> randomLiveMembers(std::size_t count);

private:
    struct Known
    {
        Member member;
        Time changed;
    };
    struct Probe
    {
        std::uint64_t sequence;
        Time sent;
        bool indirect = false;
    };
    struct Rumour
    {
        int sends = 0;
    };

    void setState(Known &known, MemberState state, Time now);
    void spread(const std::string &vm);
    void expire(Time now);
    std::optional<std::string> nextToProbe();
    int sendLimit() const;

    Member m_self;
    std::map<std::string, Known> m_known;
    std::map<std::string, Probe> m_probes;
    std::map<std::string, Rumour> m_rumours;
    std::vector<std::string> m_probeOrder;
    std::uint64_t m_nextSequence = 1;
    std::optional<Time> m_firstTick;
    Time m_lastTick;
    Time m_lastProbe;
    Time m_lastDeadProbe;
    std::uint64_t m_revision = 1;
    mutable std::uint64_t m_digest = 0;
    mutable std::uint64_t m_digestRevision = 0;
    std::uint64_t m_settlingRevision = 0;
    Time m_settlingSince;
    Time m_lastCompare;
    std::mt19937_64 m_random;
};

} // namespace basildeck
