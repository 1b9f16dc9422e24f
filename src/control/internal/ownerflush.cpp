// Stores the progress of jobs: one flush at a time, each in one or more transactions that are
// conditional on the owner's key.
#include "control/ownerservice.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/records.h"
#include "control/retention.h"
#include "control/storekeys.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;

// Shortest time between flushes; it bounds the rate of calls to the store.
constexpr std::chrono::milliseconds flushInterval{20};

std::size_t transactionEntries(const scheduling::ProgressWrite &write)
{
    return 2U + (write.removesWaitingMark ? 1U : 0U) + (write.removesSubmission ? 1U : 0U);
}

} // namespace

struct OwnerService::PendingFlush
{
    scheduling::Flush flush;
    std::vector<std::string> values;
    std::size_t transactionsLeft = 0;
};

void OwnerService::flushIfDue()
{
    const auto now = bootNow();
    const auto due = m_core.flushDue(now);
    if (m_isFlushing || !due || *due > now || now - m_lastFlush < flushInterval || !isHeld()) {
        return;
    }
    const WorkMeter::Span span(m_work, WorkKind::Flush);
    m_isFlushing = true;
    m_lastFlush = now;
    auto pending = std::make_shared<PendingFlush>();
    pending->flush = m_core.takeFlush();
    std::vector<std::vector<std::size_t>> transactions;
    std::size_t entries = platform::maxTransactionEntries;
    for (std::size_t index = 0; index < pending->flush.writes.size(); ++index) {
        const auto &write = pending->flush.writes[index];
        pending->values.push_back(encodeProgress(write.progress));
        if (entries + transactionEntries(write) > platform::maxTransactionEntries) {
            transactions.emplace_back();
            // Each transaction has one entry for the condition on the owner's key.
            entries = 1;
        }
        entries += transactionEntries(write);
        transactions.back().push_back(index);
    }
    pending->transactionsLeft = transactions.size();
    if (transactions.empty()) {
        pending->transactionsLeft = 1;
        return finishTransaction(pending);
    }
    for (auto &writes : transactions) {
        sendTransaction(pending, std::move(writes));
    }
}

void OwnerService::sendTransaction(std::shared_ptr<PendingFlush> flush,
                                   std::vector<std::size_t> writes)
{
    if (!isHeld()) {
        // The ownership is suspended: retries until it is resumed, or until it is lost and this
        // object is destroyed.
        return retryLater([this, flush, writes] { sendTransaction(flush, writes); });
    }
    platform::StoreTransaction transaction;
    transaction.expected.push_back({std::string(ownerKey), m_tenure.revision});
    for (const auto index : writes) {
        const auto &write = flush->flush.writes[index];
        transaction.expected.push_back({stateKey(write.id), write.expected});
        transaction.writes.push_back({stateKey(write.id), flush->values[index], 0});
        if (write.removesWaitingMark) {
            transaction.removals.push_back(waitingKey(write.queue, write.id));
        }
        if (write.removesSubmission) {
            transaction.removals.push_back(jobKey(write.id));
        }
    }
    m_store.transaction(transaction, [this, flush, writes = std::move(writes),
                                      alive = std::weak_ptr(m_alive)](const auto &reply) {
        if (!alive.expired()) {
            handleTransactionReply(flush, writes, reply);
        }
    });
}

void OwnerService::handleTransactionReply(const std::shared_ptr<PendingFlush> &flush,
                                          std::vector<std::size_t> writes,
                                          const platform::StoreReply &reply)
{
    const auto now = bootNow();
    switch (reply.outcome) {
    case StoreOutcome::Done:
        for (const auto index : writes) {
            const auto &write = flush->flush.writes[index];
            m_core.jobWritten(write.id, reply.revision, now);
            if (write.removesSubmission) {
                m_endedJobs.emplace_back(now + recordRetention(m_settings), write.id);
            }
        }
        return finishTransaction(flush);
    case StoreOutcome::Conflict:
        for (const auto &item : reply.items) {
            if (item.key == ownerKey && item.revision != m_tenure.revision) {
                return m_ownership.resign("another entry has taken over");
            }
        }
        writes = resolveConflicts(flush, writes, reply);
        if (writes.empty()) {
            return finishTransaction(flush);
        }
        return sendTransaction(flush, std::move(writes));
    case StoreOutcome::Rejected:
        return handleRejection(flush, writes, reply);
    default:
        // Sends the same transaction again. If an earlier try with unknown outcome took effect, the
        // store answers with a conflict.
        return retryLater([this, flush, writes] { sendTransaction(flush, writes); });
    }
}

// One record that the store does not take must not hold up the others. A record that is too large
// goes without the checkpoints, which only save work; else the job waits, and the ends on its
// targets are not recorded.
void OwnerService::handleRejection(const std::shared_ptr<PendingFlush> &flush,
                                   const std::vector<std::size_t> &writes,
                                   const platform::StoreReply &reply)
{
    if (writes.size() > 1) {
        flush->transactionsLeft += writes.size() - 1;
        for (const auto index : writes) {
            sendTransaction(flush, {index});
        }
        return;
    }
    const auto index = writes.front();
    auto &write = flush->flush.writes[index];
    logEvent(recordRejected, "key={} bytes={} reason=\"{}\"", stateKey(write.id),
             flush->values[index].size(), reply.failure);
    bool hadCheckpoints = false;
    for (auto &[step, progress] : write.progress.steps) {
        hadCheckpoints = hadCheckpoints || !progress.checkpoints.empty();
        progress.checkpoints.clear();
    }
    if (hadCheckpoints) {
        flush->values[index] = encodeProgress(write.progress);
        return sendTransaction(flush, writes);
    }
    m_core.jobRejected(write.id, flush->flush, bootNow());
    finishTransaction(flush);
}

// Settles the writes that are stored already or whose job is cancelled or removed; returns those
// to be written again.
std::vector<std::size_t> OwnerService::resolveConflicts(const std::shared_ptr<PendingFlush> &flush,
                                                        const std::vector<std::size_t> &writes,
                                                        const platform::StoreReply &reply)
{
    const auto now = bootNow();
    std::vector<std::size_t> remaining;
    for (const auto index : writes) {
        auto &write = flush->flush.writes[index];
        const auto found = std::find_if(
                reply.items.begin(), reply.items.end(),
                [key = stateKey(write.id)](const auto &item) { return item.key == key; });
        const bool isGone = found == reply.items.end() || found->deleted || found->revision == 0;
        if (!isGone && found->revision == write.expected) {
            remaining.push_back(index);
            continue;
        }
        if (!isGone && found->value == flush->values[index]) {
            // An earlier try of this transaction took effect.
            m_core.jobWritten(write.id, found->revision, now);
            if (write.removesSubmission) {
                m_endedJobs.emplace_back(now + recordRetention(m_settings), write.id);
            }
            continue;
        }
        const auto stored = isGone ? decodeProgress({}) : decodeProgress(found->value);
        if (stored && stored.value().phase != scheduling::JobPhase::Cancelled) {
            write.expected = found->revision;
            remaining.push_back(index);
            continue;
        }
        m_core.jobWritten(write.id, std::nullopt, now);
        m_endedJobs.emplace_back(now + recordRetention(m_settings), write.id);
    }
    return remaining;
}

void OwnerService::finishTransaction(const std::shared_ptr<PendingFlush> &flush)
{
    if (--flush->transactionsLeft > 0) {
        return;
    }
    m_isFlushing = false;
    m_core.flushDone(flush->flush, bootNow());
    schedulePlan();
}

// Removes the states of jobs whose retention period is over, a limited number per call.
void OwnerService::purgeEndedJobs()
{
    constexpr std::size_t maxRemovals = 20;
    const auto now = bootNow();
    if (m_isPurging || m_endedJobs.empty() || m_endedJobs.front().first > now || !isHeld()) {
        return;
    }
    platform::StoreTransaction transaction;
    transaction.expected.push_back({std::string(ownerKey), m_tenure.revision});
    while (!m_endedJobs.empty() && m_endedJobs.front().first <= now
           && transaction.removals.size() < maxRemovals) {
        if (!m_core.hasJob(m_endedJobs.front().second)) {
            transaction.removals.push_back(stateKey(m_endedJobs.front().second));
        }
        m_endedJobs.pop_front();
    }
    m_isPurging = true;
    m_store.transaction(transaction, [this, alive = std::weak_ptr(m_alive)](const auto &) {
        // States that were not removed are removed by a later owner, which lists them all.
        if (!alive.expired()) {
            m_isPurging = false;
        }
    });
}

} // namespace cyclamenlatch::control
