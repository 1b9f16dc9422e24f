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

// The most that each claim gets when slots are given by weight up to what is wanted.
std::vector<double> fillByWeight(double slots, std::vector<Claim> claims)
{
    std::vector<double> given(claims.size());
    std::sort(claims.begin(), claims.end(), [](const Claim &left, const Claim &right) {
        return left.wanted / left.weight < right.wanted / right.weight;
    });
    double weights = 0;
    for (const auto &claim : claims) {
        weights += claim.weight;
    }
    for (const auto &claim : claims) {
        const double part = std::min(claim.wanted, slots * claim.weight / weights);
        given[claim.index] = part;
        slots -= part;
        weights -= claim.weight;
    }
    return given;
}

// In [0, 1), the same at every entry.
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
    const auto given = fillByWeight(slots, claims);
    std::vector<double> parts(entries);
    for (const auto &claim : claims) {
        if (claim.wanted <= 0) {
            continue;
        }
        for (std::size_t entry = 0; entry < entries; ++entry) {
            parts[entry] += given[claim.index] * demands[claim.index].slots[entry] / claim.wanted;
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
    const auto rest = fillDemand(std::max(0.0, slots - sumOf(parts)), entries, normal);
    const double unwanted = std::max(0.0, slots - sumOf(parts) - sumOf(rest));
    for (std::size_t entry = 0; entry < entries; ++entry) {
        parts[entry] += rest[entry] + unwanted / static_cast<double>(entries);
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

// Systematic sampling: entries lie side by side on a line, each as long as its part, and an entry
// gets the whole numbers, shifted by the worker's hash, that fall on it.
std::vector<unsigned> roundSlots(const RoundingOrder &order, std::span<const double> parts)
{
    // Keeps a sum that is a whole number from being rounded below it.
    constexpr double tolerance = 1e-9;
    std::vector<unsigned> slots(parts.size());
    double end = order.offset;
    double given = 0;
    for (const auto entry : order.entries) {
        end += parts[entry];
        const double upTo = std::floor(end + tolerance);
        slots[entry] = static_cast<unsigned>(std::max(0.0, upTo - given));
        given = std::max(given, upTo);
    }
    return slots;
}

} // namespace cyclamenlatch::dispatch
