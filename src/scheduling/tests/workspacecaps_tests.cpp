// Caps of workspaces: what may start beside what runs, and what may not.
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

namespace cyclamenlatch::scheduling::tests {

namespace {

FleetRules makeRulesWithCap(std::int64_t processors)
{
    auto rules = makeRules();
    rules.workspaces[0].cap = Resources{processors, 0, 0};
    return rules;
}

StepSpec makeLongRunning(std::uint32_t count, std::int64_t processors)
{
    auto step = makeStep(count, processors);
    step.isLongRunning = true;
    return step;
}

StepSpec makeGang(std::uint32_t count, std::int64_t processors)
{
    auto step = makeStep(count, processors);
    step.isGang = true;
    return step;
}

class CapFixture : public OwnerFixture
{
public:
    explicit CapFixture(std::int64_t cap)
    {
        setCap(cap);
        join("t1");
        join("t2");
    }

    void setCap(std::int64_t cap) { core.setRules(makeRulesWithCap(cap), now); }
};

} // namespace

// Guards against a job that never starts: a task that fits under a lowered cap, but not beside a
// long-running task of the same workspace that uses less than half of it.
TEST(WorkspaceCaps, letATaskStartBesideALongRunningOneAfterACapIsLowered)
{
    CapFixture fixture(20000);
    fixture.submit(1, {makeLongRunning(1, 1500)});
    ASSERT_EQ(fixture.startAll().size(), 1U);
    fixture.setCap(4000);
    fixture.submit(2, {makeStep(2, 3000)});
    EXPECT_EQ(fixture.startAll().size(), 1U);
    fixture.submit(3, {makeStep(1, 100)});
    EXPECT_TRUE(fixture.startAll().empty());
}

// Guards against a job that never starts because one of its tasks needs more than the whole cap.
TEST(WorkspaceCaps, letATaskLargerThanTheCapStartAlone)
{
    CapFixture fixture(2000);
    fixture.submit(1, {makeStep(2, 3000)});
    const auto first = fixture.startAll();
    ASSERT_EQ(first.size(), 1U);
    fixture.report(first[0].targetId, {}, {OwnerFixture::end(1, first[0], RunOutcome::Done)});
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// The same for a gang: all members but one have to leave some of the cap.
TEST(WorkspaceCaps, letAGangStartWhoseLastMemberExceedsTheCap)
{
    CapFixture fixture(4000);
    fixture.submit(1, {makeLongRunning(1, 500)});
    ASSERT_EQ(fixture.startAll().size(), 1U);
    fixture.submit(2, {makeGang(5, 1000)});
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.submit(3, {makeGang(4, 1000)});
    EXPECT_EQ(fixture.startAll().size(), 4U);
}

// The same for a copy, which counts beside the run that it copies.
TEST(WorkspaceCaps, letACopyStartThatExceedsTheCapAndNoSecondOne)
{
    CapFixture fixture(3000);
    auto step = makeStep(2, 1400);
    step.allowsCopies = true;
    fixture.submit(1, {step});
    ASSERT_EQ(fixture.startAll().size(), 2U);
    // Neither start is listed, and both targets are silent for long: both tasks want a copy.
    fixture.join("t3");
    fixture.join("t4");
    for (int failures = 0; failures < 2; ++failures) {
        fixture.core.keepAliveFailed("t1", fixture.now);
        fixture.core.keepAliveFailed("t2", fixture.now);
        fixture.advance(700ms);
    }
    fixture.poll("t3", 1);
    fixture.poll("t4", 1);
    EXPECT_EQ(fixture.startAll().size(), 1U);
}

// Guards against starts beyond a cap that was lowered while they waited for the store.
TEST(WorkspaceCaps, holdForStartsThatWaitedForTheStore)
{
    CapFixture fixture(20000);
    fixture.submit(1, {makeStep(4, 3000)});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    fixture.setCap(4000);
    fixture.flush();
    EXPECT_EQ(fixture.startAll().size(), 1U);
    // Once the first one is known to run, one more may exceed the cap.
    EXPECT_EQ(fixture.startAll().size(), 1U);
    EXPECT_TRUE(fixture.startAll().empty());
}

// The same for a gang, of which all members are started or none.
TEST(WorkspaceCaps, holdForAGangThatWaitedForTheStore)
{
    CapFixture fixture(20000);
    fixture.submit(1, {makeGang(6, 3000)});
    EXPECT_TRUE(fixture.planned<StartOrder>().empty());
    fixture.setCap(4000);
    fixture.flush();
    EXPECT_TRUE(fixture.startAll().empty());
    fixture.setCap(20000);
    EXPECT_EQ(fixture.startAll().size(), 6U);
}

// A resource that the task does not use has to be within its cap all the same.
TEST(WorkspaceCaps, countResourcesThatTheTaskDoesNotUse)
{
    CapFixture fixture(0);
    auto rules = makeRulesWithCap(0);
    rules.workspaces[0].cap.memoryMib = 4000;
    fixture.core.setRules(rules, fixture.now);
    fixture.submit(1, {makeStep(6)});
    EXPECT_EQ(fixture.startAll().size(), 4U);
    auto withoutMemory = makeStep(1);
    withoutMemory.requiredResources.memoryMib = 0;
    fixture.submit(2, {withoutMemory});
    EXPECT_EQ(fixture.startAll().size(), 1U);
    rules.workspaces[0].cap.memoryMib = 3000;
    fixture.core.setRules(rules, fixture.now);
    fixture.submit(3, {withoutMemory});
    EXPECT_TRUE(fixture.startAll().empty());
}

namespace {

// Targets that run what they are told, and the owners that follow each other.
class CappedFleet
{
public:
    static constexpr double overage = 0.1;
    static constexpr std::size_t targetCount = 4;

    CappedFleet() { changeOwner(targetCount); }

    void setCap(std::int64_t cap)
    {
        m_cap = cap;
        m_highestCap = std::max(m_highestCap, cap);
        m_owner->core.setRules(makeRulesWithCap(cap), m_owner->now);
    }

    void submit(const StepSpec &step)
    {
        const JobNumber id = ++m_lastJob;
        m_steps[id] = step;
        m_owner->submit(id, {step});
    }

    void cancel(std::size_t choice)
    {
        if (!m_steps.empty()) {
            const auto place = static_cast<std::ptrdiff_t>(choice % m_steps.size());
            const auto id = std::next(m_steps.begin(), place)->first;
            m_cancelled.insert(id);
            m_owner->core.jobCancelled(id, m_owner->now);
        }
    }

    // The run ends, and its target tells so.
    void endRun(std::size_t choice)
    {
        for (auto &[id, target] : m_targets) {
            if (choice < target.runs.size()) {
                const auto run = target.runs.begin() + static_cast<std::ptrdiff_t>(choice);
                const auto outcome = m_steps.at(run->task.job).isLongRunning ? RunOutcome::Failed
                                                                             : RunOutcome::Done;
                target.ends.push_back({++target.lastEnd, run->task, run->attempt, outcome, {}});
                target.runs.erase(run);
                return;
            }
            choice -= target.runs.size();
        }
    }

    // The next owner does not reach this target at first.
    void changeOwner(std::size_t unreached)
    {
        m_owner = std::make_unique<OwnerFixture>(++m_term);
        m_owner->core.setRules(makeRulesWithCap(m_cap), m_owner->now);
        for (std::size_t number = 0; number < targetCount; ++number) {
            const auto id = "t" + std::to_string(number);
            m_targets[id].isReached = number != unreached;
            m_owner->list(id);
        }
        for (const auto &[id, step] : m_steps) {
            if (!m_cancelled.contains(id)) {
                m_owner->submit(id, {step}, "space", m_progress[id], false);
            }
        }
    }

    void reachAll()
    {
        for (auto &[id, target] : m_targets) {
            target.isReached = true;
        }
    }

    // While the store is down, runs on targets that are new to their job are not sent.
    void switchStore() { m_isStoreUp = !m_isStoreUp; }

    // Keep-alives, a plan and a flush, and what the targets do then.
    void go()
    {
        m_owner->advance(100ms);
        for (auto &[id, target] : m_targets) {
            if (target.isReached) {
                m_owner->report(id, target.runs, target.ends);
            }
        }
        for (int round = 0; round < 2; ++round) {
            auto orders = m_owner->plan();
            // Orders arrive in any order.
            std::shuffle(orders.begin(), orders.end(), m_random);
            for (const auto &order : orders) {
                carryOut(order);
            }
            if (!m_isStoreUp) {
                continue;
            }
            m_highestCap = m_cap;
            const auto flush = m_owner->flush();
            for (const auto &write : flush.writes) {
                m_progress[write.id] = write.progress;
            }
            for (const auto &[id, number] : flush.endsCovered) {
                std::erase_if(m_targets[id].ends,
                              [last = number](const auto &end) { return end.number <= last; });
            }
        }
    }

    std::size_t starts = 0;
    std::size_t startsBeyondTheCap = 0;

private:
    struct Target
    {
        std::vector<RunStatus> runs;
        std::vector<EndedRun> ends;
        std::uint64_t lastEnd = 0;
        bool isReached = true;
    };

    std::int64_t use() const
    {
        std::int64_t used = 0;
        for (const auto &[id, target] : m_targets) {
            for (const auto &run : target.runs) {
                used += m_steps.at(run.task.job).requiredResources.processors;
            }
        }
        return used;
    }

    void carryOut(const Order &order)
    {
        if (const auto *start = std::get_if<StartOrder>(&order)) {
            ++starts;
            m_targets[start->targetId].runs.push_back(OwnerFixture::running(*start));
            m_owner->core.startAnswered(*start, OrderResult::Accepted, m_owner->now);
            const auto &step = m_steps.at(start->task.job);
            // A gang that has begun goes on. No cap is certain to be in force while the store is
            // down.
            const auto cap = step.isGang ? m_highestCap : m_cap;
            startsBeyondTheCap += use() > cap ? 1 : 0;
            RC_ASSERT(static_cast<double>(use() - step.requiredResources.processors)
                      <= static_cast<double>(cap) * (1 + overage));
        } else if (const auto *stop = std::get_if<StopOrder>(&order)) {
            auto &target = m_targets[stop->targetId];
            const auto run = std::find_if(target.runs.begin(), target.runs.end(),
                                          [&](const auto &row) { return row.task == stop->task; });
            if (run != target.runs.end()) {
                target.ends.push_back(
                        {++target.lastEnd, run->task, run->attempt, RunOutcome::Stopped, {}});
                target.runs.erase(run);
            }
            m_owner->core.stopAnswered(*stop, OrderResult::Accepted, m_owner->now);
        }
    }

    std::mt19937 m_random{1};
    bool m_isStoreUp = true;
    std::int64_t m_cap = 6000;
    // Since the store was last up.
    std::int64_t m_highestCap = 6000;
    std::uint64_t m_term = 0;
    JobNumber m_lastJob = 0;
    std::map<JobNumber, StepSpec> m_steps;
    std::map<JobNumber, JobProgress> m_progress;
    std::set<JobNumber> m_cancelled;
    std::map<std::string, Target> m_targets;
    std::unique_ptr<OwnerFixture> m_owner;
};

} // namespace

// No start brings a workspace further above its cap than its overage and one task more, whatever
// changes between: the cap, the owner, and which targets it reaches.
RC_GTEST_PROP(WorkspaceCaps, areExceededByOneTaskAtMost, ())
{
    CappedFleet fleet;
    const auto steps = *rc::gen::inRange(20, 200);
    for (int number = 0; number < steps; ++number) {
        const auto choice = *rc::gen::inRange<std::size_t>(0, 12);
        const auto size = *rc::gen::inRange<std::int64_t>(1, 50) * 100;
        const auto count = *rc::gen::inRange<std::uint32_t>(1, 5);
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
            fleet.submit(makeStep(count, size));
            break;
        case 1:
            fleet.submit(makeLongRunning(count, size));
            break;
        case 2:
            fleet.submit(makeGang(count, size));
            break;
        case 3:
            fleet.setCap(size * 2);
            break;
        case 4:
        case 5:
            fleet.endRun(choice);
            break;
        case 6:
            fleet.changeOwner(choice);
            break;
        case 7:
            fleet.switchStore();
            break;
        default:
            *rc::gen::arbitrary<bool>() ? fleet.reachAll() : fleet.go();
        }
        fleet.go();
    }
    RC_CLASSIFY(fleet.starts > 0, "with starts");
    RC_CLASSIFY(fleet.startsBeyondTheCap > 0, "with starts beyond the cap");
}

} // namespace cyclamenlatch::scheduling::tests
