// Distributions of run times, and estimates that draw on several of them.
#include "scheduling/runtimehistory.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cyclamenlatch::scheduling {

namespace {

// An estimate of the next coarser level counts as much as this many runs.
constexpr double coarserLevelRuns = 6;
// Stands in for the declared run time where none is given.
constexpr double unknownSeconds = 1;
// Ratio of the high estimate to the median while no run is known.
constexpr double unknownHighRatio = 3;
constexpr double highQuantile = 0.95;
// Shortest run time that is told apart, in seconds; it keeps logarithms finite.
constexpr double minSeconds = 0.001;
constexpr double recordScale = 100;
// Weight of the last run in the accuracy of a queue: about fifty runs are averaged.
constexpr double accuracyWeight = 0.02;
// Queues whose accuracy is kept.
constexpr std::size_t maxAccuracies = 500;

double toLog(double seconds)
{
    return std::log(std::max(seconds, minSeconds));
}

Duration fromLog(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exp(value)));
}

double declaredSeconds(const RunKind &kind)
{
    return kind.declared.count() > 0 ? toSeconds(kind.declared) : unknownSeconds;
}

std::vector<std::int16_t> toRecord(const std::vector<double> &values, std::size_t next)
{
    std::vector<std::int16_t> record;
    for (std::size_t index = 0; index < values.size(); ++index) {
        const double value = values[(next + index) % values.size()];
        record.push_back(
                static_cast<std::int16_t>(std::lround(std::clamp(recordScale * value, -3e4, 3e4))));
    }
    return record;
}

} // namespace

void RunTimeHistory::Samples::add(double value)
{
    if (values.size() < maxRuns) {
        values.push_back(value);
        return;
    }
    values[next] = value;
    next = (next + 1) % maxRuns;
}

void RunTimeHistory::Samples::summarize()
{
    if (values.empty()) {
        return;
    }
    auto sorted = values;
    std::sort(sorted.begin(), sorted.end());
    const auto quantile = [&](double share) {
        const double position = share * static_cast<double>(sorted.size() - 1);
        const auto below = static_cast<std::size_t>(position);
        const auto above = std::min(below + 1, sorted.size() - 1);
        return std::lerp(sorted[below], sorted[above], position - static_cast<double>(below));
    };
    median = quantile(0.5);
    high = quantile(highQuantile);
    double sum = 0;
    spread = 0;
    for (const double value : sorted) {
        sum += std::exp(value);
        spread += std::abs(value - median) / static_cast<double>(sorted.size());
    }
    logOfMean = std::log(sum / static_cast<double>(sorted.size()));
}

RunTimeHistory::RunTimeHistory(std::size_t maxKinds)
    : m_maxKinds(maxKinds)
{}

// From the coarsest to the finest.
std::vector<std::string> RunTimeHistory::levels(const RunKind &kind)
{
    const std::string queue(kind.queue);
    std::vector<std::string> names{"queue " + queue,
                                   "step " + std::to_string(kind.step) + " of " + queue};
    if (!kind.image.empty()) {
        names.push_back("image " + std::string(kind.image));
    }
    return names;
}

const RunTimeHistory::Kind *RunTimeHistory::find(const std::string &name) const
{
    const auto found = m_kindByName.find(name);
    return found == m_kindByName.end() ? nullptr : &*found->second;
}

RunTimeHistory::Kind &RunTimeHistory::touch(const std::string &name)
{
    const auto found = m_kindByName.find(name);
    if (found != m_kindByName.end()) {
        m_kinds.splice(m_kinds.begin(), m_kinds, found->second);
        return m_kinds.front();
    }
    m_kinds.push_front(Kind{name, {}, {}});
    m_kindByName.emplace(name, m_kinds.begin());
    forgetOldKinds();
    return m_kinds.front();
}

void RunTimeHistory::forgetOldKinds()
{
    while (m_kinds.size() > std::max<std::size_t>(m_maxKinds, 1)) {
        m_kindByName.erase(m_kinds.back().name);
        m_kinds.pop_back();
    }
}

void RunTimeHistory::addEnd(const RunKind &kind, Duration runTime)
{
    const double real = toLog(toSeconds(runTime));
    const double learned = toLog(toSeconds(estimate(kind).median));
    const std::string queue(kind.queue);
    if (m_accuracy.contains(queue) || m_accuracy.size() < maxAccuracies) {
        auto &accuracy = m_accuracy[queue];
        const double weight = std::max(accuracyWeight, 1.0 / static_cast<double>(++accuracy.runs));
        accuracy.learnedError += weight * (std::abs(real - learned) - accuracy.learnedError);
        accuracy.declaredError +=
                weight * (std::abs(real - toLog(declaredSeconds(kind))) - accuracy.declaredError);
    }
    add(kind, toSeconds(runTime));
}

// The mass of a censored run goes to the longer runs that are known; their mean stands for it.
void RunTimeHistory::addCut(const RunKind &kind, Duration ranFor)
{
    const double atLeast = toLog(toSeconds(ranFor));
    if (ranFor <= estimate(kind).median) {
        return;
    }
    double sum = 0;
    std::size_t longer = 0;
    for (const auto &name : levels(kind)) {
        const auto *known = find(name);
        if (known == nullptr) {
            continue;
        }
        sum = 0;
        longer = 0;
        for (const double value : known->times.values) {
            sum += value > atLeast ? value : 0;
            longer += value > atLeast ? 1 : 0;
        }
    }
    add(kind, std::exp(longer == 0 ? atLeast : sum / static_cast<double>(longer)));
}

void RunTimeHistory::add(const RunKind &kind, double seconds)
{
    ++m_runsAdded;
    const double time = toLog(seconds);
    for (const auto &name : levels(kind)) {
        auto &known = touch(name);
        known.times.add(time);
        known.times.summarize();
        if (kind.declared.count() > 0) {
            known.ratios.add(time - toLog(toSeconds(kind.declared)));
            known.ratios.summarize();
        }
    }
}

RunTimeEstimate RunTimeHistory::estimate(const RunKind &kind) const
{
    const double declared = toLog(declaredSeconds(kind));
    double median = declared;
    double mean = declared;
    double high = declared + std::log(unknownHighRatio);
    std::size_t runs = 0;
    for (const auto &name : levels(kind)) {
        const auto *known = find(name);
        if (known == nullptr || known->times.values.empty()) {
            continue;
        }
        // Declared times that say nothing of the real ones widen the ratios; then the run times by
        // themselves tell more.
        const bool usesRatios = kind.declared.count() > 0 && !known->ratios.values.empty()
                                && known->ratios.spread <= known->times.spread;
        const auto &samples = usesRatios ? known->ratios : known->times;
        const double base = usesRatios ? declared : 0;
        runs = samples.values.size();
        const double weight =
                static_cast<double>(runs) / (static_cast<double>(runs) + coarserLevelRuns);
        median = std::lerp(median, base + samples.median, weight);
        mean = std::lerp(mean, base + samples.logOfMean, weight);
        high = std::lerp(high, base + samples.high, weight);
    }
    if (runs == 0) {
        const auto exact = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(declaredSeconds(kind)));
        return {exact, exact, fromLog(high), 0};
    }
    return {fromLog(median), fromLog(std::max(mean, median)), fromLog(std::max(high, median)),
            runs};
}

std::vector<RunTimeHistory::Record> RunTimeHistory::records(std::size_t maxRecords) const
{
    std::vector<Record> records;
    for (const auto &kind : m_kinds) {
        if (records.size() == maxRecords) {
            break;
        }
        records.push_back(Record{kind.name, toRecord(kind.ratios.values, kind.ratios.next),
                                 toRecord(kind.times.values, kind.times.next)});
    }
    return records;
}

void RunTimeHistory::restore(const std::vector<Record> &records)
{
    for (const auto &record : records) {
        const bool isValid = !record.kind.empty() && !record.times.empty()
                             && record.times.size() <= maxRuns && record.ratios.size() <= maxRuns;
        if (!isValid || m_kindByName.contains(record.kind) || m_kinds.size() >= m_maxKinds) {
            continue;
        }
        Kind kind{record.kind, {}, {}};
        for (const auto value : record.ratios) {
            kind.ratios.add(value / recordScale);
        }
        for (const auto value : record.times) {
            kind.times.add(value / recordScale);
        }
        kind.ratios.summarize();
        kind.times.summarize();
        m_kinds.push_back(std::move(kind));
        m_kindByName.emplace(record.kind, std::prev(m_kinds.end()));
    }
}

} // namespace cyclamenlatch::scheduling
