// Decaying outcome counts and the decisions on them.
#include "routing/workerhealth.h"

#include <algorithm>
#include <cmath>

namespace cyclamenlatch::routing {

namespace {

// Slots open at the begin of a slow start.
constexpr double firstOpenShare = 0.1;
constexpr unsigned maxDoublings = 6;

} // namespace

double WorkerHealth::decayTo(TimePoint now, Duration halfLife, TimePoint since) const
{
    return now <= since ? 1 : std::exp2(-toSeconds(now - since) / toSeconds(halfLife));
}

void WorkerHealth::settle(TimePoint now, const HealthSettings &settings)
{
    m_counts = counts(now, settings);
    m_settledAt = std::max(now, m_settledAt);
}

void WorkerHealth::addSuccess(TimePoint now, const HealthSettings &settings)
{
    settle(now, settings);
    m_counts.successes += 1;
}

void WorkerHealth::addFailure(TimePoint now, const HealthSettings &settings)
{
    settle(now, settings);
    m_counts.failures += 1;
}

void WorkerHealth::addOccupancy(TimePoint now, const HealthSettings &settings)
{
    m_occupancy = occupancy(now, settings) + 1;
    m_occupiedAt = std::max(now, m_occupiedAt);
}

OutcomeCounts WorkerHealth::counts(TimePoint now, const HealthSettings &settings) const
{
    const double decay = decayTo(now, settings.halfLife, m_settledAt);
    return {m_counts.successes * decay, m_counts.failures * decay};
}

double WorkerHealth::occupancy(TimePoint now, const HealthSettings &settings) const
{
    return m_occupancy * decayTo(now, settings.failureOccupancy, m_occupiedAt);
}

bool WorkerHealth::deservesEjection(TimePoint now, const OutcomeCounts &peers,
                                    const HealthSettings &settings) const
{
    const auto own = counts(now, settings);
    return !isEjected(now) && own.total() >= settings.minOutcomes
           && own.failureShare() >= settings.minFailureShare
           && own.failureShare() >= settings.peerFactor * peers.failureShare();
}

void WorkerHealth::eject(TimePoint now, const HealthSettings &settings)
{
    if (m_ejections > 0 && now > m_ejectedUntil + 2 * settings.slowStart) {
        m_ejections = 0;
    }
    const auto length = settings.firstEjection * (1 << std::min(m_ejections, maxDoublings));
    m_ejectedUntil = now + std::min<Duration>(length, settings.longestEjection);
    ++m_ejections;
    m_counts = {};
}

double WorkerHealth::openShare(TimePoint now, const HealthSettings &settings) const
{
    if (m_ejections == 0 || now >= m_ejectedUntil + settings.slowStart) {
        return 1;
    }
    if (isEjected(now)) {
        return 0;
    }
    return std::max(firstOpenShare,
                    toSeconds(now - m_ejectedUntil) / toSeconds(settings.slowStart));
}

} // namespace cyclamenlatch::routing
