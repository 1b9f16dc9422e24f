// Turns totals into rates.
#include "capacity/demandbook.h"

#include <algorithm>
#include <cmath>

namespace cyclamenlatch::capacity {

namespace {

// Seconds over which rates are smoothed.
constexpr double shortSpan = 3;
constexpr double longSpan = 120;
// Answers closer together than this say too little.
constexpr std::chrono::milliseconds leastInterval{100};
// An entry is silent after this, or after so many of its usual intervals.
constexpr std::chrono::seconds leastSilence{10};
constexpr int silentIntervals = 3;

void blend(double &kept, double seen, double seconds, double span)
{
    kept += (seen - kept) * (1 - std::exp(-seconds / span));
}

} // namespace

void DemandBook::take(const EntryId &id, std::uint64_t incarnation, const DemandAnswer &answer,
                      TimePoint now)
{
    auto &entry = m_entries[id];
    if (incarnation < entry.incarnation) {
        return;
    }
    const bool isNew = incarnation > entry.incarnation || !isFresh(entry, now);
    if (!isNew && now - entry.at < leastInterval) {
        return;
    }
    if (isNew) {
        entry = Entry{incarnation, now, {}, {}};
    }
    entry.interval = now - entry.at;
    entry.at = now;
    for (const auto &sample : answer.pools) {
        auto &track = entry.pools[sample.pool];
        if (isNew) {
            track.arrivals = sample.arrivals;
        }
        advance(track, sample, toSeconds(entry.interval));
    }
}

void DemandBook::advance(Track &track, const PoolSample &sample, double seconds)
{
    // An answer that was overtaken by a later one.
    if (sample.arrivals < track.arrivals) {
        return;
    }
    auto &load = track.load;
    load.queued = sample.queued;
    load.runTime = sample.runTime;
    if (seconds <= 0) {
        return;
    }
    const auto rate = static_cast<double>(sample.arrivals - track.arrivals) / seconds;
    track.arrivals = sample.arrivals;
    if (!track.rated) {
        track.rated = true;
        load.arrivalRate = load.longArrivalRate = rate;
        return;
    }
    blend(load.arrivalRate, rate, seconds, shortSpan);
    blend(load.longArrivalRate, rate, seconds, longSpan);
}

bool DemandBook::isFresh(const Entry &entry, TimePoint now)
{
    return now - entry.at <= std::max<Duration>(leastSilence, entry.interval * silentIntervals);
}

std::unordered_map<PoolId, PoolLoad> DemandBook::loads(TimePoint now) const
{
    std::unordered_map<PoolId, PoolLoad> sums;
    for (const auto &[id, entry] : m_entries) {
        if (!isFresh(entry, now)) {
            continue;
        }
        for (const auto &[pool, track] : entry.pools) {
            auto &sum = sums[pool];
            // The run time is weighed by the rate; the little bit stands for pools at rest.
            constexpr double atRest = 1e-9;
            const auto before = sum.runTime > 0 ? sum.arrivalRate + atRest : 0;
            const auto more = track.load.runTime > 0 ? track.load.arrivalRate + atRest : 0;
            if (before + more > 0) {
                sum.runTime = (sum.runTime * before + track.load.runTime * more) / (before + more);
            }
            sum.arrivalRate += track.load.arrivalRate;
            sum.longArrivalRate += track.load.longArrivalRate;
            sum.queued += track.load.queued;
        }
    }
    return sums;
}

} // namespace cyclamenlatch::capacity
