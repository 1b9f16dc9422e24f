// What is expected of the next run after what was seen of earlier ones.
#include "scheduling/runtimehistory.h"

#include <gtest/gtest.h>
#include <pcg_random.hpp>

#include <cmath>
#include <random>
#include <string>

namespace cyclamenlatch::scheduling {
namespace {

using namespace std::chrono_literals;

RunKind kind(std::string_view queue, std::chrono::milliseconds declared = 1000ms,
             std::uint32_t step = 0, std::string_view image = {})
{
    return RunKind{queue, step, image, declared};
}

void addRuns(RunTimeHistory &history, const RunKind &kind, int count, Duration time)
{
    for (int run = 0; run < count; ++run) {
        history.addEnd(kind, time);
    }
}

TEST(RunTimeHistory, givesTheDeclaredTimeWhileNothingIsKnown)
{
    const RunTimeHistory history(10);
    const auto estimate = history.estimate(kind("q", 700ms));
    EXPECT_EQ(estimate.median, 700ms);
    EXPECT_EQ(estimate.mean, 700ms);
    EXPECT_EQ(estimate.runs, 0U);
    EXPECT_GT(estimate.high, estimate.median);
}

TEST(RunTimeHistory, trustsFewRunsLittleAndManyRunsMuch)
{
    RunTimeHistory history(10);
    history.addEnd(kind("q"), 3s);
    const auto afterOne = history.estimate(kind("q")).median;
    EXPECT_GT(afterOne, 1s);
    EXPECT_LT(afterOne, 1800ms);
    addRuns(history, kind("q"), 30, 3s);
    EXPECT_GT(history.estimate(kind("q")).median, 2800ms);
    EXPECT_LT(history.estimate(kind("q")).median, 3200ms);
}

TEST(RunTimeHistory, scalesWithDeclaredTimesThatTellSomething)
{
    RunTimeHistory history(10);
    for (int run = 0; run < 32; ++run) {
        const auto declared = std::chrono::milliseconds(200 + 100 * (run % 8));
        history.addEnd(kind("q", declared), 2 * Duration{declared});
    }
    EXPECT_NEAR(toSeconds(history.estimate(kind("q", 300ms)).median), 0.6, 0.1);
    EXPECT_NEAR(toSeconds(history.estimate(kind("q", 900ms)).median), 1.8, 0.3);
}

TEST(RunTimeHistory, setsAsideDeclaredTimesThatTellNothing)
{
    RunTimeHistory history(10);
    for (int run = 0; run < 32; ++run) {
        history.addEnd(kind("q", std::chrono::milliseconds(run % 2 == 0 ? 50 : 5000)), 1s);
    }
    EXPECT_NEAR(toSeconds(history.estimate(kind("q", 5000ms)).median), 1, 0.4);
    EXPECT_NEAR(toSeconds(history.estimate(kind("q", 50ms)).median), 1, 0.4);
}

TEST(RunTimeHistory, tellsImagesOfOneQueueApart)
{
    RunTimeHistory history(10);
    for (int run = 0; run < 32; ++run) {
        history.addEnd(kind("q", 1s, 0, "slow"), 5s);
        history.addEnd(kind("q", 1s, 0, "fast"), 200ms);
    }
    EXPECT_GT(history.estimate(kind("q", 1s, 0, "slow")).median, 3s);
    EXPECT_LT(history.estimate(kind("q", 1s, 0, "fast")).median, 400ms);
    // An image is the same in every queue.
    EXPECT_GT(history.estimate(kind("other", 1s, 0, "slow")).median, 3s);
}

TEST(RunTimeHistory, learnsAChangedImageWithinTensOfRuns)
{
    RunTimeHistory history(10);
    addRuns(history, kind("q", 1s, 0, "image"), 500, 1s);
    addRuns(history, kind("q", 1s, 0, "image"), 32, 4s);
    EXPECT_GT(history.estimate(kind("q", 1s, 0, "image")).median, 3500ms);
}

TEST(RunTimeHistory, seesLongRunsInMeanAndHighOnly)
{
    RunTimeHistory history(10);
    for (int run = 0; run < 32; ++run) {
        history.addEnd(kind("q"), run % 8 == 0 ? 7s : 1s);
    }
    const auto estimate = history.estimate(kind("q"));
    EXPECT_LT(estimate.median, 1200ms);
    EXPECT_GT(estimate.mean, 1400ms);
    EXPECT_GT(estimate.high, 4s);
}

TEST(RunTimeHistory, doesNotTakeACutRunForAnEnd)
{
    RunTimeHistory history(10);
    addRuns(history, kind("q"), 32, 1s);
    for (int run = 0; run < 32; ++run) {
        history.addCut(kind("q"), 100ms);
    }
    EXPECT_NEAR(toSeconds(history.estimate(kind("q")).median), 1, 0.1);
    // A run that was cut after three times the usual time was a long one.
    history.addCut(kind("q"), 3s);
    history.addCut(kind("q"), 3s);
    history.addCut(kind("q"), 3s);
    EXPECT_GT(history.estimate(kind("q")).high, 2s);
}

TEST(RunTimeHistory, forgetsTheKindsThatWereRunLongestAgo)
{
    RunTimeHistory history(4);
    addRuns(history, kind("first"), 32, 5s);
    for (int queue = 0; queue < 100; ++queue) {
        addRuns(history, kind("queue-" + std::to_string(queue)), 1, 1s);
    }
    EXPECT_EQ(history.records(1000).size(), 4U);
    EXPECT_EQ(history.estimate(kind("first")).runs, 0U);
}

TEST(RunTimeHistory, goesOnWithStoredRecords)
{
    RunTimeHistory history(10);
    addRuns(history, kind("q", 1s, 1, "image"), 40, 3s);
    RunTimeHistory next(10);
    next.restore(history.records(10));
    EXPECT_EQ(next.records(10), history.records(10));
    EXPECT_NEAR(toSeconds(next.estimate(kind("q", 1s, 1, "image")).median),
                toSeconds(history.estimate(kind("q", 1s, 1, "image")).median), 0.05);
}

TEST(RunTimeHistory, leavesOutRecordsThatCannotBe)
{
    RunTimeHistory history(2);
    using Record = RunTimeHistory::Record;
    history.restore({Record{"", {}, {0}}, Record{"queue q", {}, {}},
                     Record{"queue q", {}, std::vector<std::int16_t>(1000)},
                     Record{"queue a", {}, {10}}, Record{"queue b", {}, {10}},
                     Record{"queue c", {}, {10}}});
    EXPECT_EQ(history.records(10).size(), 2U);
}

// The declared times are off by half and a few runs take seven times as long. The bound is what
// perfect knowledge of the distribution gives: the median of the real times for each declared one.
TEST(RunTimeHistory, comesCloseToPerfectKnowledgeOfTheDistribution)
{
    RunTimeHistory history(100);
    pcg32 random(1);
    std::lognormal_distribution<double> size(0, 0.5);
    std::lognormal_distribution<double> off(0, 0.2);
    std::bernoulli_distribution isLong(0.03);
    constexpr double stretch = 1.6;
    double learned = 0;
    double declaredOnly = 0;
    double perfect = 0;
    for (int run = 0; run < 2000; ++run) {
        const double work = size(random);
        const double real = stretch * work * (isLong(random) ? 7 : 1);
        const double declared = work * off(random);
        const auto runKind = kind("q", std::chrono::milliseconds(std::lround(1000 * declared)));
        if (run >= 100) {
            learned += std::abs(std::log(toSeconds(history.estimate(runKind).median) / real));
            declaredOnly += std::abs(std::log(declared / real));
            perfect += std::abs(std::log(stretch * declared / real));
        }
        history.addEnd(runKind,
                       std::chrono::duration_cast<Duration>(std::chrono::duration<double>(real)));
    }
    EXPECT_LT(learned, 1.15 * perfect);
    EXPECT_LT(learned, 0.6 * declaredOnly);
    const auto &accuracy = history.accuracy().at("q");
    EXPECT_LT(accuracy.learnedError, accuracy.declaredError);
    EXPECT_EQ(accuracy.runs, 2000U);
}

} // namespace
} // namespace cyclamenlatch::scheduling
