// Keeps the run times that owners learn in the platform's store, for the next owner.
#include "control/ownerservice.h"

#include "control/clock.h"
#include "control/controlevents.h"
#include "control/records.h"
#include "control/storekeys.h"

#include <fmt/format.h>

#include <cmath>

namespace cyclamenlatch::control {

namespace {

using platform::StoreOutcome;

// Run times are stored no more often than this, and only after so many more runs: a lost record
// costs the next owner as many runs to learn.
constexpr std::chrono::seconds storeInterval{10};
constexpr std::uint64_t minNewRuns = 50;
// Kinds of work that are stored, the most recently run ones: 64 KiB at most.
constexpr std::size_t maxStoredKinds = 300;
constexpr std::size_t maxLoggedQueues = 8;

} // namespace

void OwnerService::loadRunTimes()
{
    m_store.get(
            std::string(runTimesKey), [this, alive = std::weak_ptr(m_alive)](const auto &reply) {
                if (alive.expired() || reply.outcome != StoreOutcome::Done || reply.items.empty()) {
                    return;
                }
                const auto records = decodeRunTimes(reply.items.front().value);
                if (!records) {
                    logEvent(recordUnreadable, "key={} revision={}", runTimesKey,
                             reply.items.front().revision);
                    return;
                }
                m_core.restoreRunTimes(records.value());
                logEvent(runTimesRestored, "term={} kinds={} revision={}", m_tenure.term,
                         records.value().size(), reply.items.front().revision);
            });
}

void OwnerService::storeRunTimes()
{
    const auto now = bootNow();
    const auto &history = m_core.runTimes();
    if (!isHeld() || now - m_runTimesStoredAt < storeInterval
        || history.runsAdded() < m_runTimesStored + minNewRuns) {
        return;
    }
    m_runTimesStoredAt = now;
    m_runTimesStored = history.runsAdded();
    std::string errors;
    std::size_t queues = 0;
    for (const auto &[queue, accuracy] : history.accuracy()) {
        m_metrics.set(fmt::format(R"(run_time_error_factor{{queue="{}",of="learned"}})", queue),
                      std::exp(accuracy.learnedError));
        m_metrics.set(fmt::format(R"(run_time_error_factor{{queue="{}",of="declared"}})", queue),
                      std::exp(accuracy.declaredError));
        if (++queues <= maxLoggedQueues) {
            errors += fmt::format(" {}:{:.2f}/{:.2f}", queue, std::exp(accuracy.learnedError),
                                  std::exp(accuracy.declaredError));
        }
    }
    const auto records = history.records(maxStoredKinds);
    logEvent(runTimesStored, "term={} kinds={} runs={} queues={} learned_and_declared=\"{}\"",
             m_tenure.term, records.size(), history.runsAdded(), queues, errors);
    platform::StoreTransaction transaction;
    transaction.expected.push_back({std::string(ownerKey), m_tenure.revision});
    transaction.writes.push_back({std::string(runTimesKey), encodeRunTimes(records), 0});
    // A write that fails is made up for by the next one.
    m_store.transaction(transaction, [](const auto &) {});
}

} // namespace cyclamenlatch::control
