// Weighted max-min filling and systematic rounding.
#include "dispatch/slotdivision.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace cyclamenlatch::dispatch {

namespace {

struct Claim
{
    std::size_t index = 0;
    double weight = 1;
    double wanted = 0;
};

// Returns the slots of each claim: divided by weight, and at most what the claim wants.
std::vector<double> fillByWeight(double slots, std::vector<Claim> claims)
{
    std::vector<double> allocated(claims.size());
    std::sort(claims.begin(), claims.end(), [](const Claim &left, const Claim &right) {
        return left.wanted / left.weight < right.wanted / right.weight;
    });
    double weights = 0;
    for (const auto &claim : claims) {
        weights += claim.weight;
    }
    for (const auto &claim : claims) {
        const double part = std::min(claim.wanted, slots * claim.weight / weights);
        allocated[claim.index] = part;
        slots -= part;
        weights -= claim.weight;
    }
    return allocated;
}

// Returns a hash in [0, 1) that is the same at every entry.
double unitHash(const WorkerId &worker)
{
    const auto &name = worker.value();
    return static_cast<double>(XXH32(name.data(), name.size(), 0))
           / (static_cast<double>(std::numeric_limits<XXH32_hash_t>::max()) + 1);
}

} // namespace

std::vector<double> fillDemand(double slots, std::size_t entries,
                               std::span<const WorkspaceDemand> demands)
{
    std::vector<Claim> claims;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const auto &wanted = demands[index].slots;
        claims.push_back(
                {index, demands[index].weight, std::accumulate(wanted.begin(), wanted.end(), 0.0)});
    }
    const auto allocated = fillByWeight(slots, claims);
    std::vector<double> parts(entries);
    for (const auto &claim : claims) {
        if (claim.wanted <= 0) {
            continue;
        }
        for (std::size_t entry = 0; entry < entries; ++entry) {
            parts[entry] +=
                    allocated[claim.index] * demands[claim.index].slots[entry] / claim.wanted;
        }
    }
    return parts;
}

std::vector<double> divideSlots(unsigned slots, std::size_t entries,
                                std::span<const WorkspaceDemand> urgent,
                                std::span<const WorkspaceDemand> normal)
{
    auto parts = fillDemand(slots, entries, urgent);
    const auto sumOf = [](const std::vector<double> &values) {
        return std::accumulate(values.begin(), values.end(), 0.0);
    };
    const auto normalParts = fillDemand(std::max(0.0, slots - sumOf(parts)), entries, normal);
    const double unclaimed = std::max(0.0, slots - sumOf(parts) - sumOf(normalParts));
    for (std::size_t entry = 0; entry < entries; ++entry) {
        parts[entry] += normalParts[entry] + unclaimed / static_cast<double>(entries);
    }
    return parts;
}

RoundingOrder roundingOrder(const WorkerId &worker, std::span<const EntryId> entries)
{
    const auto seed = XXH64(worker.value().data(), worker.value().size(), 0);
    std::vector<std::pair<XXH64_hash_t, std::size_t>> ranks;
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto &name = entries[index].value();
        ranks.emplace_back(XXH64(name.data(), name.size(), seed), index);
    }
    std::sort(ranks.begin(), ranks.end());
    RoundingOrder order;
    order.offset = unitHash(worker);
    for (const auto &[rank, index] : ranks) {
        order.entries.push_back(index);
    }
    return order;
}

// Systematic sampling: the parts are laid out as consecutive intervals, shifted by the worker's
// hash, and an entry gets one slot for each whole number in its interval.
std::vector<unsigned> roundSlots(const RoundingOrder &order, std::span<const double> parts)
{
    // Keeps floating-point error from rounding a whole sum down to the next lower number.
    constexpr double tolerance = 1e-9;
    std::vector<unsigned> slots(parts.size());
    double end = order.offset;
    double allocated = 0;
    for (const auto entry : order.entries) {
        end += parts[entry];
        const double wholeEnd = std::floor(end + tolerance);
        slots[entry] = static_cast<unsigned>(std::max(0.0, wholeEnd - allocated));
        allocated = std::max(allocated, wholeEnd);
    }
    return slots;
}

} // namespace cyclamenlatch::dispatch
