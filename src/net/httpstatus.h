// The HTTP status of each kind of error: one table for callers and operators.
#pragma once

#include "global/errorkind.h"

namespace cyclamenlatch::net {

int statusOf(ErrorKind kind);

} // namespace cyclamenlatch::net
