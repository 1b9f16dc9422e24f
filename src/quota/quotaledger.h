// The store's record of one workspace limit: how many units exist and to whom they were given.
// Trades between entries do not touch it, so an account says what its holder drew from here and
// not what it holds now; an account may be negative after units were handed back by another.
// Invariant: units that any holder can use are at most out(), whatever is lost or repeated.
#pragma once

#include "quota/quotaholder.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cyclamenlatch::quota {

struct QuotaAccount
{
    std::int64_t units = 0;
    // Counts the holder's own changes; tells it whether a write with a lost answer took effect.
    std::uint64_t operation = 0;
};

struct QuotaLedger
{
    std::uint64_t limit = 0;
    // Revision of the fleet document that the limit comes from.
    std::uint64_t fleetRevision = 0;
    std::map<QuotaHolder, QuotaAccount> accounts;
    // Gone holders whose units are back. Never settled twice; the oldest lives are forgotten.
    std::set<QuotaHolder> settled;

    // Units that holders may use at this moment: those given out, which is more than the limit
    // while a lower limit is not in force yet.
    std::uint64_t out() const;
    std::uint64_t free() const;
    // True when no more than the limit can be running.
    bool inForce() const { return out() <= limit; }

    // Takes a limit from a newer fleet document; returns false when it is not newer.
    bool setLimit(std::uint64_t units, std::uint64_t revision);
    // Gives up to this many free units to the holder; returns how many.
    std::uint64_t draw(const QuotaHolder &holder, std::uint64_t units);
    // Takes units back that the holder has already deducted.
    void handBack(const QuotaHolder &holder, std::uint64_t units);
    // Frees what gone holders had: their accounts, with what crossed between them and each live
    // holder folded into the live one's account. Idempotent for each gone holder.
    void settle(const std::map<QuotaHolder, std::map<QuotaHolder, std::int64_t>> &foldsByGone);
};

std::string toJson(const QuotaLedger &ledger);
// Returns nothing when the text is not a ledger.
std::optional<QuotaLedger> ledgerFromJson(const std::string &text);

} // namespace cyclamenlatch::quota
