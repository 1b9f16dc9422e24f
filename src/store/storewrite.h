// A conditional write to the platform's store.
#pragma once

#include "store/storeitem.h"

#include <string>

namespace cyclamenlatch::store {

struct StoreWrite
{
    std::string key;
    std::string value;
    // The write takes effect only if the key still has this revision; 0: the key does not exist.
    StoreRevision expected = 0;
    // Lease that the key lives with; empty for a key that lasts.
    std::string lease;
};

} // namespace cyclamenlatch::store
