// The owner's records of the outcome of each idempotency key. Reads no clock: the time is passed in
// and must not go back. A key is granted again only after the earlier attempt was proven not-run.
#pragma once

#include "dispatch/idempotencykey.h"
#include "dispatch/outcomeclaim.h"
#include "dispatch/ownerroster.h"

#include <map>
#include <string>
#include <unordered_map>

namespace cyclamenlatch::dispatch {

struct LedgerSettings
{
    // Longest difference between the clocks of any two callers or entries.
    std::chrono::milliseconds clockSkew{1000};
    // Keys older than this are forgotten; claims for them are answered with Unknown.
    std::chrono::milliseconds keyRetention{900000};
    // Time after an attempt's timeout until the attempt counts as unknown without a report.
    std::chrono::milliseconds reportGrace{5000};
    std::size_t maxKeys = 200000;
    std::size_t maxStoredBytes = std::size_t{64} * 1024 * 1024;
};

class OutcomeLedger
{
public:
    explicit OutcomeLedger(LedgerSettings settings)
        : m_settings(settings)
    {}

    ClaimAnswer claim(const OutcomeClaim &claim, const OwnerRoster &roster, WallTime now);
    void report(const OutcomeReport &report, WallTime now);
    std::size_t size() const { return m_records.size(); }

private:
    enum class State { Claimed, Completed, NotRun, Unknown };
    struct Record
    {
        State state = State::Claimed;
        std::string attempt;
        std::uint64_t fingerprint = 0;
        // Time from which the claim counts as unknown unless it was reported.
        WallTime claimExpiresAt;
        StoredAnswer answer;
    };

    static ClaimAnswer makeAnswer(const OutcomeClaim &claim, ClaimVerdict verdict);
    ClaimAnswer claimExisting(const OutcomeClaim &claim, Record &record, WallTime now) const;
    void grant(const OutcomeClaim &claim, Record &record, WallTime now) const;
    void removeExpired(WallTime now);

    LedgerSettings m_settings;
    std::unordered_map<std::string, Record> m_records;
    // Scopes ordered by the time at which their keys were made, so that the oldest expire first.
    std::multimap<WallTime, std::string> m_byMintTime;
    // Invariant: the sum of the sizes of all stored bodies.
    std::size_t m_storedBytes = 0;
};

} // namespace cyclamenlatch::dispatch
