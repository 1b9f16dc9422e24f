// The HTTP status of each kind of error, one table for callers and operators, and the phrases of
// status lines.
#pragma once

#include "global/errorkind.h"

namespace cyclamenlatch::net {

int statusOf(ErrorKind kind);
// The phrase of a status line; "Status" for one that this system does not send.
const char *reasonPhrase(int status);

} // namespace cyclamenlatch::net
