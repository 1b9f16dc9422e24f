// Divides the slots of a minion among entries. The division depends only on its arguments, so
// entries that know the same demand compute the same division without exchanging messages.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <span>
#include <vector>

namespace cyclamenlatch::dispatch {

// Demand of one workspace on one minion, in slots.
struct WorkspaceDemand
{
    double weight = 1;
    // Demand through each entry.
    std::vector<double> slots;
};

// Divides slots among workspaces by weighted max-min fairness, so that none gets more than its
// demand, and each workspace's part among entries in proportion to its demand there. Returns the
// part of each entry.
std::vector<double> fillDemand(double slots, std::size_t entries,
                               std::span<const WorkspaceDemand> demands);

// Returns the slots of each entry: urgent demand is served first, then normal demand; unclaimed
// slots are divided equally. The sum is the number of slots.
std::vector<double> divideSlots(unsigned slots, std::size_t entries,
                                std::span<const WorkspaceDemand> urgent,
                                std::span<const WorkspaceDemand> normal);

// Order in which a worker's parts are rounded; the same wherever the same entries are known.
struct RoundingOrder
{
    // Offset of the rounding grid, in [0, 1).
    double offset = 0;
    // Entries in rendezvous order.
    std::vector<std::size_t> entries;
};

RoundingOrder roundingOrder(const WorkerId &worker, std::span<const EntryId> entries);

// Rounds the parts to whole slots: each part is rounded down or up and the sum is preserved.
// Averaged over many workers, each entry gets its part.
std::vector<unsigned> roundSlots(const RoundingOrder &order, std::span<const double> parts);

} // namespace cyclamenlatch::dispatch
