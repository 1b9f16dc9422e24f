// Counts requests by queue and outcome, with their latency, as Prometheus text.
// Lock order: m_mutex is the only lock.
#pragma once

#include "dispatch/outcome.h"
#include "global/ids.h"
#include "global/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cyclamenlatch::callerapi {

class RequestMetrics
{
public:
    RequestMetrics() = default;

    void add(const QueueId &queue, dispatch::Outcome outcome, Duration latency);
    // Requests that were refused before they reached a queue.
    void addRefused();
    std::string toText() const;

private:
    using Quantile = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
    using Total = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count,
                                               boost::accumulators::tag::sum>>;
    struct QueueMetrics
    {
        QueueMetrics();
        std::map<dispatch::Outcome, std::uint64_t> outcomes;
        // Seconds from the request's arrival to its reply.
        Quantile median;
        Quantile tail;
        Total total;
    };

    mutable std::mutex m_mutex;
    // Guarded by m_mutex. Holds configured queues only.
    std::map<QueueId, QueueMetrics> m_queues;
    // Guarded by m_mutex.
    std::uint64_t m_refused = 0;
};

} // namespace cyclamenlatch::callerapi
