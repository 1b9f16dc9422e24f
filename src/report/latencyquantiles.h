// Streaming median and 99th percentile of latencies (Boost.Accumulators, P-square).
// Source: Jain and Chlamtac, "The P-square algorithm for dynamic calculation of quantiles and
// histograms without storing observations", Communications of the ACM 28(10), 1985.
#pragma once

#include "global/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace cyclamenlatch::report {

class LatencyQuantiles
{
public:
    LatencyQuantiles()
        : m_median(boost::accumulators::quantile_probability = 0.5)
        , m_p99(boost::accumulators::quantile_probability = 0.99)
    {}

    void add(Duration latency)
    {
        m_median(toSeconds(latency));
        m_p99(toSeconds(latency));
    }
    // Seconds.
    double median() const { return boost::accumulators::p_square_quantile(m_median); }
    double p99() const { return boost::accumulators::p_square_quantile(m_p99); }

private:
    using Quantile = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    Quantile m_median;
    Quantile m_p99;
};

} // namespace cyclamenlatch::report
