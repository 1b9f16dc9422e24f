// Run times: what is learned from ended runs, and what is expected of the next ones.
#include "scheduling/ownercore.h"

#include "scheduling/internal/criticalpath.h"
#include "scheduling/internal/ownerstate.h"

#include <algorithm>

namespace cyclamenlatch::scheduling {

namespace {

// How long expected run times and slowdowns are used before they are looked up again: there are
// thousands of tasks and hundreds of targets, and plans follow each other within milliseconds.
constexpr std::chrono::milliseconds expectationValidity{500};
constexpr std::chrono::milliseconds slowdownValidity{200};
// Least time between two runs of a queue that are remembered. A queue may end thousands in a
// second, of which the latest tens would tell of a moment only.
constexpr std::chrono::milliseconds learningInterval{20};
// Makes the mean of what targets and ways to data add cover about a hundred runs.
constexpr double overheadDecay = 0.99;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

RunKind OwnerCore::runKind(const JobState &job, std::uint32_t step)
{
    const auto &spec = job.submission.spec.steps[step];
    return RunKind{job.submission.queue, step, spec.image, spec.estimate};
}

void OwnerCore::updateExpectations(JobState &job, TimePoint now) const
{
    if (!job.runTimes.empty() && now - job.expectedAt < expectationValidity) {
        return;
    }
    static const RunTimeHistory unlearned(1);
    const auto &history = isEnabled(SchedulingFeature::RunTimes) ? m_runTimes : unlearned;
    const double overhead = runTimeOverhead(job.submission.queue);
    job.expectedAt = now;
    job.runTimes.clear();
    for (std::uint32_t step = 0; step < job.submission.spec.steps.size(); ++step) {
        auto expected = history.estimate(runKind(job, step));
        for (auto *time : {&expected.median, &expected.mean, &expected.high}) {
            *time = fromSeconds(overhead * toSeconds(*time));
        }
        job.runTimes.push_back(expected);
    }
    job.criticalPaths = detail::criticalPathsFromSteps(job.submission.spec, [&](std::size_t step) {
        constexpr double milli = 0.001;
        return toSeconds(job.runTimes[step].median) / milli;
    });
}

const RunTimeEstimate &OwnerCore::expectedRunTime(JobState &job, std::uint32_t step,
                                                  TimePoint now) const
{
    updateExpectations(job, now);
    return job.runTimes[step];
}

const std::vector<double> &OwnerCore::criticalPaths(JobState &job, TimePoint now) const
{
    updateExpectations(job, now);
    return job.criticalPaths;
}

// What the target adds and the way to the data is not the task's own time.
void OwnerCore::learnRunTime(TargetState &target, const RunState &run, JobState &job,
                             const EndedRun &end, TimePoint now)
{
    const auto &spec = job.submission.spec.steps[end.task.step];
    if (spec.isLongRunning || end.outcome == RunOutcome::Failed) {
        return;
    }
    const bool isRemote = !spec.dataRack.empty() && !target.info.hasLabel(spec.dataRack);
    const double besideData =
            toSeconds(now - run.orderedAt) / (isRemote ? m_settings.remoteSlowdownFactor : 1);
    if (const auto &usual = expectedRunTime(job, end.task.step, now);
        usual.runs > 0 && end.outcome == RunOutcome::Done) {
        target.speed.addRun(fromSeconds(besideData), usual.median, now);
        m_poolSpeeds[target.info.service].addRun(fromSeconds(besideData), usual.median, now);
    }
    auto &learnedAt = m_learnedAt[job.submission.queue];
    if (now - learnedAt < learningInterval) {
        return;
    }
    learnedAt = now;
    const auto ownTime = fromSeconds(besideData / slowdown(target, now));
    if (end.outcome == RunOutcome::Done) {
        auto &overhead = m_runTimeOverheads[job.submission.queue];
        overhead.whole = overheadDecay * overhead.whole + toSeconds(now - run.orderedAt);
        overhead.own = overheadDecay * overhead.own + toSeconds(ownTime);
    }
    const auto kind = runKind(job, end.task.step);
    if (end.outcome == RunOutcome::Done) {
        m_runTimes.addEnd(kind, ownTime);
    } else {
        m_runTimes.addCut(kind, ownTime);
    }
}

double OwnerCore::runTimeOverhead(const std::string &queue) const
{
    const auto found = m_runTimeOverheads.find(queue);
    return found == m_runTimeOverheads.end() || found->second.own <= 0
                           || !isEnabled(SchedulingFeature::RunTimes)
                   ? 1
                   : std::max(1.0, found->second.whole / found->second.own);
}

double OwnerCore::slowdown(TargetState &target, TimePoint now) const
{
    if (now - target.slowdownAt >= slowdownValidity) {
        const auto pool = m_poolSpeeds.find(target.info.service);
        target.slowdownAt = now;
        target.slowdown = pool == m_poolSpeeds.end() || !isEnabled(SchedulingFeature::TargetSpeeds)
                                  ? 1
                                  : target.speed.slowdown(pool->second, now);
    }
    return target.slowdown;
}

} // namespace cyclamenlatch::scheduling
