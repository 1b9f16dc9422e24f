// Decides when an entry reports its load, and which rows a report contains. The bytes sent per
// second are bounded for any number of peers, queues and workspaces: larger reports are sent less
// often. Reads no clock: the time is passed in.
#pragma once

#include "dispatch/entryload.h"
#include "dispatch/loadreport.h"
#include "global/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cyclamenlatch::dispatch {

struct LoadReporterSettings
{
    Duration minReportInterval = std::chrono::milliseconds(100);
    // Interval of empty reports while no row is due.
    Duration heartbeatInterval = std::chrono::seconds(1);
    // Rows are sent again after this time, since messages may be lost; rows without demand are sent
    // at most idleRowRepeats times in a row.
    Duration refreshAfter = std::chrono::seconds(3);
    unsigned idleRowRepeats = 3;
    std::size_t bytesPerSecond = 4000;
    // Size of a report without rows, including its envelope.
    std::size_t envelopeBytes = 180;
    std::size_t rowBytes = 14;
    std::size_t maxRowsPerReport = 40;
};

class LoadReporter
{
public:
    explicit LoadReporter(LoadReporterSettings settings = {});

    // Returns the report to send to each peer now, if one is due.
    std::optional<LoadReport> next(const EntryLoad &load, std::size_t peers, TimePoint now);

private:
    struct SentRow
    {
        LoadValue value;
        TimePoint sentAt{};
        // Number of consecutive times that the row was sent without demand.
        unsigned zeroDemandCount = 0;
    };

    bool isDue(const LoadValue &value, const SentRow *sent, TimePoint now) const;
    // Appends the rows between begin and end that are due.
    void addRows(EntryLoad::const_iterator begin, EntryLoad::const_iterator end, TimePoint now,
                 LoadReport &report);
    LoadReporterSettings m_settings;
    std::map<LoadKey, SentRow> m_sentRows;
    // The next report starts after this key, so that no row starves.
    LoadKey m_lastSentKey;
    std::optional<TimePoint> m_sentAt;
    TimePoint m_nextAt{};
};

} // namespace cyclamenlatch::dispatch
