// Collects the entries' answers to drain polls and tells which workers nobody uses any more.
// An answer counts only while it is fresh and from the newest incarnation of its entry.
#pragma once

#include "global/time.h"
#include "maintenance/maintenancemessages.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::maintenance {

class QuietCollector
{
public:
    // Answers older than this say nothing any more.
    static constexpr std::chrono::milliseconds freshness{2000};

    void take(const EntryId &from, std::uint64_t incarnation, const DrainAnswer &answer,
              TimePoint now);

    // The marks that every one of the entries, and every other that answers, has confirmed with
    // nothing in flight and no connection open.
    std::unordered_map<WorkerId, store::StoreRevision> quiet(const std::vector<LeavingMark> &marks,
                                                             const std::vector<EntryId> &entries,
                                                             TimePoint now) const;
    // The entries that have answered lately.
    std::vector<EntryId> heard(TimePoint now) const;
    // The entries that keep a mark from being quiet, for people.
    std::vector<EntryId> waitingFor(const LeavingMark &mark, const std::vector<EntryId> &entries,
                                    TimePoint now) const;

private:
    struct Answer
    {
        std::uint64_t incarnation = 0;
        TimePoint at;
        std::unordered_map<WorkerId, DrainState> states;
    };

    bool hears(const EntryId &entry, TimePoint now) const;
    bool confirms(const EntryId &entry, const LeavingMark &mark, TimePoint now) const;

    std::map<EntryId, Answer> m_answers;
};

} // namespace cyclamenlatch::maintenance
