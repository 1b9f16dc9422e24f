// Learns how long work runs, because declared run times are far off. Keeps the mean and streaming
// quantiles in constant memory.
#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstddef>

namespace cyclamenlatch::capacity {

class RunTimeEstimate
{
public:
    // The declared value stands in until enough was seen.
    explicit RunTimeEstimate(double declared)
        : m_declared(declared)
        , m_seen(boost::accumulators::tag::extended_p_square::probabilities = quantiles)
    {}

    void add(double value) { m_seen(value); }

    double mean() const { return isLearned() ? boost::accumulators::mean(m_seen) : m_declared; }
    double median() const { return isLearned() ? quantile(0) : m_declared; }
    double highQuantile() const { return isLearned() ? quantile(1) : m_declared; }
    std::size_t count() const { return boost::accumulators::count(m_seen); }

private:
    static constexpr std::size_t enough = 8;
    static constexpr std::array<double, 2> quantiles{0.5, 0.95};

    bool isLearned() const { return count() >= enough; }
    double quantile(std::size_t index) const
    {
        return boost::accumulators::extended_p_square(m_seen)[static_cast<long>(index)];
    }

    double m_declared;
    boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<boost::accumulators::tag::count,
                                               boost::accumulators::tag::mean,
                                               boost::accumulators::tag::extended_p_square>>
            m_seen;
};

} // namespace cyclamenlatch::capacity
