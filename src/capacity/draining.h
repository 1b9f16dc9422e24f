// What the pool controller needs from the part of the entry that drains workers.
#pragma once

#include "global/ids.h"
#include "maintenance/entryrecord.h"
#include "store/storeitem.h"

#include <functional>
#include <unordered_map>

namespace cyclamenlatch::capacity {

// Workers with the revision of a record: of the one that says they drain, or the one read.
using DrainMarks = std::unordered_map<WorkerId, store::StoreRevision>;

// All are thread-safe and don't block.
struct Draining
{
    // Tells every entry which workers drain, as of a revision of the store.
    std::function<void(store::StoreRevision, const DrainMarks &)> ask;
    // Takes marks that were read from the store.
    std::function<void(store::StoreRevision, const DrainMarks &)> take;
    // The marks that every entry has confirmed with nothing in flight and no connection open.
    std::function<DrainMarks(const maintenance::EntryRecords &)> quiet;
    // Takes the revision of the store and of each worker's record that this entry routes by now.
    std::function<void(store::StoreRevision, DrainMarks)> noteRead = [](auto, const auto &) {};
};

} // namespace cyclamenlatch::capacity
