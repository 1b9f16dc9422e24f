// An operator's key as the settings hold it: only its hash.
#pragma once

#include "operatorapi/operatorrole.h"

#include <string>

namespace cyclamenlatch::operatorapi {

struct OperatorKey
{
    // Who holds it; the first part of the key "<name>.<secret>".
    std::string name;
    Role role = Role::Read;
    // BLAKE2b-256 of the secret, in hexadecimal.
    std::string hash;
};

} // namespace cyclamenlatch::operatorapi
