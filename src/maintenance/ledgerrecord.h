// The disruption ledger of one budget; stored at maintenance/ledger/<budget>. All data centres
// share it: a claim is one compare-and-swap, so two leaders can't both take the last place.
#pragma once

#include "global/ids.h"
#include "maintenance/hostrecord.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace cyclamenlatch::maintenance {

// A place in the budget that a host of a wave holds.
struct Claim
{
    WorkerId worker;
    WaveId wave;

    bool operator==(const Claim &) const = default;
};

// A worker that failed outside of any wave.
struct Outage
{
    WorkerId worker;
    // Its leader enters and removes the outage.
    DataCentreId dataCentre;
    RecordTime since = 0;

    bool operator==(const Outage &) const = default;
};

struct LedgerRecord
{
    std::vector<Claim> claims;
    std::vector<Outage> outages;

    bool operator==(const LedgerRecord &) const = default;

    bool hasClaim(const WorkerId &worker) const
    {
        return std::any_of(claims.begin(), claims.end(),
                           [&](const Claim &claim) { return claim.worker == worker; });
    }

    bool hasOutage(const WorkerId &worker) const
    {
        return std::any_of(outages.begin(), outages.end(),
                           [&](const Outage &outage) { return outage.worker == worker; });
    }

    // Workers that are out: each counts once, whether claimed, failed or both.
    std::size_t used() const
    {
        return claims.size()
               + static_cast<std::size_t>(
                       std::count_if(outages.begin(), outages.end(), [&](const Outage &outage) {
                           return !hasClaim(outage.worker);
                       }));
    }
};

} // namespace cyclamenlatch::maintenance
