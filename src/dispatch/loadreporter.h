// Decides when an entry tells its load, and which rows. The bytes that it sends in a second are
// bounded, whatever the number of peers, queues and workspaces: with more to say it speaks less
// often. Pure: time is passed in.
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
    // An entry that has nothing to say says so this often.
    Duration heartbeatInterval = std::chrono::seconds(1);
    // Rows are told again after this, since messages get lost; those without demand so often.
    Duration refreshAfter = std::chrono::seconds(3);
    unsigned idleRowRepeats = 3;
    std::size_t bytesPerSecond = 4000;
    // Bytes of a digest without rows, with its envelope.
    std::size_t envelopeBytes = 180;
    std::size_t rowBytes = 14;
    std::size_t maxRowsPerReport = 40;
};

class LoadReporter
{
public:
    explicit LoadReporter(LoadReporterSettings settings = {});

    // The digest that is due now, for each of the peers.
    std::optional<LoadReport> next(const EntryLoad &load, std::size_t peers, TimePoint now);

private:
    struct SentRow
    {
        LoadValue value;
        TimePoint at{};
        // Times in a row that no demand was told.
        unsigned noDemand = 0;
    };

    bool isDue(const LoadValue &value, const SentRow *told, TimePoint now) const;
    // Appends rows that are due, from the first key on.
    void addRows(EntryLoad::const_iterator begin, EntryLoad::const_iterator end, TimePoint now,
                 LoadReport &digest);
    LoadReporterSettings m_settings;
    std::map<LoadKey, SentRow> m_sentRows;
    // Where the next digest begins, so that no row waits for ever behind the others.
    LoadKey m_lastSentKey;
    std::optional<TimePoint> m_sentAt;
    TimePoint m_nextAt{};
};

} // namespace cyclamenlatch::dispatch
