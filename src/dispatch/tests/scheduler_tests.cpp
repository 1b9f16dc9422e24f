// The scheduler's decisions: true outcomes, retries, limits, deadlines, ejection and leaving; and
// as a property, that whatever happens each request ends once and every unit is given back.
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

class Bench
{
public:
    explicit Bench(const fleet::FleetDocument &fleet, StartPermits permits = {},
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

    // Lets time pass, waking the scheduler whenever it asks for it.
    void pass(Duration duration)
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
    std::vector<Action> taken() const
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
    Bench bench(makeFleet(2, 8, false));
    bench.submit(1);
    bench.end(1, CallVerdict::Unknown);
    bench.pass(seconds(60));
    EXPECT_EQ(bench.taken<StartCall>().size(), 1U);
    ASSERT_EQ(bench.taken<FailRequest>().size(), 1U);
    EXPECT_EQ(bench.taken<FailRequest>()[0].outcome, Outcome::Unknown);
}

TEST(Scheduler, startsNoMoreThanItsShareOfSlotsButOneOfEachQueue)
{
    Bench bench(makeFleet(2, 8, false));
    bench.scheduler.setSlotShares(*bench.scheduler.table(), {3, 0});
    for (Ticket ticket = 1; ticket <= 10; ++ticket) {
        bench.submit(ticket);
    }
    EXPECT_EQ(bench.taken<StartCall>().size(), 3U);
    EXPECT_EQ(bench.scheduler.inFlight(WorkerId("w-1")), 0U);
    // The other queue has nothing running yet.
    bench.submit(11, "alarms");
    bench.submit(12, "alarms");
    EXPECT_EQ(bench.taken<StartCall>().size(), 4U);
    bench.scheduler.setSlotShares(*bench.scheduler.table(), {3, 2});
    bench.pass(milliseconds(100));
    EXPECT_EQ(bench.scheduler.inFlight(WorkerId("w-0")), 3U);
    EXPECT_EQ(bench.scheduler.inFlight(WorkerId("w-1")), 2U);
}

TEST(Scheduler, connectionsOfAllEntriesTogetherStayWithinTheMinionsBound)
{
    for (unsigned most = 1; most <= 100; ++most) {
        for (unsigned known = 1; known <= most; ++known) {
            DispatchSettings settings;
            settings.mostEntries = most;
            Bench bench(makeFleet(1, 8, false), {}, settings);
            bench.scheduler.setKnownEntries(known);
            const unsigned sum = most * bench.scheduler.connectionShare();
            EXPECT_LE(sum, std::max(most, settings.connectionsPerMinion - 2)) << most;
        }
    }
}

TEST(Scheduler, keepsAConnectionForProbes)
{
    DispatchSettings settings;
    settings.mostEntries = 8;
    Bench bench(makeFleet(1, 8, false), {}, settings);
    for (Ticket ticket = 1; ticket <= 10; ++ticket) {
        bench.submit(ticket);
    }
    EXPECT_EQ(bench.taken<StartCall>().size() + 1, bench.scheduler.connectionShare());
}

TEST(Scheduler, provenNotRunIsRetriedOnAnotherWorker)
{
    Bench bench(makeFleet(2, 8, false));
    bench.submit(1);
    bench.end(1, CallVerdict::NotRun);
    bench.pass(seconds(1));
    ASSERT_EQ(bench.taken<StartCall>().size(), 2U);
    bench.end(1, CallVerdict::Success);
    EXPECT_EQ(bench.taken<RelayAnswer>().size(), 1U);
}

TEST(Scheduler, refusalAfterUnknownTryIsNotCalledNotRun)
{
    Bench bench(makeFleet(2, 8, true));
    bench.submit(1);
    bench.end(1, CallVerdict::Unknown);
    bench.pass(seconds(1));
    ASSERT_EQ(bench.taken<StartCall>().size(), 2U);
    while (bench.taken<FailRequest>().empty()) {
        bench.end(1, CallVerdict::NotRun);
        bench.pass(seconds(1));
    }
    EXPECT_EQ(bench.taken<FailRequest>()[0].outcome, Outcome::Unknown);
}

TEST(Scheduler, expiredAndCancelledRequestsAreNotRunAtOnce)
{
    Bench bench(makeFleet(1, 1, false));
    bench.submit(1, "swaps", seconds(60));
    bench.submit(2, "swaps", seconds(3));
    bench.submit(3, "swaps", seconds(60));
    bench.scheduler.cancel(3, bench.actions);
    ASSERT_EQ(bench.taken<FailRequest>().size(), 1U);
    EXPECT_EQ(bench.taken<FailRequest>()[0].ticket, 3U);
    bench.pass(seconds(3));
    ASSERT_EQ(bench.taken<FailRequest>().size(), 2U);
    EXPECT_EQ(bench.taken<FailRequest>()[1].ticket, 2U);
    EXPECT_EQ(bench.taken<FailRequest>()[1].outcome, Outcome::NotRun);
    EXPECT_GT(bench.taken<FailRequest>()[1].retryAfter.count(), 0);
    EXPECT_EQ(bench.scheduler.open(), 1U);
}

TEST(Scheduler, refusesEarlyWhatCanNotStartBeforeItsDeadline)
{
    Bench bench(makeFleet(1, 1, false));
    bench.submit(1);
    bench.pass(seconds(1));
    bench.end(1, CallVerdict::Success);
    bench.submit(2, "swaps", seconds(30));
    bench.submit(3, "swaps", seconds(30));
    bench.submit(4, "swaps", milliseconds(900));
    ASSERT_EQ(bench.taken<FailRequest>().size(), 1U);
    EXPECT_EQ(bench.taken<FailRequest>()[0].ticket, 4U);
    EXPECT_EQ(bench.taken<FailRequest>()[0].outcome, Outcome::NotRun);
    EXPECT_GE(bench.taken<FailRequest>()[0].retryAfter, seconds(1));
}

TEST(Scheduler, urgentRequestsStartFirst)
{
    Bench bench(makeFleet(1, 1, false));
    bench.submit(1);
    bench.submit(2);
    bench.submit(3, "alarms");
    bench.end(1, CallVerdict::Success);
    ASSERT_EQ(bench.taken<StartCall>().size(), 2U);
    EXPECT_EQ(bench.taken<StartCall>()[1].ticket, 3U);
}

TEST(Scheduler, leavingWorkerGetsNothingNew)
{
    Bench bench(makeFleet(2, 8, false));
    bench.scheduler.setLeaving({WorkerId("w-0")});
    for (Ticket ticket = 1; ticket <= 8; ++ticket) {
        bench.submit(ticket);
    }
    for (const auto &call : bench.taken<StartCall>()) {
        EXPECT_EQ(call.worker, WorkerId("w-1"));
    }
    EXPECT_EQ(bench.scheduler.inFlight(WorkerId("w-1")), 8U);
    bench.scheduler.setLeaving({WorkerId("w-0"), WorkerId("w-1")});
    bench.submit(9);
    ASSERT_EQ(bench.taken<FailRequest>().size(), 1U) << "no worker is left";
}

TEST(Scheduler, failingWorkerIsEjectedWithinTheBudgetOnly)
{
    Bench bench(makeFleet(4, 8, false));
    const std::set<WorkerId> failing{WorkerId("w-0"), WorkerId("w-1")};
    Ticket ticket = 0;
    for (int round = 0; round < 400; ++round) {
        bench.submit(++ticket);
        const auto call = bench.taken<StartCall>().back();
        bench.end(ticket,
                  failing.contains(call.worker) ? CallVerdict::Failure : CallVerdict::Success);
        bench.pass(milliseconds(10));
        const int ejected = (bench.scheduler.isEjected(WorkerId("w-0"), bench.now) ? 1 : 0)
                            + (bench.scheduler.isEjected(WorkerId("w-1"), bench.now) ? 1 : 0);
        ASSERT_LE(ejected, 1) << "maxUnavailable is 1";
    }
    EXPECT_TRUE(bench.scheduler.isEjected(WorkerId("w-0"), bench.now)
                || bench.scheduler.isEjected(WorkerId("w-1"), bench.now));
}

TEST(Scheduler, fastFailingWorkerAttractsNoLoad)
{
    DispatchSettings settings;
    settings.health.minOutcomes = 1e9; // without ejection
    Bench bench(makeFleet(4, 8, false), {}, settings);
    unsigned toFailing = 0;
    std::vector<std::pair<TimePoint, Ticket>> running;
    for (Ticket ticket = 1; ticket <= 400; ++ticket) {
        bench.submit(ticket, "swaps", seconds(60));
        const auto call = bench.taken<StartCall>().back();
        if (call.ticket == ticket && call.worker == WorkerId("w-0")) {
            ++toFailing;
            bench.end(ticket, CallVerdict::Failure);
        } else if (call.ticket == ticket) {
            running.emplace_back(bench.now + milliseconds(100), ticket);
        }
        bench.pass(milliseconds(10));
        while (!running.empty() && running.front().first <= bench.now) {
            bench.end(running.front().second, CallVerdict::Success);
            running.erase(running.begin());
        }
    }
    EXPECT_LT(toFailing, 100U) << "less than an even share";
}

TEST(Scheduler, workThatFailsEverywhereEjectsNobody)
{
    Bench bench(makeFleet(6, 8, true));
    Ticket ticket = 0;
    const WorkSignature poison = 7;
    for (int round = 0; round < 60; ++round) {
        bench.scheduler.submit({++ticket, QueueId("swaps"), WorkspaceId("drivers"), poison,
                                bench.now + seconds(10)},
                               bench.now, bench.actions);
        for (unsigned attempt = 0; attempt < 4; ++attempt) {
            bench.end(ticket, CallVerdict::Failure);
            bench.pass(seconds(1));
        }
    }
    for (unsigned index = 0; index < 6; ++index) {
        EXPECT_FALSE(bench.scheduler.isEjected(WorkerId("w-" + std::to_string(index)), bench.now));
    }
}

TEST(Scheduler, retriesOfDeadPoolStayInTheirBudget)
{
    Bench bench(makeFleet(4, 8, true));
    const Ticket requests = 2000;
    for (Ticket ticket = 1; ticket <= requests; ++ticket) {
        bench.submit(ticket);
        for (std::size_t done = 0; done < bench.actions.size(); ++done) {
            if (const auto *call = std::get_if<StartCall>(&bench.actions[done])) {
                bench.end(call->ticket, CallVerdict::NotRun);
            }
        }
        bench.pass(milliseconds(50));
    }
    const auto calls = bench.taken<StartCall>().size();
    EXPECT_LE(static_cast<double>(calls), 1.1 * requests);
}

TEST(Scheduler, connectionIsDeadWhenTheMinionNoLongerRunsTheRequest)
{
    Bench bench(makeFleet(2, 8, false));
    bench.submit(1, "swaps", seconds(60));
    bench.pass(seconds(3));
    ASSERT_EQ(bench.taken<ProbeMinion>().size(), 1U);
    bench.probe(1, 1, ProbeVerdict::Running);
    bench.probe(1, 1, ProbeVerdict::NotRunning);
    EXPECT_TRUE(bench.taken<AbortCall>().empty()) << "the answer may be on its way";
    bench.pass(seconds(1));
    ASSERT_EQ(bench.taken<ProbeMinion>().size(), 2U);
    bench.probe(1, 1, ProbeVerdict::NotRunning);
    EXPECT_EQ(bench.taken<AbortCall>().size(), 1U);
}

TEST(Scheduler, slowWorkOnAMinionThatDoesNotTellWhatItRunsIsNotCut)
{
    Bench once(makeFleet(2, 8, false));
    once.submit(1, "swaps", seconds(60));
    once.pass(seconds(3));
    once.probe(1, 1, ProbeVerdict::Alive);
    EXPECT_TRUE(once.taken<AbortCall>().empty()) << "its outcome would be unknown";

    Bench again(makeFleet(2, 8, true));
    again.submit(1, "swaps", seconds(60));
    again.pass(seconds(3));
    again.probe(1, 1, ProbeVerdict::Alive);
    ASSERT_EQ(again.taken<AbortCall>().size(), 1U);
    again.end(1, CallVerdict::Unknown);
    again.pass(seconds(5));
    ASSERT_EQ(again.taken<StartCall>().size(), 2U);
    again.probe(1, 2, ProbeVerdict::Alive);
    EXPECT_EQ(again.taken<AbortCall>().size(), 1U) << "the second try runs to its end";
}

TEST(Scheduler, unknownOutcomeKeepsTheWorkspaceUnitUntilTheWorkMustHaveEnded)
{
    int held = 0;
    StartPermits permits;
    permits.acquireWorkspace = [&](const WorkspaceId &) { return held < 1 && ++held == 1; };
    permits.releaseWorkspace = [&](const WorkspaceId &) { --held; };
    Bench bench(makeFleet(2, 8, false), permits);
    bench.submit(1, "swaps", seconds(10));
    bench.end(1, CallVerdict::Unknown);
    bench.pass(seconds(14));
    EXPECT_EQ(held, 1);
    EXPECT_EQ(bench.scheduler.inFlight(bench.taken<StartCall>()[0].worker), 1U);
    bench.pass(seconds(2));
    EXPECT_EQ(held, 0);
    EXPECT_EQ(bench.scheduler.inFlight(bench.taken<StartCall>()[0].worker), 0U);
}

// Whatever happens in whatever order: every request ends exactly once and truly, a non-idempotent
// one starts again only from a proven not-run, limits hold, and every unit comes back.
RC_GTEST_PROP(Scheduler, endsEveryRequestOnceAndReturnsEveryUnit, ())
{
    const bool idempotent = *rc::gen::arbitrary<bool>();
    const int limit = *rc::gen::inRange(1, 6);
    std::map<WorkspaceId, int> held;
    std::map<WorkerId, int> slots;
    StartPermits permits;
    permits.acquireWorkspace = [&](const WorkspaceId &workspace) {
        return held[workspace] < limit && ++held[workspace] > 0;
    };
    permits.releaseWorkspace = [&](const WorkspaceId &workspace) { --held[workspace]; };
    permits.acquireSlot = [&](const WorkerId &worker) {
        return slots[worker] < 2 && ++slots[worker] > 0;
    };
    permits.releaseSlot = [&](const WorkerId &worker) { --slots[worker]; };
    Bench bench(makeFleet(3, 4, idempotent), permits);

    std::map<Ticket, int> ends;
    std::map<Ticket, bool> mayHaveRun;
    std::set<Ticket> running;
    std::size_t seen = 0;
    const auto read = [&] {
        for (; seen < bench.actions.size(); ++seen) {
            const auto &action = bench.actions[seen];
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
            bench.submit(++last, *rc::gen::element("swaps", "alarms"),
                         milliseconds(*rc::gen::inRange(1, 20000)),
                         *rc::gen::element("drivers", "agents"));
        } else if (kind <= 5 && !running.empty()) {
            const auto ticket = *rc::gen::elementOf(running);
            const auto verdict = *rc::gen::element(CallVerdict::Success, CallVerdict::Failure,
                                                   CallVerdict::NotRun, CallVerdict::Unknown);
            running.erase(ticket);
            mayHaveRun[ticket] = mayHaveRun[ticket] || verdict == CallVerdict::Unknown
                                 || verdict == CallVerdict::Failure;
            bench.end(ticket, verdict);
        } else if (kind == 6 && last > 0) {
            bench.scheduler.cancel(*rc::gen::inRange<Ticket>(1, last + 1), bench.actions);
        } else {
            bench.pass(milliseconds(*rc::gen::inRange(1, 3000)));
        }
        read();
    }
    while (bench.scheduler.open() > 0 || !running.empty()) {
        while (!running.empty()) {
            const auto ticket = *running.begin();
            running.erase(running.begin());
            bench.end(ticket, CallVerdict::Success);
            read();
        }
        bench.pass(seconds(1));
        read();
        bench.scheduler.workspaceAvailable(WorkspaceId("drivers"), bench.now, bench.actions);
        bench.scheduler.workspaceAvailable(WorkspaceId("agents"), bench.now, bench.actions);
        read();
    }
    bench.pass(seconds(60));
    for (Ticket ticket = 1; ticket <= last; ++ticket) {
        RC_ASSERT(ends[ticket] == 1);
    }
    for (const auto &[workspace, count] : held) {
        RC_ASSERT(count == 0);
    }
    for (const auto &[worker, count] : slots) {
        RC_ASSERT(count == 0);
    }
}

} // namespace
} // namespace cyclamenlatch::dispatch
