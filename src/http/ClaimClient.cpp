#include "http/ClaimClient.h"

#include "core/Hash.h"

#include <algorithm>

namespace basildeck {

namespace {

// Hexadecimal digits of the digest that identifies a claim.
constexpr std::size_t claimKeyDigits = 32;

} // namespace

std::string ClaimClient::bucketOwner(const std::string &key) const
{
    std::vector<std::string> aliveVms;
    for (const Member &member : m_members) {
        if (member.state == MemberState::Alive)
            aliveVms.push_back(member.vm);
    }
    if (aliveVms.empty())
        return m_vm;
    return aliveVms[rendezvousPick(ClaimRegistry::bucketName(ClaimRegistry::bucketOf(key)),
                                   aliveVms)];
}

void ClaimClient::begin(Exchange &exchange, Time now)
{
    const std::string &requestKey = exchange.head.idempotencyKey;
    exchange.claim = ClaimId{ m_vm, m_processIncarnation, exchange.id };
    exchange.claimKey
            = sha256Hex(exchange.organisation + '\n' + requestKey).substr(0, claimKeyDigits);
    send(exchange, now);
}

void ClaimClient::resend(Exchange &exchange, Time now)
{
    if (now - exchange.claimSentAt > resendInterval)
        send(exchange, now);
}

void ClaimClient::send(Exchange &exchange, Time now)
{
    exchange.claimSentAt = now;
    m_peer.post(OutgoingStorePayload{
            bucketOwner(exchange.claimKey),
            ClaimBegin{ *exchange.claim, exchange.claimKey, exchange.fingerprint,
                        exchange.config->defaults.claimRetentionSeconds } });
}

void ClaimClient::finish(Exchange &exchange, Time now)
{
    if (!exchange.claim)
        return;
    const std::string owner = bucketOwner(exchange.claimKey);
    if (exchange.claimGranted && exchange.mayHaveRun) {
        const ClaimFinish finish{ *exchange.claim, exchange.claimKey, exchange.outcome };
        m_unconfirmedOutcomes[exchange.id] = { finish, now, now };
        m_peer.post(OutgoingStorePayload{ owner, finish });
    } else {
        if (!exchange.claimGranted)
            m_endedBeforeGrant[exchange.id] = now;
        m_peer.post(
                OutgoingStorePayload{ owner, ClaimRelease{ *exchange.claim, exchange.claimKey } });
    }
    exchange.claim.reset();
}

std::uint64_t ClaimClient::onDecision(const std::string &owner, const ClaimDecision &decision)
{
    if (decision.id.vm != m_vm || decision.id.incarnation != m_processIncarnation)
        return 0;
    const std::uint64_t request = decision.id.sequence;
    if (decision.verdict == ClaimVerdict::Recorded) {
        m_unconfirmedOutcomes.erase(request);
        return 0;
    }
    // The claim may only be released if the request ended before any grant: only then is it certain
    // that the request was never sent to an upstream.
    if (decision.verdict == ClaimVerdict::Granted && m_endedBeforeGrant.contains(request))
        m_peer.post(OutgoingStorePayload{ owner, ClaimRelease{ decision.id, decision.key } });
    return request;
}

void ClaimClient::tick(Time now)
{
    std::erase_if(m_unconfirmedOutcomes,
                  [&](const auto &entry) { return now - entry.second.firstSent > retention; });
    std::erase_if(m_endedBeforeGrant,
                  [&](const auto &entry) { return now - entry.second > retention; });
    for (auto &[request, unconfirmed] : m_unconfirmedOutcomes) {
        if (now - unconfirmed.lastSent < resendInterval)
            continue;
        unconfirmed.lastSent = now;
        m_peer.post(
                OutgoingStorePayload{ bucketOwner(unconfirmed.finish.key), unconfirmed.finish });
    }
}

} // namespace basildeck
