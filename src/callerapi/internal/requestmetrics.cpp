// Renders counters and quantiles in Prometheus' text format.
#include "callerapi/requestmetrics.h"

#include <fmt/format.h>

namespace cyclamenlatch::callerapi {

namespace {

namespace acc = boost::accumulators;

constexpr double medianFraction = 0.5;
constexpr double tailFraction = 0.99;

} // namespace

RequestMetrics::QueueMetrics::QueueMetrics()
    : median(acc::quantile_probability = medianFraction)
    , tail(acc::quantile_probability = tailFraction)
{}

void RequestMetrics::add(const QueueId &queue, dispatch::Outcome outcome, Duration latency)
{
    const double seconds = toSeconds(latency);
    const std::lock_guard lock(m_mutex);
    auto &metrics = m_queues[queue];
    ++metrics.outcomes[outcome];
    metrics.median(seconds);
    metrics.tail(seconds);
    metrics.total(seconds);
}

void RequestMetrics::addRefused()
{
    const std::lock_guard lock(m_mutex);
    ++m_refused;
}

std::string RequestMetrics::toText() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = "# TYPE cyclamenlatch_requests_total counter\n";
    for (const auto &[queue, metrics] : m_queues) {
        for (const auto &[outcome, count] : metrics.outcomes) {
            text += fmt::format("cyclamenlatch_requests_total{{queue=\"{}\",outcome=\"{}\"}} {}\n",
                                queue.value(), dispatch::outcomeNames.name(outcome), count);
        }
    }
    text += "# TYPE cyclamenlatch_requests_refused_total counter\n";
    text += fmt::format("cyclamenlatch_requests_refused_total {}\n", m_refused);
    text += "# TYPE cyclamenlatch_request_seconds summary\n";
    for (const auto &[queue, metrics] : m_queues) {
        const auto &name = queue.value();
        text += fmt::format(
                "cyclamenlatch_request_seconds{{queue=\"{}\",quantile=\"{}\"}} {:.6f}\n", name,
                medianFraction, acc::p_square_quantile(metrics.median));
        text += fmt::format(
                "cyclamenlatch_request_seconds{{queue=\"{}\",quantile=\"{}\"}} {:.6f}\n", name,
                tailFraction, acc::p_square_quantile(metrics.tail));
        text += fmt::format("cyclamenlatch_request_seconds_sum{{queue=\"{}\"}} {:.6f}\n", name,
                            acc::sum(metrics.total));
        text += fmt::format("cyclamenlatch_request_seconds_count{{queue=\"{}\"}} {}\n", name,
                            acc::count(metrics.total));
    }
    return text;
}

} // namespace cyclamenlatch::callerapi
