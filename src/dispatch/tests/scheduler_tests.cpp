// Tests of the scheduler's outcomes, retries, limits, deadlines, ejection and leaving workers. A
// property test checks that each request ends exactly once and that every unit is released.
#include "dispatch/scheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace cyclamenlatch::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

fleet::FleetDocument makeFleet(unsigned workers, unsigned slots, bool idempotent)
{
    fleet::FleetDocument fleet;
    fleet.services.push_back({ServiceId("swaps"), PoolId("swaps"), 1});
    fleet::Queue queue;
    queue.id = QueueId("swaps");
    queue.service = ServiceId("swaps");
    queue.idempotent = idempotent;
    fleet.queues.push_back(queue);
    queue.id = QueueId("alarms");
    queue.urgent = true;
    fleet.queues.push_back(queue);
    for (unsigned index = 0; index < workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId("w-" + std::to_string(index));
        worker.pool = PoolId("swaps");
        worker.slots = slots;
        worker.minionAddress = "127.0.0.1:" + std::to_string(9000 + index);
        fleet.workers.push_back(worker);
    }
    return fleet;
}

class SchedulerHarness
{
public:
    explicit SchedulerHarness(const fleet::FleetDocument &fleet, StartPermits permits = {},
                              DispatchSettings settings = {})
        : scheduler(settings, std::move(permits), 1)
    {
        scheduler.setTable(std::make_shared<const routing::RoutingTable>(fleet), now, actions);
    }

    void submit(Ticket ticket, const char *queue = "swaps", Duration timeout = seconds(10),
                const char *workspace = "drivers")
    {
        scheduler.submit({ticket, QueueId(queue), WorkspaceId(workspace), ticket, now + timeout},
                         now, actions);
    }

    void probe(Ticket ticket, unsigned attempt, ProbeVerdict verdict)
    {
        scheduler.probeEnded(ticket, attempt, verdict, now, actions);
    }

    void end(Ticket ticket, CallVerdict verdict)
    {
        scheduler.callEnded(ticket, verdict, now, actions);
    }

    // Advances the time and runs each timer of the scheduler when it is due.
    void advance(Duration duration)
    {
        const auto until = now + duration;
        for (auto wake = scheduler.nextTimeout(); wake && *wake <= until;
             wake = scheduler.nextTimeout()) {
            now = std::max(now, *wake);
            scheduler.processTimers(now, actions);
        }
        now = until;
    }

    template<typename Action>
    std::vector<Action> actionsOfType() const
    {
        std::vector<Action> found;
        for (const auto &action : actions) {
            if (const auto *match = std::get_if<Action>(&action)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    TimePoint now{seconds(1000)};
    SchedulerActions actions;
    Scheduler scheduler;
};

TEST(Scheduler, nonIdempotentRequestRunsOnceAfterUnknownOutcome)
{
    SchedulerHarness harness(makeFleet(2, 8, false));
    harness.submit(1);
    harness.end(1, CallVerdict::Unknown);
    harness.advance(seconds(60));
    EXPECT_EQ(harness.actionsOfType<StartCall>().size(), 1U);
    ASSERT_EQ(harness.actionsOfType<FailRequest>().size(), 1U);
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[0].outcome, Outcome::Unknown);
}

TEST(Scheduler, usesItsSlotShareAndAtLeastOneSlotForEachQueue)
{
    SchedulerHarness harness(makeFleet(2, 8, false));
    harness.scheduler.setSlotShares(*harness.scheduler.table(), {3, 0});
    for (Ticket ticket = 1; ticket <= 10; ++ticket) {
        harness.submit(ticket);
    }
    EXPECT_EQ(harness.actionsOfType<StartCall>().size(), 3U);
    EXPECT_EQ(harness.scheduler.inFlight(WorkerId("w-1")), 0U);
    // No request of the other queue is running yet.
    harness.submit(11, "alarms");
    harness.submit(12, "alarms");
    EXPECT_EQ(harness.actionsOfType<StartCall>().size(), 4U);
    harness.scheduler.setSlotShares(*harness.scheduler.table(), {3, 2});
    harness.advance(milliseconds(100));
    EXPECT_EQ(harness.scheduler.inFlight(WorkerId("w-0")), 3U);
    EXPECT_EQ(harness.scheduler.inFlight(WorkerId("w-1")), 2U);
}

TEST(Scheduler, connectionsOfAllEntriesStayWithinTheLimitPerMinion)
{
    for (unsigned maxEntries = 1; maxEntries <= 100; ++maxEntries) {
        for (unsigned knownEntries = 1; knownEntries <= maxEntries; ++knownEntries) {
            DispatchSettings settings;
            settings.mostEntries = maxEntries;
            SchedulerHarness harness(makeFleet(1, 8, false), {}, settings);
            harness.scheduler.setKnownEntries(knownEntries);
            const unsigned sum = maxEntries * harness.scheduler.connectionShare();
            EXPECT_LE(sum, std::max(maxEntries, settings.connectionsPerMinion - 2)) << maxEntries;
        }
    }
}

TEST(Scheduler, reservesOneConnectionForProbes)
{
    DispatchSettings settings;
    settings.mostEntries = 8;
    SchedulerHarness harness(makeFleet(1, 8, false), {}, settings);
    for (Ticket ticket = 1; ticket <= 10; ++ticket) {
        harness.submit(ticket);
    }
    EXPECT_EQ(harness.actionsOfType<StartCall>().size() + 1, harness.scheduler.connectionShare());
}

TEST(Scheduler, provenNotRunIsRetriedOnAnotherWorker)
{
    SchedulerHarness harness(makeFleet(2, 8, false));
    harness.submit(1);
    harness.end(1, CallVerdict::NotRun);
    harness.advance(seconds(1));
    ASSERT_EQ(harness.actionsOfType<StartCall>().size(), 2U);
    harness.end(1, CallVerdict::Success);
    EXPECT_EQ(harness.actionsOfType<RelayAnswer>().size(), 1U);
}

TEST(Scheduler, refusalAfterUnknownAttemptIsReportedAsUnknown)
{
    SchedulerHarness harness(makeFleet(2, 8, true));
    harness.submit(1);
    harness.end(1, CallVerdict::Unknown);
    harness.advance(seconds(1));
    ASSERT_EQ(harness.actionsOfType<StartCall>().size(), 2U);
    while (harness.actionsOfType<FailRequest>().empty()) {
        harness.end(1, CallVerdict::NotRun);
        harness.advance(seconds(1));
    }
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[0].outcome, Outcome::Unknown);
}

TEST(Scheduler, expiredAndCancelledRequestsEndAtOnceAsNotRun)
{
    SchedulerHarness harness(makeFleet(1, 1, false));
    harness.submit(1, "swaps", seconds(60));
    harness.submit(2, "swaps", seconds(3));
    harness.submit(3, "swaps", seconds(60));
    harness.scheduler.cancel(3, harness.actions);
    ASSERT_EQ(harness.actionsOfType<FailRequest>().size(), 1U);
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[0].ticket, 3U);
    harness.advance(seconds(3));
    ASSERT_EQ(harness.actionsOfType<FailRequest>().size(), 2U);
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[1].ticket, 2U);
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[1].outcome, Outcome::NotRun);
    EXPECT_GT(harness.actionsOfType<FailRequest>()[1].retryAfter.count(), 0);
    EXPECT_EQ(harness.scheduler.open(), 1U);
}

TEST(Scheduler, refusesRequestThatCanNotStartBeforeItsDeadline)
{
    SchedulerHarness harness(makeFleet(1, 1, false));
    harness.submit(1);
    harness.advance(seconds(1));
    harness.end(1, CallVerdict::Success);
    harness.submit(2, "swaps", seconds(30));
    harness.submit(3, "swaps", seconds(30));
    harness.submit(4, "swaps", milliseconds(900));
    ASSERT_EQ(harness.actionsOfType<FailRequest>().size(), 1U);
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[0].ticket, 4U);
    EXPECT_EQ(harness.actionsOfType<FailRequest>()[0].outcome, Outcome::NotRun);
    EXPECT_GE(harness.actionsOfType<FailRequest>()[0].retryAfter, seconds(1));
}

TEST(Scheduler, urgentRequestsStartFirst)
{
    SchedulerHarness harness(makeFleet(1, 1, false));
    harness.submit(1);
    harness.submit(2);
    harness.submit(3, "alarms");
    harness.end(1, CallVerdict::Success);
    ASSERT_EQ(harness.actionsOfType<StartCall>().size(), 2U);
    EXPECT_EQ(harness.actionsOfType<StartCall>()[1].ticket, 3U);
}

TEST(Scheduler, leavingWorkerGetsNoNewRequests)
{
    SchedulerHarness harness(makeFleet(2, 8, false));
    harness.scheduler.setLeaving({WorkerId("w-0")});
    for (Ticket ticket = 1; ticket <= 8; ++ticket) {
        harness.submit(ticket);
    }
    for (const auto &call : harness.actionsOfType<StartCall>()) {
        EXPECT_EQ(call.worker, WorkerId("w-1"));
    }
    EXPECT_EQ(harness.scheduler.inFlight(WorkerId("w-1")), 8U);
    harness.scheduler.setLeaving({WorkerId("w-0"), WorkerId("w-1")});
    harness.submit(9);
    ASSERT_EQ(harness.actionsOfType<FailRequest>().size(), 1U) << "no worker is left";
}

TEST(Scheduler, failingWorkersAreEjectedUpToMaxUnavailable)
{
    SchedulerHarness harness(makeFleet(4, 8, false));
    const std::set<WorkerId> failing{WorkerId("w-0"), WorkerId("w-1")};
    Ticket ticket = 0;
    for (int round = 0; round < 400; ++round) {
        harness.submit(++ticket);
        const auto call = harness.actionsOfType<StartCall>().back();
        harness.end(ticket,
                    failing.contains(call.worker) ? CallVerdict::Failure : CallVerdict::Success);
        harness.advance(milliseconds(10));
        const int ejected = (harness.scheduler.isEjected(WorkerId("w-0"), harness.now) ? 1 : 0)
                            + (harness.scheduler.isEjected(WorkerId("w-1"), harness.now) ? 1 : 0);
        ASSERT_LE(ejected, 1) << "maxUnavailable is 1";
    }
    EXPECT_TRUE(harness.scheduler.isEjected(WorkerId("w-0"), harness.now)
                || harness.scheduler.isEjected(WorkerId("w-1"), harness.now));
}

TEST(Scheduler, fastFailingWorkerAttractsNoLoad)
{
    DispatchSettings settings;
    settings.health.minOutcomes = 1e9; // Disables ejection.
    SchedulerHarness harness(makeFleet(4, 8, false), {}, settings);
    unsigned toFailing = 0;
    std::vector<std::pair<TimePoint, Ticket>> running;
    for (Ticket ticket = 1; ticket <= 400; ++ticket) {
        harness.submit(ticket, "swaps", seconds(60));
        const auto call = harness.actionsOfType<StartCall>().back();
        if (call.ticket == ticket && call.worker == WorkerId("w-0")) {
            ++toFailing;
            harness.end(ticket, CallVerdict::Failure);
        } else if (call.ticket == ticket) {
            running.emplace_back(harness.now + milliseconds(100), ticket);
        }
        harness.advance(milliseconds(10));
        while (!running.empty() && running.front().first <= harness.now) {
            harness.end(running.front().second, CallVerdict::Success);
            running.erase(running.begin());
        }
    }
    EXPECT_LT(toFailing, 100U) << "fewer than an equal share";
}

TEST(Scheduler, workThatFailsEverywhereEjectsNoWorker)
{
    SchedulerHarness harness(makeFleet(6, 8, true));
    Ticket ticket = 0;
    const WorkSignature poison = 7;
    for (int round = 0; round < 60; ++round) {
        harness.scheduler.submit({++ticket, QueueId("swaps"), WorkspaceId("drivers"), poison,
                                  harness.now + seconds(10)},
                                 harness.now, harness.actions);
        for (unsigned attempt = 0; attempt < 4; ++attempt) {
            harness.end(ticket, CallVerdict::Failure);
            harness.advance(seconds(1));
        }
    }
    for (unsigned index = 0; index < 6; ++index) {
        EXPECT_FALSE(
                harness.scheduler.isEjected(WorkerId("w-" + std::to_string(index)), harness.now));
    }
}

TEST(Scheduler, retriesOfFailedPoolStayWithinTheBudget)
{
    SchedulerHarness harness(makeFleet(4, 8, true));
    const Ticket requests = 2000;
    for (Ticket ticket = 1; ticket <= requests; ++ticket) {
        harness.submit(ticket);
        for (std::size_t done = 0; done < harness.actions.size(); ++done) {
            if (const auto *call = std::get_if<StartCall>(&harness.actions[done])) {
                harness.end(call->ticket, CallVerdict::NotRun);
            }
        }
        harness.advance(milliseconds(50));
    }
    const auto calls = harness.actionsOfType<StartCall>().size();
    EXPECT_LE(static_cast<double>(calls), 1.1 * requests);
}

TEST(Scheduler, connectionIsDeadWhenTheMinionNoLongerRunsTheRequest)
{
    SchedulerHarness harness(makeFleet(2, 8, false));
    harness.submit(1, "swaps", seconds(60));
    harness.advance(seconds(3));
    ASSERT_EQ(harness.actionsOfType<ProbeMinion>().size(), 1U);
    harness.probe(1, 1, ProbeVerdict::Running);
    harness.probe(1, 1, ProbeVerdict::NotRunning);
    EXPECT_TRUE(harness.actionsOfType<AbortCall>().empty()) << "the answer may be on its way";
    harness.advance(seconds(1));
    ASSERT_EQ(harness.actionsOfType<ProbeMinion>().size(), 2U);
    harness.probe(1, 1, ProbeVerdict::NotRunning);
    EXPECT_EQ(harness.actionsOfType<AbortCall>().size(), 1U);
}

TEST(Scheduler, slowWorkOnMinionThatReportsNoRunningWorkIsNotAborted)
{
    SchedulerHarness once(makeFleet(2, 8, false));
    once.submit(1, "swaps", seconds(60));
    once.advance(seconds(3));
    once.probe(1, 1, ProbeVerdict::Alive);
    EXPECT_TRUE(once.actionsOfType<AbortCall>().empty()) << "its outcome would be unknown";

    SchedulerHarness again(makeFleet(2, 8, true));
    again.submit(1, "swaps", seconds(60));
    again.advance(seconds(3));
    again.probe(1, 1, ProbeVerdict::Alive);
    ASSERT_EQ(again.actionsOfType<AbortCall>().size(), 1U);
    again.end(1, CallVerdict::Unknown);
    again.advance(seconds(5));
    ASSERT_EQ(again.actionsOfType<StartCall>().size(), 2U);
    again.probe(1, 2, ProbeVerdict::Alive);
    EXPECT_EQ(again.actionsOfType<AbortCall>().size(), 1U) << "the second try runs to its end";
}

TEST(Scheduler, unknownOutcomeKeepsTheWorkspaceUnitUntilTheWorkMustHaveEnded)
{
    int workspaceUnits = 0;
    StartPermits permits;
    permits.acquireWorkspace = [&](const WorkspaceId &) {
        return workspaceUnits < 1 && ++workspaceUnits == 1;
    };
    permits.releaseWorkspace = [&](const WorkspaceId &) { --workspaceUnits; };
    SchedulerHarness harness(makeFleet(2, 8, false), permits);
    harness.submit(1, "swaps", seconds(10));
    harness.end(1, CallVerdict::Unknown);
    harness.advance(seconds(14));
    EXPECT_EQ(workspaceUnits, 1);
    EXPECT_EQ(harness.scheduler.inFlight(harness.actionsOfType<StartCall>()[0].worker), 1U);
    harness.advance(seconds(2));
    EXPECT_EQ(workspaceUnits, 0);
    EXPECT_EQ(harness.scheduler.inFlight(harness.actionsOfType<StartCall>()[0].worker), 0U);
}

// For any events in any order: every request ends exactly once with the correct outcome, a
// non-idempotent one is started again only after a proven not-run, limits hold, and every unit is
// released.
RC_GTEST_PROP(Scheduler, endsEveryRequestOnceAndReleasesEveryUnit, ())
{
    const bool idempotent = *rc::gen::arbitrary<bool>();
    const int limit = *rc::gen::inRange(1, 6);
    std::map<WorkspaceId, int> workspaceUnits;
    std::map<WorkerId, int> slots;
    StartPermits permits;
    permits.acquireWorkspace = [&](const WorkspaceId &workspace) {
        return workspaceUnits[workspace] < limit && ++workspaceUnits[workspace] > 0;
    };
    permits.releaseWorkspace = [&](const WorkspaceId &workspace) { --workspaceUnits[workspace]; };
    permits.acquireSlot = [&](const WorkerId &worker) {
        return slots[worker] < 2 && ++slots[worker] > 0;
    };
    permits.releaseSlot = [&](const WorkerId &worker) { --slots[worker]; };
    SchedulerHarness harness(makeFleet(3, 4, idempotent), permits);

    std::map<Ticket, int> ends;
    std::map<Ticket, bool> mayHaveRun;
    std::set<Ticket> running;
    std::size_t readActions = 0;
    const auto readNewActions = [&] {
        for (; readActions < harness.actions.size(); ++readActions) {
            const auto &action = harness.actions[readActions];
            if (const auto *call = std::get_if<StartCall>(&action)) {
                RC_ASSERT(running.insert(call->ticket).second);
                RC_ASSERT(idempotent || !mayHaveRun[call->ticket]);
            } else if (const auto *relay = std::get_if<RelayAnswer>(&action)) {
                ++ends[relay->ticket];
            } else if (const auto *failRequest = std::get_if<FailRequest>(&action)) {
                ++ends[failRequest->ticket];
                RC_ASSERT(
                        failRequest->outcome
                        == (mayHaveRun[failRequest->ticket] ? Outcome::Unknown : Outcome::NotRun));
                RC_ASSERT(!failRequest->error.remedy.empty());
            }
        }
    };
    Ticket last = 0;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const int kind = *rc::gen::inRange(0, 8);
        if (kind <= 2) {
            harness.submit(++last, *rc::gen::element("swaps", "alarms"),
                           milliseconds(*rc::gen::inRange(1, 20000)),
                           *rc::gen::element("drivers", "agents"));
        } else if (kind <= 5 && !running.empty()) {
            const auto ticket = *rc::gen::elementOf(running);
            const auto verdict = *rc::gen::element(CallVerdict::Success, CallVerdict::Failure,
                                                   CallVerdict::NotRun, CallVerdict::Unknown);
            running.erase(ticket);
            mayHaveRun[ticket] = mayHaveRun[ticket] || verdict == CallVerdict::Unknown
                                 || verdict == CallVerdict::Failure;
            harness.end(ticket, verdict);
        } else if (kind == 6 && last > 0) {
            harness.scheduler.cancel(*rc::gen::inRange<Ticket>(1, last + 1), harness.actions);
        } else {
            harness.advance(milliseconds(*rc::gen::inRange(1, 3000)));
        }
        readNewActions();
    }
    while (harness.scheduler.open() > 0 || !running.empty()) {
        while (!running.empty()) {
            const auto ticket = *running.begin();
            running.erase(running.begin());
            harness.end(ticket, CallVerdict::Success);
            readNewActions();
        }
        harness.advance(seconds(1));
        readNewActions();
        harness.scheduler.workspaceAvailable(WorkspaceId("drivers"), harness.now, harness.actions);
        harness.scheduler.workspaceAvailable(WorkspaceId("agents"), harness.now, harness.actions);
        readNewActions();
    }
    harness.advance(seconds(60));
    for (Ticket ticket = 1; ticket <= last; ++ticket) {
        RC_ASSERT(ends[ticket] == 1);
    }
    for (const auto &[workspace, count] : workspaceUnits) {
        RC_ASSERT(count == 0);
    }
    for (const auto &[worker, count] : slots) {
        RC_ASSERT(count == 0);
    }
}

} // namespace
} // namespace cyclamenlatch::dispatch
