// Events 1600 to 1699: long-lived jobs.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::jobs {

inline constexpr Event leadingStarted{1600, Severity::Info, "jobs-leading",
                                      "This entry plans the fleet's jobs from now on."};
inline constexpr Event leadingEnded{
        1601, Severity::Warning, "jobs-leading-ended",
        "This entry has lost the lease for planning jobs; another one goes on."};
inline constexpr Event jobChanged{1602, Severity::Info, "job-changed",
                                  "A job has entered another state; the reason follows."};
inline constexpr Event jobDeadLettered{
        1603, Severity::Warning, "job-dead-lettered",
        "A job can never run. Read the reason, correct the job and submit it again."};
inline constexpr Event workerBlamed{
        1604, Severity::Warning, "job-worker-blamed",
        "Jobs of several kinds fail on this worker; it gets no more. Look at the machine."};
inline constexpr Event jobRecordUnreadable{
        1605, Severity::Error, "job-record-unreadable",
        "A job's record in the store can't be read; it is left alone. Remove or correct it."};
inline constexpr Event jobWriteUnclear{
        1606, Severity::Warning, "job-write-unclear",
        "It is not known whether a job's record was written; the same write is repeated."};

} // namespace cyclamenlatch::jobs
