// Adds up the demand that entries report. Pure: answers come in with their time. An answer may be
// seconds late; an entry that is silent for longer is left out, since its callers go elsewhere.
#pragma once

#include "capacity/demandmessage.h"
#include "capacity/poolload.h"
#include "global/time.h"

#include <map>
#include <unordered_map>

namespace cyclamenlatch::capacity {

class DemandBook
{
public:
    void take(const EntryId &entry, std::uint64_t incarnation, const DemandAnswer &answer,
              TimePoint now);
    std::unordered_map<PoolId, PoolLoad> loads(TimePoint now) const;

private:
    struct Track
    {
        std::uint64_t arrivals = 0;
        // Whether two answers gave a rate.
        bool rated = false;
        PoolLoad load;
    };
    struct Entry
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
        // Between the last two answers.
        Duration interval{};
        std::unordered_map<PoolId, Track> pools;
    };

    static void advance(Track &track, const PoolSample &sample, double seconds);
    static bool isFresh(const Entry &entry, TimePoint now);

    std::map<EntryId, Entry> m_entries;
};

} // namespace cyclamenlatch::capacity
