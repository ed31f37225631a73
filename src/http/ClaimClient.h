#pragma once

#include "core/Mailbox.h"
#include "core/TaskMessages.h"
#include "http/Exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace basildeck {

// The requesting side of claims on idempotency keys. Asks the owner of the key's bucket whether a
// request may run, and resends the outcome until the owner confirms that it is recorded.
class ClaimClient
{
public:
    static constexpr Duration resendInterval = milliseconds(400);
    static constexpr Duration decisionTimeout = milliseconds(2000);
    static constexpr Duration retention = seconds(60);

    ClaimClient(std::string vm, std::uint64_t processIncarnation, Mailbox<PeerMessage> &peer)
        : m_vm(std::move(vm))
        , m_processIncarnation(processIncarnation)
        , m_peer(peer)
    {}

    void setMembers(const MemberList &members) { m_members = members; }

    // Requests the claim of an exchange. resend() repeats it while no decision has arrived.
    void begin(Exchange &exchange, Time now);
    void resend(Exchange &exchange, Time now);
    // Reports the outcome of an exchange, or releases its claim if the request was never run.
    void finish(Exchange &exchange, Time now);
    // Handles the decision of a bucket's owner. Returns the ID of the waiting request, or 0.
    std::uint64_t onDecision(const std::string &owner, const ClaimDecision &decision);
    // Resends the outcomes that are not confirmed.
    void tick(Time now);

private:
    struct UnconfirmedOutcome
    {
        ClaimFinish finish;
        Time firstSent;
        Time lastSent;
    };

    std::string bucketOwner(const std::string &key) const;
    void send(Exchange &exchange, Time now);

    std::string m_vm;
    std::uint64_t m_processIncarnation;
    Mailbox<PeerMessage> &m_peer;
    MemberList m_members;
    std::map<std::uint64_t, UnconfirmedOutcome> m_unconfirmedOutcomes; // by request ID
    std::map<std::uint64_t, Time> m_endedBeforeGrant; // when they ended, by request ID
};

} // namespace basildeck
