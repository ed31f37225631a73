#include "http/ClaimClient.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

namespace {

constexpr std::size_t keyDigits = 32; // hexadecimal digits of the digest that names a claim

} // namespace

std::string ClaimClient::ownerOf(const std::string &key) const
{
    std::vector<std::string> live;
    for (const Member &member : m_members) {
        if (member.state == MemberState::Alive)
            live.push_back(member.vm);
    }
    if (live.empty())
        return m_vm;
    return live[rendezvousPick(ClaimRegistry::bucketName(ClaimRegistry::bucketOf(key)), live)];
}

void ClaimClient::begin(Exchange &exchange, Time now)
{
    const std::string &callersKey = exchange.head.idempotencyKey;
    exchange.claim = ClaimId{ m_vm, m_processNumber, exchange.id };
    exchange.claimKey = sha256Hex(exchange.organisation + '\n' + callersKey).substr(0, keyDigits);
    send(exchange, now);
}

void ClaimClient::resend(Exchange &exchange, Time now)
{
    if (now - exchange.claimSent > resendInterval)
        send(exchange, now);
}

void ClaimClient::send(Exchange &exchange, Time now)
{
    exchange.claimSent = now;
    m_peer.post(OutgoingStorePayload{
            ownerOf(exchange.claimKey),
            ClaimBegin{ *exchange.claim, exchange.claimKey, exchange.fingerprint,
                        exchange.config->defaults.claimRetentionSeconds } });
}

void ClaimClient::finish(Exchange &exchange, Time now)
{
    if (!exchange.claim)
        return;
    const std::string owner = ownerOf(exchange.claimKey);
    if (exchange.claimGranted && exchange.mayHaveRun) {
        const ClaimFinish finish{ *exchange.claim, exchange.claimKey, exchange.outcome };
        m_unconfirmed[exchange.id] = { finish, now, now };
        m_peer.post(OutgoingStorePayload{ owner, finish });
    } else {
        if (!exchange.claimGranted)
            m_endedUndecided[exchange.id] = now;
        m_peer.post(
                OutgoingStorePayload{ owner, ClaimRelease{ *exchange.claim, exchange.claimKey } });
    }
    exchange.claim.reset();
}

std::uint64_t ClaimClient::onDecision(const std::string &owner, const ClaimDecision &decision)
{
    if (decision.id.vm != m_vm || decision.id.incarnation != m_processNumber)
        return 0;
    const std::uint64_t request = decision.id.sequence;
    if (decision.verdict == ClaimVerdict::Recorded) {
        m_unconfirmed.erase(request);
        return 0;
    }
    // Only a request that ended before any grant is known never to have been sent on.
    if (decision.verdict == ClaimVerdict::Granted && m_endedUndecided.contains(request))
        m_peer.post(OutgoingStorePayload{ owner, ClaimRelease{ decision.id, decision.key } });
    return request;
}

void ClaimClient::tick(Time now)
{
    std::erase_if(m_unconfirmed,
                  [&](const auto &entry) { return now - entry.second.first > memory; });
    std::erase_if(m_endedUndecided, [&](const auto &entry) { return now - entry.second > memory; });
    for (auto &[request, unconfirmed] : m_unconfirmed) {
        if (now - unconfirmed.sent < resendInterval)
            continue;
        unconfirmed.sent = now;
        m_peer.post(OutgoingStorePayload{ ownerOf(unconfirmed.finish.key), unconfirmed.finish });
    }
}

} // namespace basildeck
