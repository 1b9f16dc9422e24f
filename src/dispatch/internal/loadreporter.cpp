// Paces digests and picks rows in turn.
#include "dispatch/loadreporter.h"

#include "dispatch/namehash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenlatch::dispatch {

namespace {

// A demand that has changed by less than this part, or by less than this count, can wait.
constexpr double negligibleChange = 0.25;
constexpr double negligibleCount = 2;
constexpr double negligibleUsedSeconds = 0.5;
constexpr double usedUnitsPerSecond = 100;

LoadRow makeRow(const LoadKey &key, const LoadValue &value)
{
    constexpr unsigned most = std::numeric_limits<std::uint16_t>::max();
    LoadRow row;
    row.queue = nameHash(key.queue.value());
    row.workspace = nameHash(key.workspace.value());
    row.demand = static_cast<std::uint16_t>(std::min(value.demand, most));
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
    LoadReport digest;
    const auto begin = load.upper_bound(m_lastSentKey);
    addRows(begin, load.end(), now, digest);
    addRows(load.begin(), begin, now, digest);
    if (digest.rows.empty() && m_sentAt && now < *m_sentAt + m_settings.heartbeatInterval) {
        return std::nullopt;
    }
    const auto bytes = m_settings.envelopeBytes + m_settings.rowBytes * digest.rows.size();
    const Duration inAll = std::chrono::seconds(bytes * peers);
    const Duration gap = inAll / m_settings.bytesPerSecond;
    m_sentAt = now;
    m_nextAt = now + std::max(m_settings.minReportInterval, gap);
    return digest;
}

void LoadReporter::addRows(EntryLoad::const_iterator begin, EntryLoad::const_iterator end,
                           TimePoint now, LoadReport &digest)
{
    for (auto item = begin; item != end; ++item) {
        if (digest.rows.size() >= m_settings.maxRowsPerReport) {
            return;
        }
        const auto &[key, value] = *item;
        const auto found = m_sentRows.find(key);
        if (!isDue(value, found == m_sentRows.end() ? nullptr : &found->second, now)) {
            continue;
        }
        digest.rows.push_back(makeRow(key, value));
        auto &told = m_sentRows[key];
        told.noDemand = value.demand == 0 ? told.noDemand + 1 : 0;
        told.value = value;
        told.at = now;
        m_lastSentKey = key;
    }
}

bool LoadReporter::isDue(const LoadValue &value, const SentRow *told, TimePoint now) const
{
    if (told == nullptr) {
        return true;
    }
    const bool isRepeated = value.demand > 0 || told->noDemand < m_settings.idleRowRepeats;
    if (isRepeated && now >= told->at + m_settings.refreshAfter) {
        return true;
    }
    if (std::abs(value.usedSeconds - told->value.usedSeconds) >= negligibleUsedSeconds) {
        return true;
    }
    const double before = told->value.demand;
    if (before > 0 && value.demand == 0) {
        return true;
    }
    const double change = std::abs(value.demand - before);
    return change >= negligibleCount && change >= before * negligibleChange;
}

} // namespace cyclamenlatch::dispatch
