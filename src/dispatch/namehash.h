// Hash that identifies queues and workspaces in messages between entries.
#pragma once

#include "dispatch/loadrow.h"

#include <xxhash.h>

#include <string>

namespace cyclamenlatch::dispatch {

inline NameHash nameHash(const std::string &name)
{
    return XXH32(name.data(), name.size(), 0);
}

} // namespace cyclamenlatch::dispatch
