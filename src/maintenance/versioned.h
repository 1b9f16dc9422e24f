// A record with the store revision it was read at; a conditional write names that revision.
#pragma once

#include "store/storeitem.h"

namespace cyclamenlatch::maintenance {

template<typename Record>
struct Versioned
{
    Record record;
    // 0 when the record does not exist yet.
    store::StoreRevision revision = 0;
};

} // namespace cyclamenlatch::maintenance
