// Jobs with many occurrences that are due: what they cost, and that all of them run once.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace cyclamenlatch::scheduling::tests {

namespace {

class OverdueFixture : public OwnerFixture
{
public:
    explicit OverdueFixture(std::uint64_t term = 1)
        : OwnerFixture(term)
    {}

    // Its occurrences come due at this interval; so many are due already.
    void submitTimed(JobNumber id, std::uint32_t occurrences, std::uint32_t due, StepSpec step,
                     JobProgress progress = {}, bool isNew = true,
                     std::chrono::milliseconds interval = 1000ms)
    {
        JobSubmission submission;
        submission.id = id;
        submission.queue = queue;
        submission.service = service;
        submission.workspace = "space";
        submission.submitted = wall();
        submission.spec.steps = {std::move(step)};
        submission.spec.repeatCount = occurrences;
        submission.spec.interval = interval;
        submission.spec.firstDue = wall() - interval * due + interval / 2;
        core.jobArrived(submission, std::move(progress), 1, 1, isNew, now, wall());
    }

    // Steps that one plan looks at.
    std::uint64_t stepsInOnePlan()
    {
        plan();
        const auto before = core.work().stepsExamined;
        plan();
        return core.work().stepsExamined - before;
    }
};

} // namespace

// Guards against owners that go over their memory one after the other: every occurrence of a job
// whose first time lay a day back was opened at once, 86,400 times 24 tasks.
TEST(OverdueOccurrences, costAsMuchHoweverManyAreDue)
{
    std::set<std::uint64_t> costs;
    for (const std::uint32_t due : {1000U, 10000U, 86400U}) {
        OverdueFixture fixture;
        fixture.submitTimed(1, 86400, due, makeStep(24));
        costs.insert(fixture.stepsInOnePlan());
    }
    EXPECT_EQ(costs.size(), 1U);
    EXPECT_LE(*costs.rbegin(), 100U);
}

TEST(OverdueOccurrences, costAsMuchWhereThereAreManySuchJobs)
{
    constexpr std::uint32_t jobs = 300;
    std::set<std::uint64_t> costs;
    for (const std::uint32_t due : {1000U, 5000U}) {
        OverdueFixture fixture;
        for (JobNumber id = 1; id <= jobs; ++id) {
            fixture.submitTimed(id, due, due, makeStep(1));
        }
        costs.insert(fixture.stepsInOnePlan());
    }
    EXPECT_EQ(costs.size(), 1U);
    EXPECT_GE(*costs.begin(), jobs);
}

// Each occurrence runs once, also where they come due faster than they run and where the owner
// changes; the next owner meets runs and ends of occurrences that it would open later.
TEST(OverdueOccurrences, runOnceEachOverChangesOfOwners)
{
    constexpr std::uint32_t occurrences = 900;
    constexpr std::size_t slots = 16;
    std::map<std::uint32_t, int> started;
    std::vector<RunStatus> running;
    std::vector<EndedRun> ends;
    std::uint64_t lastEnd = 0;
    JobProgress progress;
    bool isCompleted = false;
    TimePoint now(1000s);
    std::uint64_t term = 0;
    while (!isCompleted && term < 200) {
        // Each owner gets some way.
        OverdueFixture fixture(++term);
        fixture.now = now;
        fixture.list("t1");
        const auto due = static_cast<std::uint32_t>(
                std::min<std::int64_t>(occurrences, 100 + (now - TimePoint(1000s)) / 20ms));
        fixture.submitTimed(1, occurrences, due, makeStep(1), progress, term == 1, 20ms);
        for (int round = 0; round < 20 && !isCompleted; ++round) {
            fixture.advance(20ms);
            fixture.report("t1", running, ends);
            for (const auto &order : fixture.plan()) {
                ASSERT_FALSE(std::holds_alternative<StopOrder>(order));
                if (const auto *start = std::get_if<StartOrder>(&order)) {
                    ++started[start->task.occurrence];
                    running.push_back(OwnerFixture::running(*start));
                    fixture.core.startAnswered(*start, OrderResult::Accepted, fixture.now);
                }
            }
            ASSERT_LE(running.size(), slots);
            // The newest runs end first, and the oldest one stays for long.
            for (int count = 0; count < 9 && running.size() > 1; ++count) {
                ends.push_back({++lastEnd,
                                running.back().task,
                                running.back().attempt,
                                RunOutcome::Done,
                                {}});
                running.pop_back();
            }
            if (running.size() == 1 && started.size() == occurrences) {
                ends.push_back({++lastEnd,
                                running.back().task,
                                running.back().attempt,
                                RunOutcome::Done,
                                {}});
                running.clear();
            }
            // The last round of an owner stores nothing.
            const auto flush = round == 19 ? Flush{} : fixture.flush();
            for (const auto &write : flush.writes) {
                progress = write.progress;
                isCompleted = progress.phase == JobPhase::Completed;
            }
            for (const auto &[id, number] : flush.endsCovered) {
                std::erase_if(ends,
                              [&, last = number](const auto &end) { return end.number <= last; });
            }
        }
        now = fixture.now;
    }
    EXPECT_TRUE(isCompleted);
    EXPECT_EQ(started.size(), occurrences);
    for (const auto &[number, count] : started) {
        EXPECT_EQ(count, 1) << "occurrence " << number;
    }
}

// An end of an occurrence that this owner has not opened is not lost: the task would start again.
TEST(OverdueOccurrences, countEndsOfThoseThatAreNotOpen)
{
    OverdueFixture fixture(2);
    fixture.list("t1", Resources{100'000'000, 100'000'000, 0});
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    fixture.submitTimed(1, 500, 500, makeStep(1), begun, false);
    StartOrder start;
    start.task = TaskRef{1, 400, 0, 0};
    start.attempt = 1;
    fixture.report("t1", {}, {OwnerFixture::end(1, start, RunOutcome::Done)});
    std::set<std::uint32_t> started;
    for (int round = 0; round < 50; ++round) {
        for (const auto &order : fixture.startAll()) {
            started.insert(order.task.occurrence);
        }
    }
    EXPECT_EQ(started.size(), 499U);
    EXPECT_FALSE(started.contains(400));
}

// A run that an earlier owner has started by its own clock lets no other task of the occurrence
// start before its time.
TEST(OverdueOccurrences, openNoOccurrenceEarlyForARunThatIsReported)
{
    OverdueFixture fixture(2);
    fixture.list("t1");
    JobProgress begun;
    begun.phase = JobPhase::Running;
    begun.targets = {"t1"};
    fixture.submitTimed(1, 3, 1, makeStep(2), begun, false);
    StartOrder start;
    start.task = TaskRef{1, 1, 0, 0};
    start.attempt = 1;
    fixture.report("t1", {OwnerFixture::running(start)}, {});
    std::vector<RunStatus> running{OwnerFixture::running(start)};
    for (const auto &order : fixture.startAll()) {
        EXPECT_EQ(order.task.occurrence, 0U);
        running.push_back(OwnerFixture::running(order));
    }
    EXPECT_EQ(running.size(), 3U);
    fixture.advance(600ms);
    fixture.report("t1", running, {});
    const auto orders = fixture.startAll();
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders[0].task, (TaskRef{1, 1, 0, 1}));
}

// Guards against a record that the store does not take: the done tasks of wide steps were listed
// one by one for up to a thousand occurrences.
TEST(OverdueOccurrences, keepTheRecordOfWideStepsSmall)
{
    OverdueFixture fixture;
    fixture.join("t1", Resources{100'000'000, 100'000'000, 0});
    constexpr std::uint32_t width = 500;
    fixture.submitTimed(1, 100, 100, makeStep(width));
    std::uint64_t lastEnd = 0;
    std::size_t mostListed = 0;
    std::vector<StartOrder> running;
    for (int round = 0; round < 200; ++round) {
        for (const auto &start : fixture.startAll()) {
            running.push_back(start);
        }
        std::vector<RunStatus> rows;
        std::vector<EndedRun> ends;
        for (const auto &start : running) {
            if (ends.size() < 400) {
                ends.push_back(OwnerFixture::end(++lastEnd, start, RunOutcome::Done));
            } else {
                rows.push_back(OwnerFixture::running(start));
            }
        }
        running.erase(running.begin(), running.begin() + static_cast<std::ptrdiff_t>(ends.size()));
        fixture.report("t1", rows, ends);
        for (const auto &write : fixture.flush().writes) {
            std::size_t listed = 0;
            for (const auto &[step, done] : write.progress.steps) {
                listed += done.done.size();
            }
            mostListed = std::max(mostListed, listed);
        }
    }
    EXPECT_EQ(lastEnd, 100U * width);
    EXPECT_LE(mostListed, 10'000U);
}

} // namespace cyclamenlatch::scheduling::tests
