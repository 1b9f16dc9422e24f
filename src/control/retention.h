// How long records stay in the store after the jobs that they are about.
#pragma once

#include "platform/entrysettings.h"

#include <chrono>

namespace cyclamenlatch::control {

// Of states of ended jobs and of tombstones. Callers may ask for half of it; a submission that is
// carried out late finds the record for all of it.
inline std::chrono::seconds recordRetention(const platform::EntrySettings &settings)
{
    return 2 * settings.endedJobRetention;
}

} // namespace cyclamenlatch::control
