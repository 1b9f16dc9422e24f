// Reads and changes claims in ledgers.
#include "capacity/moveclaims.h"

#include "maintenance/recordjson.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace cyclamenlatch::capacity {

namespace {

using maintenance::Budget;
using maintenance::Claim;

constexpr std::string_view claimPrefix = "/move/";

bool isOver(const WorkerAssignment &assignment, std::uint64_t attempt)
{
    const bool isUnderWay = assignment.step == AssignmentStep::Claiming
                            || assignment.step == AssignmentStep::Draining;
    return attempt < assignment.attempt || (attempt == assignment.attempt && !isUnderWay);
}

} // namespace

WaveId moveClaimId(std::uint64_t attempt)
{
    return WaveId(std::string(claimPrefix) + std::to_string(attempt));
}

std::optional<std::uint64_t> attemptOf(const WaveId &claim)
{
    const std::string_view text = claim.value();
    if (!text.starts_with(claimPrefix)) {
        return std::nullopt;
    }
    std::uint64_t attempt = 0;
    const auto *begin = text.data() + claimPrefix.size();
    const auto *end = text.data() + text.size();
    const auto read = std::from_chars(begin, end, attempt);
    return read.ec == std::errc() && read.ptr == end ? std::optional(attempt) : std::nullopt;
}

MoveClaims::MoveClaims(const MoveLedgers &ledgers)
    : m_ledgers(ledgers)
{
    for (const auto &budget : ledgers.budgets.budgets) {
        m_changed[budget.name];
    }
    for (const auto &[name, found] : ledgers.records) {
        m_changed[name] = {found.record, found.revision, false};
    }
}

bool MoveClaims::hasRoom(const WorkerId &worker, std::uint64_t attempt) const
{
    const auto budgets = touched(worker);
    return !isTakenByWave(worker)
           && std::all_of(budgets.begin(), budgets.end(), [&](const Budget *budget) {
                  const auto &ledger = ledgerOf(*budget);
                  const auto &claims = ledger.record.claims;
                  const Claim own{worker, moveClaimId(attempt)};
                  return std::find(claims.begin(), claims.end(), own) != claims.end()
                         || used(ledger) < budget->maxOut;
              });
}

bool MoveClaims::isTakenByWave(const WorkerId &worker) const
{
    return std::any_of(m_changed.begin(), m_changed.end(), [&](const auto &item) {
        const auto &claims = item.second.record.claims;
        return std::any_of(claims.begin(), claims.end(), [&](const Claim &claim) {
            return claim.worker == worker && !attemptOf(claim.wave);
        });
    });
}

bool MoveClaims::isHeld(const WorkerId &worker, std::uint64_t attempt) const
{
    const auto budgets = touched(worker);
    const Claim own{worker, moveClaimId(attempt)};
    return std::all_of(budgets.begin(), budgets.end(), [&](const Budget *budget) {
        const auto found = m_ledgers.records.find(budget->name);
        if (found == m_ledgers.records.end()) {
            return false;
        }
        const auto &claims = found->second.record.claims;
        return std::find(claims.begin(), claims.end(), own) != claims.end();
    });
}

bool MoveClaims::isOverfull(const WorkerId &worker) const
{
    const auto budgets = touched(worker);
    return std::any_of(budgets.begin(), budgets.end(), [&](const Budget *budget) {
        return used(ledgerOf(*budget)) > budget->maxOut;
    });
}

void MoveClaims::add(const WorkerId &worker, std::uint64_t attempt)
{
    const Claim own{worker, moveClaimId(attempt)};
    for (const auto *budget : touched(worker)) {
        auto &ledger = m_changed[budget->name];
        auto &claims = ledger.record.claims;
        if (std::find(claims.begin(), claims.end(), own) == claims.end()) {
            claims.push_back(own);
            ledger.changed = true;
        }
    }
}

void MoveClaims::removeOver(const std::unordered_map<WorkerId, VersionedAssignment> &assignments)
{
    for (auto &[name, ledger] : m_changed) {
        const auto removed = std::erase_if(ledger.record.claims, [&](const Claim &claim) {
            const auto attempt = attemptOf(claim.wave);
            const auto found = assignments.find(claim.worker);
            return attempt && found != assignments.end()
                   && isOver(found->second.assignment, *attempt);
        });
        ledger.changed = ledger.changed || removed > 0;
    }
}

std::vector<store::StoreWrite> MoveClaims::writes() const
{
    std::vector<store::StoreWrite> writes;
    for (const auto &[name, ledger] : m_changed) {
        if (ledger.changed) {
            writes.push_back({maintenance::ledgerKey(name), maintenance::writeRecord(ledger.record),
                              ledger.revision, ""});
        }
    }
    return writes;
}

std::vector<const Budget *> MoveClaims::touched(const WorkerId &worker) const
{
    std::vector<const Budget *> budgets;
    const auto found = m_ledgers.budgets.touched.find(worker);
    if (found != m_ledgers.budgets.touched.end()) {
        for (const auto index : found->second) {
            budgets.push_back(&m_ledgers.budgets.budgets[index]);
        }
    }
    return budgets;
}

const MoveClaims::Ledger &MoveClaims::ledgerOf(const Budget &budget) const
{
    return m_changed.at(budget.name);
}

std::size_t MoveClaims::used(const Ledger &ledger) const
{
    return m_ledgers.countOutages ? ledger.record.used() : ledger.record.claims.size();
}

} // namespace cyclamenlatch::capacity
