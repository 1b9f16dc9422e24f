// What an entry has learned of one worker from the requests it ran: a decaying count of outcomes,
// the occupancy that failures stand for, ejection, and the slow start after it. Pure: time is
// passed in.
#pragma once

#include "global/time.h"

namespace cyclamenlatch::routing {

struct HealthSettings
{
    // Half-life of the outcome counts.
    Duration halfLife = std::chrono::seconds(5);
    // A failure counts as an occupied slot for about this long, so that a minion which fails
    // fast looks as busy as one that works.
    Duration failureOccupancy = std::chrono::seconds(1);
    // Outcomes needed before a worker is judged.
    double minOutcomes = 5;
    // A worker is ejected when its share of failures is at least this, and ...
    double minFailureShare = 0.5;
    // ... at least this many times its peers' share.
    double peerFactor = 3;
    // First ejection; doubles with each one that follows soon, up to the longest.
    Duration firstEjection = std::chrono::seconds(5);
    Duration longestEjection = std::chrono::seconds(60);
    // Time over which a returning worker's slots are opened again.
    Duration slowStart = std::chrono::seconds(10);
};

struct OutcomeCounts
{
    double successes = 0;
    double failures = 0;

    double total() const { return successes + failures; }
    double failureShare() const { return total() > 0 ? failures / total() : 0; }
};

class WorkerHealth
{
public:
    void addSuccess(TimePoint now, const HealthSettings &settings);
    void addFailure(TimePoint now, const HealthSettings &settings);
    // Raises the occupancy for a failure whose cause is not yet known.
    void addOccupancy(TimePoint now, const HealthSettings &settings);

    OutcomeCounts counts(TimePoint now, const HealthSettings &settings) const;
    // Slots that recent failures count for.
    double occupancy(TimePoint now, const HealthSettings &settings) const;
    // Whether the counts call for an ejection, given those of the worker's peers together.
    bool deservesEjection(TimePoint now, const OutcomeCounts &peers,
                          const HealthSettings &settings) const;
    void eject(TimePoint now, const HealthSettings &settings);
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }
    // Share of its slots that the worker may use now, in (0, 1]; below 1 after an ejection.
    double openShare(TimePoint now, const HealthSettings &settings) const;

private:
    double decayTo(TimePoint now, Duration halfLife, TimePoint since) const;
    void settle(TimePoint now, const HealthSettings &settings);

    // Values as of m_settledAt and m_occupiedAt.
    OutcomeCounts m_counts;
    TimePoint m_settledAt{};
    double m_occupancy = 0;
    TimePoint m_occupiedAt{};
    TimePoint m_ejectedUntil{};
    // Ejections without a slow start passed through in between.
    unsigned m_ejections = 0;
};

} // namespace cyclamenlatch::routing
