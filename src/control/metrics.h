// Counters, gauges and histograms of one entry in the Prometheus text format. Used on the event
// loop's only thread.
#pragma once

#include "global/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cyclamenlatch::control {

class Metrics
{
public:
    // The name may carry labels: requests_total{status="200"}.
    void count(const std::string &name, std::uint64_t amount = 1) { m_counters[name] += amount; }
    void set(const std::string &name, double value) { m_gauges[name] = value; }
    // Adds a duration to a histogram, whose name must not carry labels.
    void observe(const std::string &name, Duration duration);

    std::string text() const;

private:
    // Upper bounds of the buckets in seconds; they span a fast store call to a job's longest wait.
    static constexpr std::array<double, 12> bounds{0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
                                                   0.5,   1,    2,    5,    10,  30};

    struct Histogram
    {
        // The last bucket has no upper bound.
        std::array<std::uint64_t, bounds.size() + 1> counts{};
        std::uint64_t total = 0;
        double sum = 0;
    };

    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, Histogram> m_histograms;
};

} // namespace cyclamenlatch::control
