// Where one host of a wave stands; stored at maintenance/hosts/<wave>/<worker>.
#pragma once

#include "global/ids.h"
#include "maintenance/hoststep.h"

#include <cstdint>
#include <string>

namespace cyclamenlatch::maintenance {

// Milliseconds since the epoch, by the clock of the entry that wrote the record.
using RecordTime = std::int64_t;

struct HostRecord
{
    WaveId wave;
    WorkerId worker;
    DataCentreId dataCentre;
    HostStep step = HostStep::Pending;
    // When the step began.
    RecordTime since = 0;
    // When the host was last taken from Pending.
    RecordTime started = 0;
    // Why the host is where it is, for people; may be empty.
    std::string note;

    // Names the host's one reboot in this wave; the platform runs each attempt at most once.
    std::string rebootAttempt() const { return wave.value() + "." + worker.value(); }

    bool operator==(const HostRecord &) const = default;
};

} // namespace cyclamenlatch::maintenance
