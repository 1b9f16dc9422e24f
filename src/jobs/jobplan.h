// What one planning pass looks at and what it decides.
#pragma once

#include "jobs/candidateindex.h"
#include "jobs/jobmachine.h"
#include "store/storeitem.h"

#include <map>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace cyclamenlatch::jobs {

struct JobView
{
    const JobRecord *record = nullptr;
    store::StoreRevision revision = 0;
    // Null when the platform knows no task of the current attempt.
    const store::TaskStatus *task = nullptr;
    // A write or a start of this job is under way; decide nothing for it.
    bool busy = false;
};

struct JobPlanInput
{
    std::vector<JobView> jobs;
    const CandidateIndex *candidates = nullptr;
    JobPolicy policy;
    // Workers that take no new work and whose jobs leave.
    std::unordered_set<WorkerId> unavailable;
    // Workspaces for which this entry holds no free unit at the moment.
    std::unordered_set<WorkspaceId> withoutUnit;
    // This entry, as records name it in JobRecord::holder.
    std::string self;
    // When this entry began to lead.
    WallTime leadingSince;
    WallTime now;
};

struct JobWrite
{
    JobRecord next;
    store::StoreRevision expected = 0;
    // Needs a unit of the workspace's limit before it is written.
    bool needsUnit = false;
};

struct JobPlan
{
    std::vector<JobWrite> writes;
    std::vector<const JobRecord *> starts;
    // Ids of tasks by command.
    std::map<store::TaskCommand, std::vector<std::string>> commands;
    std::vector<WorkerId> blamedWorkers;
};

// Pure: the same input and random state give the same plan.
JobPlan planJobs(const JobPlanInput &input, Random &random);

} // namespace cyclamenlatch::jobs
