// Limits the rate of reports and selects the rows in round-robin order.
#include "dispatch/loadreporter.h"

#include "dispatch/namehash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenlatch::dispatch {

namespace {

// A change of demand below this fraction of the last reported demand, or below this count, is not
// reported at once.
constexpr double negligibleChange = 0.25;
constexpr double negligibleCount = 2;
constexpr double negligibleUsedSeconds = 0.5;
constexpr double usedUnitsPerSecond = 100;

LoadRow makeRow(const LoadKey &key, const LoadValue &value)
{
    constexpr unsigned maxDemand = std::numeric_limits<std::uint16_t>::max();
    LoadRow row;
    row.queue = nameHash(key.queue.value());
    row.workspace = nameHash(key.workspace.value());
    row.demand = static_cast<std::uint16_t>(std::min(value.demand, maxDemand));
    row.used = static_cast<std::uint32_t>(std::llround(value.usedSeconds * usedUnitsPerSecond));
    return row;
}

} // namespace

LoadReporter::LoadReporter(LoadReporterSettings settings)
    : m_settings(settings)
{}

std::optional<LoadReport> LoadReporter::next(const EntryLoad &load, std::size_t peers,
                                             TimePoint now)
{
    if (peers == 0 || now < m_nextAt) {
        return std::nullopt;
    }
    std::erase_if(m_sentRows, [&load](const auto &item) { return !load.contains(item.first); });
    LoadReport report;
    const auto begin = load.upper_bound(m_lastSentKey);
    addRows(begin, load.end(), now, report);
    addRows(load.begin(), begin, now, report);
    if (report.rows.empty() && m_sentAt && now < *m_sentAt + m_settings.heartbeatInterval) {
        return std::nullopt;
    }
    const auto bytes = m_settings.envelopeBytes + m_settings.rowBytes * report.rows.size();
    const Duration byteSeconds = std::chrono::seconds(bytes * peers);
    const Duration reportInterval = byteSeconds / m_settings.bytesPerSecond;
    m_sentAt = now;
    m_nextAt = now + std::max(m_settings.minReportInterval, reportInterval);
    return report;
}

void LoadReporter::addRows(EntryLoad::const_iterator begin, EntryLoad::const_iterator end,
                           TimePoint now, LoadReport &report)
{
    for (auto item = begin; item != end; ++item) {
        if (report.rows.size() >= m_settings.maxRowsPerReport) {
            return;
        }
        const auto &[key, value] = *item;
        const auto found = m_sentRows.find(key);
        if (!isDue(value, found == m_sentRows.end() ? nullptr : &found->second, now)) {
            continue;
        }
        report.rows.push_back(makeRow(key, value));
        auto &sent = m_sentRows[key];
        sent.zeroDemandCount = value.demand == 0 ? sent.zeroDemandCount + 1 : 0;
        sent.value = value;
        sent.sentAt = now;
        m_lastSentKey = key;
    }
}

bool LoadReporter::isDue(const LoadValue &value, const SentRow *sent, TimePoint now) const
{
    if (sent == nullptr) {
        return true;
    }
    const bool isRepeated = value.demand > 0 || sent->zeroDemandCount < m_settings.idleRowRepeats;
    if (isRepeated && now >= sent->sentAt + m_settings.refreshAfter) {
        return true;
    }
    if (std::abs(value.usedSeconds - sent->value.usedSeconds) >= negligibleUsedSeconds) {
        return true;
    }
    const double before = sent->value.demand;
    if (before > 0 && value.demand == 0) {
        return true;
    }
    const double change = std::abs(value.demand - before);
    return change >= negligibleCount && change >= before * negligibleChange;
}

} // namespace cyclamenlatch::dispatch
