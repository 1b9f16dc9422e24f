// An error as modules return it: a kind to act on, what happened, and what to do about it.
#pragma once

#include "global/errorkind.h"

#include <string>

namespace cyclamenlatch {

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    // Never empty for an error that a person can see.
    std::string remedy;

    std::string toString() const;
};

} // namespace cyclamenlatch
