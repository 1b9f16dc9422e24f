// Records submissions and cancellations by compare-and-swap.
#include "jobs/jobdesk.h"

#include "jobs/jobmachine.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace cyclamenlatch::jobs {

namespace {

constexpr unsigned cancelTries = 8;
// Jobs of a cancellation of many that are written at once.
constexpr std::size_t bulkLanes = 8;

boost::outcome_v2::failure_type<Error> noSuchJob()
{
    return failure(ErrorKind::NotFound, "the workspace has no job of this id",
                   "check the id and the key");
}

JobRecord makeRecord(const JobSubmission &submission, WallTime now)
{
    JobRecord record;
    record.id = idOf(submission);
    record.workspace = submission.workspace;
    record.queue = submission.queue;
    record.resources = submission.resources;
    record.body = submission.body;
    record.submissionHash = hashOf(submission);
    record.createdAt = now;
    record.enteredAt = now;
    record.notBefore = now;
    return record;
}

} // namespace

void JobDesk::submit(const JobSubmission &submission, Completion completion)
{
    const auto admitted = m_bound.admit(submission.workspace, submission.mostWaiting);
    if (admitted) {
        return record(submission, std::move(completion));
    }
    if (submission.idempotencyKey.empty()) {
        return completion(boost::outcome_v2::failure(admitted.error()));
    }
    findRefused(submission, admitted.error(), std::move(completion));
}

// A submission that is repeated is refused only when the first one was not recorded.
void JobDesk::findRefused(const JobSubmission &submission, const Error &refusal,
                          Completion completion)
{
    const auto wanted = makeRecord(submission, wallNow());
    m_store.get(jobKey(wanted.id), [wanted, refusal, completion = std::move(completion)](
                                           const Result<std::optional<store::StoreItem>> &item) {
        if (!item) {
            return completion(boost::outcome_v2::failure(item.error()));
        }
        const auto stored = item.value() ? readJobRecord(item.value()->value) : std::nullopt;
        if (stored && stored->submissionHash == wanted.submissionHash) {
            return completion(*stored);
        }
        completion(boost::outcome_v2::failure(refusal));
    });
}

void JobDesk::record(const JobSubmission &submission, Completion completion)
{
    const auto record = makeRecord(submission, wallNow());
    m_store.compareAndSwap({jobKey(record.id), writeJobRecord(record), 0, ""},
                           [this, record, completion = std::move(completion)](
                                   Result<store::StoreRevision> written) mutable {
                               if (written) {
                                   return completion(record);
                               }
                               const auto kind = written.error().kind;
                               if (kind == ErrorKind::Conflict || kind == ErrorKind::Unknown) {
                                   return confirmSubmission(record, std::move(completion));
                               }
                               completion(boost::outcome_v2::failure(written.error()));
                           });
}

// The id is taken, or the write's answer was lost: what the store holds decides.
void JobDesk::confirmSubmission(const JobRecord &record, Completion completion)
{
    m_store.get(jobKey(record.id), [record, completion = std::move(completion)](
                                           Result<std::optional<store::StoreItem>> item) {
        const auto stored =
                item && item.value() ? readJobRecord(item.value()->value) : std::nullopt;
        if (!stored) {
            return completion(failure(ErrorKind::Unknown,
                                      "it is not known whether the job was recorded",
                                      "send it again with the same Idempotency-Key"));
        }
        if (stored->submissionHash != record.submissionHash) {
            return completion(failure(ErrorKind::Conflict,
                                      "the Idempotency-Key was used for another job",
                                      "use a new key for a new job"));
        }
        completion(*stored);
    });
}

void JobDesk::find(const JobId &id, const WorkspaceId &workspace, Completion failed, Found found)
{
    m_store.get(jobKey(id), [workspace, failed = std::move(failed), found = std::move(found)](
                                    Result<std::optional<store::StoreItem>> item) {
        if (!item) {
            return failed(boost::outcome_v2::failure(item.error()));
        }
        const auto record = item.value() ? readJobRecord(item.value()->value) : std::nullopt;
        if (!record || record->workspace != workspace) {
            return failed(noSuchJob());
        }
        found(*record, item.value()->revision);
    });
}

void JobDesk::show(const JobId &id, const WorkspaceId &workspace, Completion completion)
{
    find(id, workspace, completion,
         [completion](const JobRecord &record, store::StoreRevision) { completion(record); });
}

void JobDesk::cancel(const JobId &id, const WorkspaceId &workspace, Completion completion)
{
    cancelWithin(id, workspace, cancelTries, std::move(completion));
}

void JobDesk::cancelWithin(const JobId &id, const WorkspaceId &workspace, unsigned tries,
                           Completion completion)
{
    find(id, workspace, completion,
         [this, id, workspace, tries, completion](const JobRecord &record,
                                                  store::StoreRevision revision) {
             if (isFinal(record.state) || record.cancelRequested) {
                 return completion(record);
             }
             const auto next = cancelled(record, wallNow());
             m_store.compareAndSwap({jobKey(id), writeJobRecord(next), revision, ""},
                                    [this, id, workspace, tries, next,
                                     completion](Result<store::StoreRevision> written) {
                                        if (written) {
                                            return completion(next);
                                        }
                                        const auto kind = written.error().kind;
                                        const bool again = kind == ErrorKind::Conflict
                                                           || kind == ErrorKind::Unknown;
                                        if (again && tries > 1) {
                                            return cancelWithin(id, workspace, tries - 1,
                                                                completion);
                                        }
                                        completion(boost::outcome_v2::failure(written.error()));
                                    });
         });
}

struct JobDesk::BulkCancel
{
    std::mutex mutex;
    // All below are guarded by mutex.
    std::vector<JobId> left;
    WorkspaceId workspace;
    BulkCancelCount count;
    std::size_t open = 0;
    BulkCompletion completion;
};

void JobDesk::cancelAll(const BulkCancelFilter &filter, BulkCompletion completion)
{
    m_store.list(std::string(jobKeyPrefix), [this, filter, completion = std::move(completion)](
                                                    const Result<store::StoreListing> &found) {
        if (!found) {
            return completion(boost::outcome_v2::failure(found.error()));
        }
        const auto bulk = std::make_shared<BulkCancel>();
        bulk->workspace = filter.workspace;
        bulk->completion = completion;
        for (const auto &item : found.value().items) {
            const auto record = readJobRecord(item.value);
            const bool matches = record && record->workspace == filter.workspace
                                 && (filter.queue.empty() || record->queue == filter.queue);
            if (matches && !isFinal(record->state) && !record->cancelRequested) {
                bulk->left.push_back(record->id);
            }
        }
        if (bulk->left.empty()) {
            return completion(BulkCancelCount());
        }
        const auto lanes = std::min(bulk->left.size(), bulkLanes);
        for (std::size_t lane = 0; lane < lanes; ++lane) {
            cancelNext(bulk);
        }
    });
}

// Each lane takes one job after the other; the last one to end tells.
void JobDesk::cancelNext(const std::shared_ptr<BulkCancel> &bulk)
{
    JobId id;
    {
        const std::lock_guard lock(bulk->mutex);
        if (bulk->left.empty()) {
            return;
        }
        id = bulk->left.back();
        bulk->left.pop_back();
        ++bulk->open;
    }
    cancel(id, bulk->workspace, [this, bulk](const Result<JobRecord> &cancelled) {
        bool isLast = false;
        {
            const std::lock_guard lock(bulk->mutex);
            ++(cancelled ? bulk->count.cancelled : bulk->count.failed);
            isLast = --bulk->open == 0 && bulk->left.empty();
        }
        if (isLast) {
            return bulk->completion(bulk->count);
        }
        cancelNext(bulk);
    });
}

} // namespace cyclamenlatch::jobs
