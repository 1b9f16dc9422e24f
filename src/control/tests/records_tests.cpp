// Records in the store survive encoding and decoding, and corrupt ones are errors.
#include "control/metrics.h"
#include "control/records.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace cyclamenlatch::control {

TEST(Records, submissionSurvivesARoundTrip)
{
    scheduling::JobSubmission job;
    job.id = 0x5c0e7a21d94b36f8;
    job.queue = "q";
    job.workspace = "w";
    job.submitted = WallTime(std::chrono::milliseconds(5));
    job.spec.text = "text";
    job.spec.steps.resize(2);
    job.spec.steps[1].after = {0};
    job.spec.steps[1].tailLatencyBound = std::chrono::milliseconds(80);
    job.spec.steps[1].dataRack = "r1-3";
    const auto read = decodeSubmission(encodeSubmission(job));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().id, job.id);
    EXPECT_EQ(read.value().spec.steps[1].after, job.spec.steps[1].after);
    EXPECT_EQ(read.value().spec.steps[1].tailLatencyBound, job.spec.steps[1].tailLatencyBound);
    EXPECT_EQ(read.value().spec.steps[1].dataRack, "r1-3");
}

TEST(Records, runTimesSurviveARoundTripAndBrokenOnesAreErrors)
{
    const std::vector<scheduling::RunTimeHistory::Record> records{{"queue q", {-3, 7}, {120}},
                                                                  {"image i", {}, {5, 6}}};
    const auto text = encodeRunTimes(records);
    const auto read = decodeRunTimes(text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), records);
    EXPECT_FALSE(decodeRunTimes(text.substr(0, text.size() / 2)));
    EXPECT_FALSE(decodeRunTimes("not a record"));
}

TEST(Records, rangesOfDoneOccurrencesSurviveARoundTrip)
{
    scheduling::JobProgress progress;
    progress.targets = {"t-1"};
    progress.steps[{7, 0}].done = {1};
    const auto without = encodeProgress(progress);
    ASSERT_TRUE(decodeProgress(without));
    EXPECT_TRUE(decodeProgress(without).value().doneOccurrences.empty());
    progress.doneOccurrences = {{0, 5}, {8, 900}};
    const auto with = decodeProgress(encodeProgress(progress));
    ASSERT_TRUE(with);
    EXPECT_EQ(with.value().doneOccurrences, progress.doneOccurrences);
    EXPECT_EQ(with.value().steps.size(), 1U);
}

TEST(Records, limitsOfASubmissionSurviveARoundTrip)
{
    scheduling::JobSubmission job;
    job.limits.emplace();
    job.limits->version = 7;
    job.limits->queue.maxAttempts = 3;
    job.limits->queue.priority = 2;
    job.limits->queue.slackFactor = 1.6;
    job.limits->queue.targetLatency = std::chrono::milliseconds(600);
    job.limits->queue.advice =
            scheduling::AdviceRule{std::chrono::milliseconds(20), std::chrono::milliseconds(2),
                                   std::chrono::milliseconds(5000)};
    job.limits->workspace.weight = 12.5;
    job.limits->workspace.cap = scheduling::Resources{10000, 2000, 1};
    const auto read = decodeSubmission(encodeSubmission(job));
    ASSERT_TRUE(read);
    ASSERT_TRUE(read.value().limits.has_value());
    const auto &limits = *read.value().limits;
    EXPECT_EQ(limits.version, 7U);
    EXPECT_EQ(limits.queue.maxAttempts, 3U);
    EXPECT_EQ(limits.queue.priority, 2);
    EXPECT_EQ(limits.queue.slackFactor, 1.6);
    EXPECT_EQ(limits.queue.targetLatency.count(), 600);
    ASSERT_TRUE(limits.queue.advice.has_value());
    EXPECT_EQ(limits.queue.advice->perTarget.count(), 2);
    EXPECT_EQ(limits.queue.advice->validity.count(), 5000);
    EXPECT_EQ(limits.workspace.weight, 12.5);
    EXPECT_EQ(limits.workspace.cap.processors, 10000);
    EXPECT_EQ(limits.workspace.cap.accelerators, 1);
}

// A record of an entry that does not store limits ends where they would begin, and such an entry
// reads a record with limits: it ignores what follows the fields that it knows.
TEST(Records, submissionsWithAndWithoutLimitsShareAFormat)
{
    scheduling::JobSubmission job;
    job.id = 5;
    job.spec.text = "text";
    job.spec.steps.resize(1);
    const auto without = encodeSubmission(job);
    EXPECT_FALSE(decodeSubmission(without).value().limits.has_value());
    job.limits.emplace();
    const auto with = encodeSubmission(job);
    EXPECT_EQ(with.substr(0, without.size()), without);
    EXPECT_FALSE(decodeSubmission(with.substr(0, with.size() - 1)));
}

TEST(Records, progressSurvivesARoundTrip)
{
    rc::check([](const std::vector<std::uint32_t> &done, const std::string &checkpoint) {
        scheduling::JobProgress progress;
        progress.phase = scheduling::JobPhase::Running;
        progress.steps[{1, 2}].done = done;
        progress.steps[{1, 2}].failedAttempts[4] = {1, 4097};
        progress.steps[{1, 2}].checkpoints[3] = checkpoint;
        const auto read = decodeProgress(encodeProgress(progress));
        RC_ASSERT(static_cast<bool>(read));
        const auto &step = read.value().steps.at({1, 2});
        RC_ASSERT(step.done == done);
        RC_ASSERT(step.checkpoints.at(3) == checkpoint);
        RC_ASSERT(step.failedAttempts.at(4).size() == 2U);
    });
}

TEST(Records, corruptRecordsAreErrors)
{
    EXPECT_FALSE(decodeProgress(""));
    EXPECT_FALSE(decodeSubmission("x"));
    const auto complete = encodeIds({"a", "b"});
    EXPECT_FALSE(decodeIds(complete.substr(0, complete.size() - 1)));
    rc::check([](const std::string &bytes) { static_cast<void>(decodeSubmission(bytes)); });
}

TEST(Metrics, countADurationInEveryBucketAboveIt)
{
    Metrics metrics;
    metrics.observe("wait_seconds", std::chrono::milliseconds(30));
    metrics.count(R"(answers_total{status="200"})");
    const auto text = metrics.text();
    EXPECT_NE(text.find("wait_seconds_bucket{le=\"0.02\"} 0"), std::string::npos);
    EXPECT_NE(text.find("wait_seconds_bucket{le=\"0.05\"} 1"), std::string::npos);
    EXPECT_NE(text.find("answers_total{status=\"200\"} 1"), std::string::npos);
}

// Entries of earlier versions stored one number, term and fencing token at once, and read no more
// than the first one.
TEST(TermRecord, isReadWhicheverVersionHasWrittenIt)
{
    const auto read = decodeTerm(encodeTerm({129, 3}));
    EXPECT_EQ(read.lastToken, 129U);
    EXPECT_EQ(read.term, 3U);
    EXPECT_EQ(encodeTerm({129, 3}).substr(0, 4), "129 ");
    EXPECT_EQ(decodeTerm("17").lastToken, 17U);
    EXPECT_EQ(decodeTerm("17").term, 17U);
    EXPECT_EQ(decodeTerm("x").lastToken, 0U);
    EXPECT_EQ(decodeTerm("").term, 0U);
}

TEST(OrderedTargets, areReadWhicheverVersionHasWrittenThem)
{
    const OrderedTargets targets{{"i-1", "i-2"}, {{"i-2", 1785716157604}}};
    EXPECT_EQ(decodeOrderedTargets(encodeOrderedTargets(targets)).value(), targets);
    EXPECT_EQ(decodeIds(encodeOrderedTargets(targets)).value(), targets.ids);
    EXPECT_EQ(decodeOrderedTargets(encodeIds(targets.ids)).value(),
              (OrderedTargets{targets.ids, {}}));
    EXPECT_FALSE(decodeOrderedTargets("x"));
}

} // namespace cyclamenlatch::control
