// Collects metrics and writes them in the Prometheus text format.
#include "control/metrics.h"

#include <fmt/format.h>

#include <algorithm>

namespace cyclamenlatch::control {

namespace {

constexpr const char *prefix = "cyclamenlatch_";

} // namespace

void Metrics::observe(const std::string &name, Duration duration)
{
    auto &histogram = m_histograms[name];
    const double seconds = toSeconds(duration);
    const auto bucket = std::lower_bound(bounds.begin(), bounds.end(), seconds) - bounds.begin();
    ++histogram.counts[static_cast<std::size_t>(bucket)];
    ++histogram.total;
    histogram.sum += seconds;
}

std::string Metrics::text() const
{
    std::string text;
    const auto out = std::back_inserter(text);
    for (const auto &[name, value] : m_counters) {
        fmt::format_to(out, "{}{} {}\n", prefix, name, value);
    }
    for (const auto &[name, value] : m_gauges) {
        fmt::format_to(out, "{}{} {}\n", prefix, name, value);
    }
    for (const auto &[name, histogram] : m_histograms) {
        std::uint64_t below = 0;
        for (std::size_t index = 0; index < bounds.size(); ++index) {
            below += histogram.counts[index];
            fmt::format_to(out, "{}{}_bucket{{le=\"{}\"}} {}\n", prefix, name, bounds[index],
                           below);
        }
        fmt::format_to(out, "{}{}_bucket{{le=\"+Inf\"}} {}\n", prefix, name, histogram.total);
        fmt::format_to(out, "{}{}_sum {}\n{}{}_count {}\n", prefix, name, histogram.sum, prefix,
                       name, histogram.total);
    }
    return text;
}

} // namespace cyclamenlatch::control
