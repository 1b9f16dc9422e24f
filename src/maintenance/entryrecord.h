// An entry as the leaders know it; stored at maintenance/entries/<entry>. An entry records itself
// before it takes requests, so that no leader overlooks it, and reads what is leaving after that.
#pragma once

#include "global/ids.h"
#include "maintenance/entrypresence.h"
#include "maintenance/hostrecord.h"
#include "maintenance/versioned.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenlatch::maintenance {

struct EntryRecord
{
    EntryId entry;
    DataCentreId dataCentre;
    // Of the process that is spoken of; a newer one records itself anew.
    std::uint64_t incarnation = 0;
    EntryPresence presence = EntryPresence::Present;
    RecordTime since = 0;
    // Who said that it is gone; empty otherwise.
    std::string saidBy;

    bool operator==(const EntryRecord &) const = default;
};

using EntryRecords = std::map<EntryId, Versioned<EntryRecord>>;

// The entries that must confirm before a worker counts as unused: those that are recorded as
// present, and peers that nothing is recorded of. Silence alone is no proof of an end.
std::vector<EntryId> entriesToAwait(const std::vector<EntryId> &peers, const EntryRecords &records);

} // namespace cyclamenlatch::maintenance
