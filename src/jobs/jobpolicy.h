// Bounds and delays that decide how jobs are retried, blamed and moved.
#pragma once

#include <chrono>
#include <cstddef>

namespace cyclamenlatch::jobs {

struct JobPolicy
{
    // A job that failed this often has failed for good.
    std::size_t maxFailures = 5;
    // A job that failed on this many different workers is at fault itself.
    std::size_t workersToBlameJob = 3;
    // A worker on which this many different jobs failed is at fault, if they are also at least
    // half of the jobs that ended there within the window.
    std::size_t jobsToBlameWorker = 3;
    std::chrono::milliseconds blameWindow{std::chrono::hours(1)};
    // The delay before a retry is uniform below first * 2^failures, at most longest.
    std::chrono::milliseconds firstRetryDelay{1000};
    std::chrono::milliseconds longestRetryDelay{60000};
    // A task that has not saved its progress by then is stopped.
    std::chrono::milliseconds checkpointBound{5000};
    // The same while an urgent job waits for the room.
    std::chrono::milliseconds urgentCheckpointBound{400};
    // A running job whose task the platform doesn't know is stopped after this long.
    std::chrono::milliseconds missingTaskBound{10000};
    // A job taken over from another entry is checkpointed if no unit covers it by then. Must be
    // well below the time after which the quota module gives a lost entry's units to others.
    std::chrono::milliseconds coverBound{5000};
    // New writes of one planning pass, so that the store's rate bounds bursts.
    std::size_t maxWritesPerPass = 100;
    // Charged per unit of reported use, because use grows between two reports.
    double usageHeadroom = 1.2;
};

} // namespace cyclamenlatch::jobs
