// One key of the platform's store with the revision of its last change.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::store {

// Counts the store's changes; grows with each one.
using StoreRevision = std::uint64_t;

struct StoreItem
{
    std::string key;
    std::string value;
    // Id of the write that made the value; empty when it was not written by a StoreClient.
    std::string attempt;
    StoreRevision revision = 0;
    // True in a watch's answer for a key that is gone.
    bool deleted = false;
};

struct StoreListing
{
    // Revision of the whole store when it answered.
    StoreRevision revision = 0;
    std::vector<StoreItem> items;
};

} // namespace cyclamenlatch::store
