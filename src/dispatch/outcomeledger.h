// The owner's memory of what became of each idempotency key. Pure: the time is passed in and must
// not go back. A key is granted to at most one attempt whose end is not proven to be not-run.
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
    // Longest difference between two clocks of callers and entries.
    std::chrono::milliseconds clockSkew{1000};
    // Keys older than this are not remembered, and answered with unknown.
    std::chrono::milliseconds memory{900000};
    // Time after an attempt's own timeout until it counts as unknown.
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
        // When a claim without a report counts as unknown.
        WallTime claimEnds;
        StoredAnswer answer;
    };

    static ClaimAnswer answerOf(const OutcomeClaim &claim, ClaimVerdict verdict);
    ClaimAnswer claimKnown(const OutcomeClaim &claim, Record &record, WallTime now) const;
    void grant(const OutcomeClaim &claim, Record &record, WallTime now) const;
    void forgetOld(WallTime now);

    LedgerSettings m_settings;
    std::unordered_map<std::string, Record> m_records;
    // Scopes by the time their keys were made, so that the oldest are forgotten first.
    std::multimap<WallTime, std::string> m_byMintTime;
    // Invariant: sum of the kept bodies' sizes.
    std::size_t m_storedBytes = 0;
};

} // namespace cyclamenlatch::dispatch
