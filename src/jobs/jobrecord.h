// A job as the store keeps it, in one value under jobs/<id>. Every change is a compare-and-swap,
// so of two entries that act on the same revision one loses.
#pragma once

#include "fleet/resources.h"
#include "global/ids.h"
#include "global/time.h"
#include "jobs/jobstate.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::jobs {

struct JobFailure
{
    WorkerId worker;
    WallTime at;

    bool operator==(const JobFailure &) const = default;
};

struct JobRecord
{
    JobId id;
    WorkspaceId workspace;
    QueueId queue;
    JobState state = JobState::Submitted;
    // Declared by the caller.
    fleet::Resources resources;
    std::string body;
    // Of the submission; the same Idempotency-Key with another hash is a mistake.
    std::string submissionHash;

    // Counts from 1. Invariant: grows only after the task of the earlier attempt has ended for
    // good, so that two attempts never run at once.
    std::uint32_t attempt = 0;
    // Worker of the current or last attempt.
    WorkerId worker;
    // Entry whose grant covers the attempt; empty unless the state is active.
    std::string holder;
    // Progress that the next attempt starts from.
    std::string checkpoint;
    // The newest ones only; see JobPolicy::maxFailures.
    std::vector<JobFailure> failures;
    bool cancelRequested = false;
    std::string reason;

    WallTime createdAt;
    // When the state was entered.
    WallTime enteredAt;
    // The next attempt starts no earlier.
    WallTime notBefore;

    bool operator==(const JobRecord &) const = default;
};

inline constexpr std::string_view jobKeyPrefix = "jobs/";

std::string jobKey(const JobId &id);
// The common part of the ids of the job's tasks. The time of creation tells a job from an earlier
// one of the same Idempotency-Key whose record is gone already.
std::string runOf(const JobRecord &record);
// Id of the task that runs the record's current attempt.
std::string taskOf(const JobRecord &record);

std::string writeJobRecord(const JobRecord &record);
std::optional<JobRecord> readJobRecord(std::string_view text);

} // namespace cyclamenlatch::jobs
