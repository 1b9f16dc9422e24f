// Judges the answers to drain polls.
#include "maintenance/quietcollector.h"

#include <algorithm>

namespace cyclamenlatch::maintenance {

void QuietCollector::take(const EntryId &from, std::uint64_t incarnation, const DrainAnswer &answer,
                          TimePoint now)
{
    auto &kept = m_answers[from];
    if (incarnation < kept.incarnation) {
        return;
    }
    kept.incarnation = incarnation;
    kept.at = now;
    kept.states.clear();
    for (const auto &state : answer.states) {
        kept.states[state.mark.worker] = state;
    }
}

bool QuietCollector::confirms(const EntryId &entry, const LeavingMark &mark, TimePoint now) const
{
    const auto answer = m_answers.find(entry);
    if (answer == m_answers.end() || now - answer->second.at > freshness) {
        return false;
    }
    const auto state = answer->second.states.find(mark.worker);
    return state != answer->second.states.end() && state->second.mark == mark
           && state->second.inFlight == 0 && state->second.connections == 0;
}

bool QuietCollector::hears(const EntryId &entry, TimePoint now) const
{
    const auto answer = m_answers.find(entry);
    return answer != m_answers.end() && now - answer->second.at <= freshness;
}

std::vector<EntryId> QuietCollector::heard(TimePoint now) const
{
    std::vector<EntryId> heard;
    for (const auto &[entry, answer] : m_answers) {
        if (hears(entry, now)) {
            heard.push_back(entry);
        }
    }
    return heard;
}

std::unordered_map<WorkerId, store::StoreRevision> QuietCollector::quiet(
        const std::vector<LeavingMark> &marks, const std::vector<EntryId> &entries,
        TimePoint now) const
{
    std::unordered_map<WorkerId, store::StoreRevision> found;
    auto awaited = entries;
    const auto answering = heard(now);
    awaited.insert(awaited.end(), answering.begin(), answering.end());
    for (const auto &mark : marks) {
        if (waitingFor(mark, awaited, now).empty()) {
            found[mark.worker] = mark.revision;
        }
    }
    return found;
}

std::vector<EntryId> QuietCollector::waitingFor(const LeavingMark &mark,
                                                const std::vector<EntryId> &entries,
                                                TimePoint now) const
{
    std::vector<EntryId> missing;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(missing),
                 [&](const EntryId &entry) { return !confirms(entry, mark, now); });
    return missing;
}

} // namespace cyclamenlatch::maintenance
