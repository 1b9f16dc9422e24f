// Grants idempotency keys, records their outcomes and removes expired ones.
#include "dispatch/outcomeledger.h"

namespace cyclamenlatch::dispatch {

ClaimAnswer OutcomeLedger::makeAnswer(const OutcomeClaim &claim, ClaimVerdict verdict)
{
    return {claim.attempt, verdict, {}};
}

ClaimAnswer OutcomeLedger::claim(const OutcomeClaim &claim, const OwnerRoster &roster, WallTime now)
{
    removeExpired(now);
    const auto key = parseIdempotencyKey(claim.key);
    if (!key || !roster.ownsNow(claim.key)) {
        return makeAnswer(claim, ClaimVerdict::NotOwner);
    }
    const auto found = m_records.find(claim.scope);
    if (found != m_records.end()) {
        return claimExisting(claim, found->second, now);
    }
    const auto mintedAt = key.value().mintedAt;
    if (mintedAt > now + m_settings.clockSkew) {
        return makeAnswer(claim, ClaimVerdict::FromFuture);
    }
    // A key that another owner may have granted, or that this one may have forgotten, is not
    // granted. Another owner grants no key whose time is more than one clock skew ahead of its own
    // clock, which may itself be one skew ahead of this one; hence twice the skew.
    if (mintedAt + m_settings.keyRetention <= now
        || !roster.ownedSince(claim.key, mintedAt - 2 * m_settings.clockSkew)) {
        return makeAnswer(claim, ClaimVerdict::Unknown);
    }
    if (m_records.size() >= m_settings.maxKeys) {
        return makeAnswer(claim, ClaimVerdict::Full);
    }
    grant(claim, m_records[claim.scope], now);
    m_byMintTime.emplace(mintedAt, claim.scope);
    return makeAnswer(claim, ClaimVerdict::Granted);
}

ClaimAnswer OutcomeLedger::claimExisting(const OutcomeClaim &claim, Record &record,
                                         WallTime now) const
{
    if (record.fingerprint != claim.fingerprint) {
        return makeAnswer(claim, ClaimVerdict::FingerprintMismatch);
    }
    if (record.state == State::Claimed && now >= record.claimExpiresAt) {
        record.state = State::Unknown;
    }
    switch (record.state) {
    case State::Claimed:
        return makeAnswer(claim, record.attempt == claim.attempt ? ClaimVerdict::Granted
                                                                 : ClaimVerdict::Running);
    case State::Completed:
        return {claim.attempt, ClaimVerdict::Completed, record.answer};
    case State::Unknown:
        return makeAnswer(claim, ClaimVerdict::Unknown);
    case State::NotRun:
        // A delayed duplicate of the ended attempt's claim must not be granted again.
        if (record.attempt == claim.attempt) {
            return makeAnswer(claim, ClaimVerdict::Running);
        }
        grant(claim, record, now);
        return makeAnswer(claim, ClaimVerdict::Granted);
    }
    return makeAnswer(claim, ClaimVerdict::Unknown);
}

void OutcomeLedger::grant(const OutcomeClaim &claim, Record &record, WallTime now) const
{
    record.state = State::Claimed;
    record.attempt = claim.attempt;
    record.fingerprint = claim.fingerprint;
    record.claimExpiresAt =
            now + std::chrono::milliseconds(claim.timeoutMilliseconds) + m_settings.reportGrace;
}

void OutcomeLedger::report(const OutcomeReport &report, WallTime now)
{
    removeExpired(now);
    const auto found = m_records.find(report.scope);
    if (found == m_records.end() || found->second.attempt != report.attempt) {
        return;
    }
    auto &record = found->second;
    // A late report may still resolve an unknown outcome; all other outcomes are final.
    if (record.state != State::Claimed && record.state != State::Unknown) {
        return;
    }
    switch (report.outcome) {
    case Outcome::Completed:
        record.state = State::Completed;
        record.answer = report.answer;
        if (m_storedBytes + record.answer.body.size() > m_settings.maxStoredBytes) {
            record.answer.isBodyStored = false;
            record.answer.body.clear();
        }
        m_storedBytes += record.answer.body.size();
        return;
    case Outcome::NotRun:
        record.state = State::NotRun;
        return;
    case Outcome::Unknown:
        record.state = State::Unknown;
        return;
    }
}

void OutcomeLedger::removeExpired(WallTime now)
{
    while (!m_byMintTime.empty() && m_byMintTime.begin()->first + m_settings.keyRetention <= now) {
        const auto found = m_records.find(m_byMintTime.begin()->second);
        m_storedBytes -= found->second.answer.body.size();
        m_records.erase(found);
        m_byMintTime.erase(m_byMintTime.begin());
    }
}

} // namespace cyclamenlatch::dispatch
