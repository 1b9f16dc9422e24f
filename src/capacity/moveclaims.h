// The places that moves hold in the disruption ledgers, which they share with maintenance waves:
// a worker that drains to change its pool counts as out, and a worker with a claim of the other
// kind is left alone.
//
// A claim names the attempt of the worker's record, which grows with each move that begins. Once
// a record shows that an attempt is over it stays over, so that claims of it may be removed on any
// old reading; and a claim is only relied on by a write that is conditional on the record.
#pragma once

#include "capacity/workerassignment.h"
#include "maintenance/budget.h"
#include "maintenance/ledgerrecord.h"
#include "maintenance/versioned.h"
#include "store/storewrite.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::capacity {

struct MoveLedgers
{
    // By budget name, as read from the store.
    std::unordered_map<std::string, maintenance::Versioned<maintenance::LedgerRecord>> records;
    maintenance::BudgetTable budgets;
    // Failures are noted only while a wave is under way; at other times notes may be out of date.
    bool countOutages = false;
};

// Waves can't be named like this.
WaveId moveClaimId(std::uint64_t attempt);
// Nothing for the claim of a wave.
std::optional<std::uint64_t> attemptOf(const WaveId &claim);

class MoveClaims
{
public:
    explicit MoveClaims(const MoveLedgers &ledgers);

    // Whether every ledger that the worker touches has a place for it, or has its claim already.
    bool hasRoom(const WorkerId &worker, std::uint64_t attempt) const;
    bool isTakenByWave(const WorkerId &worker) const;
    // Whether the store, not only this pass, has the claim in every ledger.
    bool isHeld(const WorkerId &worker, std::uint64_t attempt) const;
    // Whether more workers are out than a budget of the worker's allows.
    bool isOverfull(const WorkerId &worker) const;
    void add(const WorkerId &worker, std::uint64_t attempt);
    // Removes the claims of attempts that are over.
    void removeOver(const std::unordered_map<WorkerId, VersionedAssignment> &assignments);
    std::vector<store::StoreWrite> writes() const;

private:
    struct Ledger
    {
        maintenance::LedgerRecord record;
        store::StoreRevision revision = 0;
        bool changed = false;
    };

    std::vector<const maintenance::Budget *> touched(const WorkerId &worker) const;
    const Ledger &ledgerOf(const maintenance::Budget &budget) const;
    std::size_t used(const Ledger &ledger) const;

    const MoveLedgers &m_ledgers;
    // By budget name, with the changes of this pass.
    std::unordered_map<std::string, Ledger> m_changed;
};

} // namespace cyclamenlatch::capacity
