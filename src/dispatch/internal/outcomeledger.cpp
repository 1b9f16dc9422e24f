// Grants, remembers and forgets idempotency keys.
#include "dispatch/outcomeledger.h"

namespace cyclamenlatch::dispatch {

ClaimAnswer OutcomeLedger::answerOf(const OutcomeClaim &claim, ClaimVerdict verdict)
{
    return {claim.attempt, verdict, {}};
}

ClaimAnswer OutcomeLedger::claim(const OutcomeClaim &claim, const OwnerRoster &roster, WallTime now)
{
    forgetOld(now);
    const auto key = parseIdempotencyKey(claim.key);
    if (!key || !roster.ownsNow(claim.key)) {
        return answerOf(claim, ClaimVerdict::NotOwner);
    }
    const auto found = m_records.find(claim.scope);
    if (found != m_records.end()) {
        return claimKnown(claim, found->second, now);
    }
    const auto mintedAt = key.value().mintedAt;
    if (mintedAt > now + m_settings.clockSkew) {
        return answerOf(claim, ClaimVerdict::FromFuture);
    }
    // What may have been granted by another owner, or forgotten by this one, is not run again.
    // Another owner grants no key whose time is more than one skew ahead of its own clock, which
    // itself may be one skew ahead of this one.
    if (mintedAt + m_settings.memory <= now
        || !roster.ownedSince(claim.key, mintedAt - 2 * m_settings.clockSkew)) {
        return answerOf(claim, ClaimVerdict::Unknown);
    }
    if (m_records.size() >= m_settings.maxKeys) {
        return answerOf(claim, ClaimVerdict::Full);
    }
    grant(claim, m_records[claim.scope], now);
    m_byMintTime.emplace(mintedAt, claim.scope);
    return answerOf(claim, ClaimVerdict::Granted);
}

ClaimAnswer OutcomeLedger::claimKnown(const OutcomeClaim &claim, Record &record, WallTime now) const
{
    if (record.fingerprint != claim.fingerprint) {
        return answerOf(claim, ClaimVerdict::FingerprintMismatch);
    }
    if (record.state == State::Claimed && now >= record.claimEnds) {
        record.state = State::Unknown;
    }
    switch (record.state) {
    case State::Claimed:
        return answerOf(claim, record.attempt == claim.attempt ? ClaimVerdict::Granted
                                                               : ClaimVerdict::Running);
    case State::Completed:
        return {claim.attempt, ClaimVerdict::Completed, record.answer};
    case State::Unknown:
        return answerOf(claim, ClaimVerdict::Unknown);
    case State::NotRun:
        // A late copy of the ended attempt's claim must not open it again.
        if (record.attempt == claim.attempt) {
            return answerOf(claim, ClaimVerdict::Running);
        }
        grant(claim, record, now);
        return answerOf(claim, ClaimVerdict::Granted);
    }
    return answerOf(claim, ClaimVerdict::Unknown);
}

void OutcomeLedger::grant(const OutcomeClaim &claim, Record &record, WallTime now) const
{
    record.state = State::Claimed;
    record.attempt = claim.attempt;
    record.fingerprint = claim.fingerprint;
    record.claimEnds =
            now + std::chrono::milliseconds(claim.timeoutMilliseconds) + m_settings.reportGrace;
}

void OutcomeLedger::report(const OutcomeReport &report, WallTime now)
{
    forgetOld(now);
    const auto found = m_records.find(report.scope);
    if (found == m_records.end() || found->second.attempt != report.attempt) {
        return;
    }
    auto &record = found->second;
    // Unknown may still turn out well; anything else is final.
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

void OutcomeLedger::forgetOld(WallTime now)
{
    while (!m_byMintTime.empty() && m_byMintTime.begin()->first + m_settings.memory <= now) {
        const auto found = m_records.find(m_byMintTime.begin()->second);
        m_storedBytes -= found->second.answer.body.size();
        m_records.erase(found);
        m_byMintTime.erase(m_byMintTime.begin());
    }
}

} // namespace cyclamenlatch::dispatch
