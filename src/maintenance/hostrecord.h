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

    // When the wave was started; 0 in records of earlier versions.
    RecordTime waveStarted = 0;

    // Names the host's one reboot in this wave; the platform runs each attempt at most once. A
    // later wave of the same name has other attempts.
    std::string rebootAttempt() const
    {
        const auto start = waveStarted == 0 ? "" : "." + std::to_string(waveStarted);
        return wave.value() + start + "." + worker.value();
    }

    bool operator==(const HostRecord &) const = default;
};

} // namespace cyclamenlatch::maintenance
