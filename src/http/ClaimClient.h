#pragma once

#include "core/Mailbox.h"
#include "core/TaskMessages.h"
#include "http/Exchange.h"

#include <cstdint>
#include <map>
#include <string>

namespace basildeck {

// The side of a claim that runs the request: asks the owner of the key's bucket for the right to
// run it, and sends the outcome until the owner confirms that it is recorded.
class ClaimClient
{
public:
    static constexpr Duration resendInterval = milliseconds(400);
    static constexpr Duration timeout = milliseconds(2000);
    static constexpr Duration memory = seconds(60);

    ClaimClient(std::string vm, std::uint64_t processNumber, Mailbox<PeerMessage> &peer)
        : m_vm(std::move(vm))
        , m_processNumber(processNumber)
        , m_peer(peer)
    {}

    void setMembers(const MemberList &members) { m_members = members; }

    // Starts the claim of an exchange, or asks again if no decision has come.
    void begin(Exchange &exchange, Time now);
    void resend(Exchange &exchange, Time now);
    // Records the outcome of an exchange, or gives its claim back if it was certainly not run.
    void finish(Exchange &exchange, Time now);
    // Takes in a decision. Returns the request that waits for it, or 0.
    std::uint64_t onDecision(const std::string &owner, const ClaimDecision &decision);
    // Sends outcomes again that are not confirmed.
    void tick(Time now);

private:
    struct Unconfirmed
    {
        ClaimFinish finish;
        Time first;
        Time sent;
    };

    std::string ownerOf(const std::string &key) const;
    void send(Exchange &exchange, Time now);

    std::string m_vm;
    std::uint64_t m_processNumber;
    Mailbox<PeerMessage> &m_peer;
    MemberList m_members;
    std::map<std::uint64_t, Unconfirmed> m_unconfirmed; // by request
    std::map<std::uint64_t, Time> m_endedUndecided;     // requests that ended before any grant
};

} // namespace basildeck
