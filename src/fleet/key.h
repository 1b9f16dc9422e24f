// A workspace's key as it is stored: only its hash.
#pragma once

#include "global/ids.h"

#include <string>

namespace cyclamenlatch::fleet {

struct Key
{
    KeyId id;
    WorkspaceId workspace;
    // BLAKE2b-256 of the secret, in hexadecimal.
    std::string hash;

    bool operator==(const Key &) const = default;
};

} // namespace cyclamenlatch::fleet
