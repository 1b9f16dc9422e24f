// Takes, shows and cancels jobs on behalf of callers, at any entry: one or two calls to the store
// each, and no state of its own. A workspace sees only its own jobs.
#pragma once

#include "global/result.h"
#include "jobs/bulkcancel.h"
#include "jobs/jobrecord.h"
#include "jobs/jobsubmission.h"
#include "jobs/waitingbound.h"
#include "store/storeclient.h"

#include <functional>
#include <memory>

namespace cyclamenlatch::jobs {

class JobDesk
{
public:
    using Completion = std::function<void(Result<JobRecord>)>;
    using BulkCompletion = std::function<void(Result<BulkCancelCount>)>;

    explicit JobDesk(store::StoreClient &store)
        : m_store(store)
    {}

    // Completes with a record only after it is durable. Kind Unknown: it may or may not be;
    // repeat with the same Idempotency-Key. Kind Conflict: the key was used for another job. Kind
    // Overloaded: too many jobs of the workspace wait, and this one was not recorded.
    void submit(const JobSubmission &submission, Completion completion);
    // Kind NotFound also for another workspace's job.
    void show(const JobId &id, const WorkspaceId &workspace, Completion completion);
    // Completes once the wish is recorded; a job that has ended stays as it is.
    void cancel(const JobId &id, const WorkspaceId &workspace, Completion completion);
    // Cancels every job that matches and has not ended. A job that is handed in meanwhile may be
    // left out.
    void cancelAll(const BulkCancelFilter &filter, BulkCompletion completion);
    // How many jobs wait, as the leader tells.
    void takeWaiting(const WaitingMessage &message) { m_bound.take(message); }

private:
    struct BulkCancel;
    using Found = std::function<void(const JobRecord &, store::StoreRevision)>;

    void find(const JobId &id, const WorkspaceId &workspace, Completion failed, Found found);
    void record(const JobSubmission &submission, Completion completion);
    void findRefused(const JobSubmission &submission, const Error &refusal, Completion completion);
    void cancelNext(const std::shared_ptr<BulkCancel> &bulk);
    void confirmSubmission(const JobRecord &record, Completion completion);
    void cancelWithin(const JobId &id, const WorkspaceId &workspace, unsigned tries,
                      Completion completion);

    store::StoreClient &m_store;
    WaitingBound m_bound;
};

} // namespace cyclamenlatch::jobs
