// What the owner does with the run times that it has learned.
#include "scheduling/targetspeed.h"
#include "scheduling/tests/ownerfixture.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::scheduling {
namespace {

using namespace std::chrono_literals;

class LearnedRunTimes : public tests::OwnerFixture, public testing::Test
{
protected:
    // Runs tasks of the image one after the other.
    void learn(const std::string &image, Duration time, int runs = 32)
    {
        for (int run = 0; run < runs; ++run) {
            auto step = tests::makeStep(1);
            step.image = image;
            submit(m_nextJob++, {step});
            const auto starts = startAll();
            ASSERT_EQ(starts.size(), 1U);
            advance(time);
            report(starts.front().targetId, {},
                   {end(++m_ends[starts.front().targetId], starts.front(), RunOutcome::Done)});
            flush();
        }
    }

    JobNumber m_nextJob = 10000;
    std::map<std::string, std::uint64_t> m_ends;
};

TEST_F(LearnedRunTimes, decideWhichOfTwoJobsHasToStartFirst)
{
    join("t-1");
    learn("long", 3s);
    learn("short", 500ms);
    // Of use for as long as the other, but with more work to do within its objective.
    auto longStep = tests::makeStep(16);
    longStep.image = "long";
    auto shortStep = longStep;
    shortStep.image = "short";
    submit(1, {tests::makeStep(16)});
    const auto blocking = startAll();
    ASSERT_EQ(blocking.size(), 16U);
    submit(2, {longStep});
    submit(3, {shortStep});
    std::vector<EndedRun> ends;
    ends.reserve(blocking.size());
    for (const auto &start : blocking) {
        ends.push_back(end(++m_ends["t-1"], start, RunOutcome::Done));
    }
    report("t-1", {}, ends);
    // Objectives: 2 x 0.5 + 0.6 s and 2 x 3 + 0.6 s, so the short one has to start sooner.
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 16U);
    EXPECT_EQ(starts.front().task.job, 3U);
}

TEST_F(LearnedRunTimes, areKeptForTheNextOwner)
{
    join("t-1");
    learn("long", 3s);
    tests::OwnerFixture next(2);
    next.core.restoreRunTimes(core.runTimes().records(100));
    EXPECT_GT(next.core.runTimes().estimate({"queue", 0, "long", 1000ms}).median, 2500ms);
}

// A task whose percents take long by nature does not hang.
TEST_F(LearnedRunTimes, extendTheTimeWithoutProgressAfterWhichATaskHangs)
{
    join("t-1");
    join("t-2");
    learn("hours", 600s);
    auto step = tests::makeStep(1);
    step.image = "hours";
    submit(1, {step});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    for (int second = 0; second < 5; ++second) {
        advance(1s);
        report(starts.front().targetId, {running(starts.front(), 3)}, {});
        EXPECT_TRUE(planned<StopOrder>().empty());
    }
    for (int second = 0; second < 30; ++second) {
        advance(1s);
        report(starts.front().targetId, {running(starts.front(), 3)}, {});
    }
    EXPECT_EQ(planned<StopOrder>().size(), 1U);
}

TEST_F(LearnedRunTimes, ofTenTimesTheRealOnesDoNotKeepWorkFromStarting)
{
    core.restoreRunTimes({{"queue queue", std::vector<std::int16_t>(32, 230),
                           std::vector<std::int16_t>(32, 230)},
                          {"step 0 of queue", std::vector<std::int16_t>(32, -230),
                           std::vector<std::int16_t>(32, -230)}});
    join("t-1");
    learn("image", 1s, 40);
    EXPECT_NEAR(toSeconds(core.runTimes().estimate({"queue", 0, "image", 1000ms}).median), 1, 0.2);
}

// Load pattern: one target runs everything several times as long as the others.
TEST_F(LearnedRunTimes, sendWorkAwayFromASlowTargetUntilItIsTriedAgain)
{
    join("t-1");
    join("t-2");
    for (int round = 0; round < 3; ++round) {
        submit(m_nextJob++, {tests::makeStep(32)});
        std::map<std::string, std::vector<EndedRun>> ends;
        for (const auto &start : startAll()) {
            ends[start.targetId].push_back(end(++m_ends[start.targetId], start, RunOutcome::Done));
        }
        ASSERT_EQ(ends["t-1"].size(), 16U);
        advance(1s);
        report("t-2", {}, ends["t-2"]);
        advance(5s);
        report("t-1", {}, ends["t-1"]);
        flush();
    }
    submit(1, {tests::makeStep(1)});
    const auto starts = startAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().targetId, "t-2");
    // The slow one is still used when there is no other room.
    submit(2, {tests::makeStep(20)});
    EXPECT_EQ(startAll().size(), 20U);
}

class TargetSpeeds : public testing::Test
{
protected:
    void add(TargetSpeed &speed, Duration ranFor, int runs = 1)
    {
        for (int run = 0; run < runs; ++run) {
            speed.addRun(ranFor, 1s, now);
            pool.addRun(ranFor, 1s, now);
        }
    }

    const TimePoint now{100s};
    TargetSpeed pool;
    TargetSpeed sound;
    TargetSpeed slow;
};

TEST_F(TargetSpeeds, takeASingleSlowRunForTheTasksOwnDoing)
{
    add(sound, 1s, 30);
    add(slow, 5s);
    EXPECT_LT(slow.slowdown(pool, now), 2);
    add(slow, 5s, 3);
    EXPECT_GT(slow.slowdown(pool, now), 2);
    EXPECT_DOUBLE_EQ(sound.slowdown(pool, now), 1);
    EXPECT_LT(slow.slowdown(pool, now + 20s), 1.2);
}

TEST_F(TargetSpeeds, blameNoTargetForExpectedTimesThatAreWrong)
{
    add(sound, 10s, 10);
    add(slow, 10s, 10);
    EXPECT_DOUBLE_EQ(sound.slowdown(pool, now), 1);
    EXPECT_DOUBLE_EQ(slow.slowdown(pool, now), 1);
}

} // namespace
} // namespace cyclamenlatch::scheduling
