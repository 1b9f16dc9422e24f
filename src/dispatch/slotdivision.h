// Divides the slots of a minion over entries. Pure: entries that know the same demand come to the
// same division without talking.
#pragma once

#include "global/ids.h"

#include <cstddef>
#include <span>
#include <vector>

namespace cyclamenlatch::dispatch {

// What one workspace asks of one minion, in slots.
struct WorkspaceDemand
{
    double weight = 1;
    // By entry.
    std::vector<double> slots;
};

// Gives slots to workspaces by weight, none more than it asks for (weighted max-min), and each
// workspace's part to entries by their part of its demand. Returns what each entry gets.
std::vector<double> fillDemand(double slots, std::size_t entries,
                               std::span<const WorkspaceDemand> demands);

// Slots of each entry: urgent demand first, then the other; what nobody asks for is lent equally.
// The sum is the number of slots.
std::vector<double> divideSlots(unsigned slots, std::size_t entries,
                                std::span<const WorkspaceDemand> urgent,
                                std::span<const WorkspaceDemand> normal);

// How one worker's parts are rounded; the same at every entry that knows the same entries.
struct RoundingOrder
{
    // In [0, 1).
    double offset = 0;
    // Entries in rendezvous order.
    std::vector<std::size_t> entries;
};

RoundingOrder roundingOrder(const WorkerId &worker, std::span<const EntryId> entries);

// Whole slots from the division: each entry gets its part rounded down or up, and all together get
// what the parts add up to. Over many workers each entry's mean is its part.
std::vector<unsigned> roundSlots(const RoundingOrder &order, std::span<const double> parts);

} // namespace cyclamenlatch::dispatch
