// What an operator's key allows.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::operatorapi {

enum class Role {
    // See everything that is shown.
    Read,
    // Change things as well.
    Operate,
};

inline constexpr NamedValue<Role> roleEntries[] = {
        {Role::Read, "read"},
        {Role::Operate, "operate"},
};
inline constexpr NameTable roleNames{roleEntries};

} // namespace cyclamenlatch::operatorapi
