// Tells who must be waited for.
#include "maintenance/entryrecord.h"

#include <set>

namespace cyclamenlatch::maintenance {

std::vector<EntryId> entriesToAwait(const std::vector<EntryId> &peers, const EntryRecords &records)
{
    std::set<EntryId> awaited(peers.begin(), peers.end());
    for (const auto &[entry, found] : records) {
        if (found.record.presence == EntryPresence::Present) {
            awaited.insert(entry);
        } else {
            awaited.erase(entry);
        }
    }
    return {awaited.begin(), awaited.end()};
}

} // namespace cyclamenlatch::maintenance
