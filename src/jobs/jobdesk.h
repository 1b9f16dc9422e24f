// Takes, shows and cancels jobs on behalf of callers, at any entry: one or two calls to the store
// each, and no state of its own. A workspace sees only its own jobs.
#pragma once

#include "global/result.h"
#include "jobs/jobrecord.h"
#include "jobs/jobsubmission.h"
#include "platform/storeclient.h"

#include <functional>
#include <memory>

namespace cyclamenlatch::jobs {

class JobDesk
{
public:
    using Completion = std::function<void(Result<JobRecord>)>;

    explicit JobDesk(platform::StoreClient &store)
        : m_store(store)
    {}

    // Completes with a record only after it is durable. Kind Unknown: it may or may not be;
    // repeat with the same Idempotency-Key. Kind Conflict: the key was used for another job.
    void submit(const JobSubmission &submission, Completion completion);
    // Kind NotFound also for another workspace's job.
    void show(const JobId &id, const WorkspaceId &workspace, Completion completion);
    // Completes once the wish is recorded; a job that has ended stays as it is.
    void cancel(const JobId &id, const WorkspaceId &workspace, Completion completion);

private:
    using Found = std::function<void(const JobRecord &, platform::StoreRevision)>;

    void find(const JobId &id, const WorkspaceId &workspace, Completion failed, Found found);
    void confirmSubmission(const JobRecord &record, Completion completion);
    void cancelWithin(const JobId &id, const WorkspaceId &workspace, unsigned tries,
                      Completion completion);

    platform::StoreClient &m_store;
};

} // namespace cyclamenlatch::jobs
