// Tests of reservations: a target is kept free for a long-running task only as long as the task may
// start there.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling::tests {

namespace {

constexpr auto adviceValidity = 5000ms;
// Longer than any reservation that is not renewed.
constexpr auto reservationExpiry = 4500ms;

StepSpec makeLongRunning(std::uint32_t count, std::int64_t processors)
{
    auto step = makeStep(count, processors);
    step.isLongRunning = true;
    return step;
}

class ReservationFixture : public OwnerFixture
{
public:
    ReservationFixture() { setRules(makeTwoQueues()); }

    static FleetRules makeTwoQueues()
    {
        auto rules = makeRules();
        auto advised = rules.queues[0];
        advised.name = "advised";
        advised.advice = AdviceRule{50ms, 5ms, adviceValidity};
        rules.queues.push_back(advised);
        WorkspaceRule other;
        other.name = "other space";
        rules.workspaces.push_back(other);
        return rules;
    }

    void setRules(const FleetRules &rules) { core.setRules(rules, now); }

    void submitAdvised(JobNumber id, StepSpec step)
    {
        queue = "advised";
        submit(id, {std::move(step)});
        queue = "queue";
    }

    // Submits a job of short tasks of one core each, and lets those start that may.
    void runShortTasks(JobNumber id, std::uint32_t count, const std::string &workspace = "space")
    {
        submit(id, {makeStep(count)}, workspace);
        run(100ms);
    }

    // Advances in small steps; answers advice calls, flushes and lets targets accept starts.
    void run(Duration duration)
    {
        for (Duration passed{}; passed < duration; passed += 50ms) {
            advance(50ms);
            const auto orders = plan();
            flush();
            answer(orders);
            answer(plan());
        }
    }

    void answer(const std::vector<Order> &orders)
    {
        for (const auto &order : orders) {
            if (const auto *start = std::get_if<StartOrder>(&order)) {
                core.startAnswered(*start, OrderResult::Accepted, now);
                started.push_back(*start);
            } else if (const auto *advise = std::get_if<AdviseOrder>(&order)) {
                answerAdvice(*advise);
            }
        }
    }

    // Number of tasks that the job has had started.
    std::size_t startedTasks(JobNumber job) const
    {
        return static_cast<std::size_t>(
                std::count_if(started.begin(), started.end(),
                              [&](const auto &start) { return start.task.job == job; }));
    }

    std::vector<StartOrder> started;
    // The targets that advice allows; empty: the advice service does not answer.
    std::optional<std::vector<std::string>> approved = std::vector<std::string>{};

private:
    void answerAdvice(const AdviseOrder &order)
    {
        if (!approved) {
            return core.adviceAnswered(order, std::nullopt, 0ms, now);
        }
        std::vector<Advice> tickets;
        for (const auto &target : order.targets) {
            if (std::find(approved->begin(), approved->end(), target) != approved->end()) {
                tickets.push_back({target, "ticket"});
            }
        }
        core.adviceAnswered(order, tickets, adviceValidity, now);
    }
};

} // namespace

// Guards against jobs that never start: long-running tasks that advice allows on one full target
// kept all other targets of the service free for themselves.
TEST(Reservations, keepNoTargetFreeThatAdviceForbids)
{
    ReservationFixture fixture;
    for (const char *id : {"t1", "t2", "t3"}) {
        fixture.join(id);
    }
    fixture.approved = {"t1"};
    for (JobNumber job = 1; job <= 4; ++job) {
        fixture.submitAdvised(job, makeLongRunning(1, 9000));
    }
    fixture.run(1s);
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.submit(9, {makeStep(20)});
    fixture.run(200ms);
    EXPECT_EQ(fixture.startedTasks(9), 20U);
}

// Guards against short tasks that are stopped for a task that may not take their place.
TEST(Reservations, preemptNothingOnATargetThatAdviceForbids)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.runShortTasks(9, 16);
    ASSERT_EQ(fixture.startedTasks(9), 16U);
    fixture.submitAdvised(1, makeLongRunning(1, 9000));
    fixture.run(4s);
    EXPECT_TRUE(std::none_of(
            fixture.decisions.begin(), fixture.decisions.end(),
            [](const auto &decision) { return decision.kind == Decision::Kind::Preempted; }));
}

// Guards against targets that are kept free for good while no ticket can be had.
TEST(Reservations, keepNoTargetFreeWhileTheAdviceServiceIsSilent)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.approved.reset();
    fixture.submitAdvised(1, makeLongRunning(1, 9000));
    fixture.run(1s);
    fixture.runShortTasks(9, 4);
    EXPECT_EQ(fixture.startedTasks(9), 4U);
}

// The same for an advice service that falls silent after it has allowed the target.
TEST(Reservations, endWhenTheirTicketsCanNotBeRenewed)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.runShortTasks(8, 16);
    fixture.approved = {"t1"};
    fixture.submitAdvised(1, makeLongRunning(1, 9000));
    fixture.run(1s);
    fixture.approved.reset();
    fixture.run(adviceValidity + reservationExpiry);
    std::vector<EndedRun> ends;
    for (const auto &start : fixture.started) {
        ends.push_back(OwnerFixture::end(ends.size() + 1, start, RunOutcome::Done));
    }
    fixture.report("t1", {}, ends);
    fixture.runShortTasks(9, 16);
    EXPECT_EQ(fixture.startedTasks(9), 16U);
}

// Guards against a reservation that is lost to short tasks while its ticket is renewed.
TEST(Reservations, outliveAnExpiredTicket)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.approved = {"t1"};
    fixture.runShortTasks(8, 10);
    fixture.submitAdvised(1, makeLongRunning(1, 9000));
    fixture.run(1s);
    fixture.approved.reset();
    fixture.run(adviceValidity - 1s);
    fixture.submit(9, {makeStep(6)});
    fixture.run(500ms);
    EXPECT_EQ(fixture.startedTasks(9), 0U);
}

// Guards against a reservation that outlives the label that it was made for.
TEST(Reservations, endWhenTheTargetLosesTheLabel)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.runShortTasks(8, 10);
    auto labelled = makeLongRunning(1, 9000);
    labelled.requiredLabel = "a";
    fixture.submit(1, {labelled});
    fixture.run(1s);
    auto relabelled = *fixture.core.target("t1");
    relabelled.labels = {"b", "r1"};
    fixture.core.targetListed(relabelled, fixture.now);
    fixture.runShortTasks(9, 6);
    EXPECT_EQ(fixture.startedTasks(9), 6U);
}

// Guards against a reservation on a target without the label, and on one that has as many tasks of
// the step as it may.
TEST(Reservations, keepNoTargetFreeThatLabelOrSpreadExcludes)
{
    ReservationFixture fixture;
    fixture.join("t1");
    auto labelled = makeLongRunning(1, 9000);
    labelled.requiredLabel = "b";
    fixture.submit(1, {labelled});
    auto spread = makeLongRunning(2, 4000);
    spread.maxTasksPerTarget = 1;
    fixture.submit(2, {spread});
    fixture.run(1s);
    ASSERT_EQ(fixture.started.size(), 1U);
    fixture.runShortTasks(9, 12);
    EXPECT_EQ(fixture.startedTasks(9), 12U);
}

// Guards against a reservation for a task that the cap of its workspace does not allow.
TEST(Reservations, endWhenTheCapOfTheWorkspaceIsUsedUp)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.submit(2, {makeLongRunning(1, 2000)});
    fixture.run(100ms);
    fixture.runShortTasks(8, 8, "other space");
    fixture.submit(1, {makeLongRunning(1, 9000)});
    fixture.run(1s);
    auto rules = ReservationFixture::makeTwoQueues();
    rules.workspaces[0].cap = Resources{2000, 0, 0};
    fixture.setRules(rules);
    fixture.runShortTasks(9, 6, "other space");
    EXPECT_EQ(fixture.startedTasks(9), 6U);
}

// Guards against a target that stays reserved although the task has started elsewhere, or its job
// was cancelled.
TEST(Reservations, endWithTheWaitOfTheirTask)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.runShortTasks(8, 10);
    fixture.submit(1, {makeLongRunning(1, 9000)});
    fixture.run(1s);
    fixture.join("t2", Resources{9000, 64000, 0});
    fixture.run(100ms);
    ASSERT_EQ(fixture.startedTasks(1), 1U);
    fixture.runShortTasks(9, 3);
    EXPECT_EQ(fixture.startedTasks(9), 3U);
    fixture.submit(2, {makeLongRunning(1, 9000)});
    fixture.run(1s);
    fixture.core.jobCancelled(2, fixture.now);
    fixture.runShortTasks(10, 3);
    EXPECT_EQ(fixture.startedTasks(10), 3U);
}

// A gang starts all of its tasks or none, so none of them keeps a target free by itself.
TEST(Reservations, areNotMadeForGangs)
{
    ReservationFixture fixture;
    fixture.join("t1");
    auto gang = makeLongRunning(2, 9000);
    gang.isGang = true;
    fixture.submit(1, {gang});
    fixture.run(1s);
    ASSERT_TRUE(fixture.started.empty());
    fixture.runShortTasks(9, 16);
    EXPECT_EQ(fixture.startedTasks(9), 16U);
}

// The purpose of a reservation: short tasks do not take the room of a waiting long-running task.
TEST(Reservations, keepRoomForALongRunningTaskThatWaits)
{
    ReservationFixture fixture;
    fixture.join("t1");
    fixture.approved = {"t1"};
    fixture.runShortTasks(8, 10);
    fixture.submitAdvised(1, makeLongRunning(1, 9000));
    fixture.run(1s);
    fixture.runShortTasks(9, 6);
    EXPECT_EQ(fixture.startedTasks(9), 0U);
}

} // namespace cyclamenlatch::scheduling::tests
