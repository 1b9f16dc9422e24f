// Run times: what is learned from ended runs, and what is expected of the next ones.
#include "scheduling/ownercore.h"

#include "scheduling/internal/criticalpath.h"
#include "scheduling/internal/ownerstate.h"

namespace cyclamenlatch::scheduling {

namespace {

// How long the expected run times of a job's steps are used before they are looked up again.
constexpr std::chrono::milliseconds pathsValidity{500};

} // namespace

RunKind OwnerCore::runKind(const JobState &job, std::uint32_t step)
{
    const auto &spec = job.submission.spec.steps[step];
    return RunKind{job.submission.queue, step, spec.image, spec.estimate};
}

RunTimeEstimate OwnerCore::runTime(const JobState &job, std::uint32_t step) const
{
    static const RunTimeHistory unlearned(1);
    const auto &history = isEnabled(SchedulingFeature::RunTimes) ? m_runTimes : unlearned;
    return history.estimate(runKind(job, step));
}

const std::vector<double> &OwnerCore::criticalPaths(JobState &job, TimePoint now) const
{
    if (job.criticalPaths.empty() || now - job.pathsAt >= pathsValidity) {
        job.pathsAt = now;
        job.criticalPaths =
                detail::criticalPathsFromSteps(job.submission.spec, [&](std::size_t step) {
                    constexpr double milli = 0.001;
                    return toSeconds(runTime(job, static_cast<std::uint32_t>(step)).median) / milli;
                });
    }
    return job.criticalPaths;
}

// What the target adds and the way to the data is not the task's own time.
void OwnerCore::learnRunTime(TargetState &target, const RunState &run, const JobState &job,
                             const EndedRun &end, TimePoint now)
{
    const auto &spec = job.submission.spec.steps[end.task.step];
    if (spec.isLongRunning || end.outcome == RunOutcome::Failed) {
        return;
    }
    const bool isRemote = !spec.dataRack.empty() && !target.info.hasLabel(spec.dataRack);
    const double besideData =
            toSeconds(now - run.orderedAt) / (isRemote ? m_settings.remoteSlowdownFactor : 1);
    const auto ownTime = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(besideData / slowdown(target, now)));
    const auto kind = runKind(job, end.task.step);
    if (end.outcome != RunOutcome::Done) {
        m_runTimes.addCut(kind, ownTime);
        return;
    }
    if (const auto usual = m_runTimes.estimate(kind); usual.runs > 0) {
        const auto ranFor =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(besideData));
        target.speed.addRun(ranFor, usual.median, now);
        m_poolSpeeds[target.info.service].addRun(ranFor, usual.median, now);
    }
    m_runTimes.addEnd(kind, ownTime);
}

double OwnerCore::slowdown(const TargetState &target, TimePoint now) const
{
    const auto pool = m_poolSpeeds.find(target.info.service);
    return pool == m_poolSpeeds.end() || !isEnabled(SchedulingFeature::TargetSpeeds)
                   ? 1
                   : target.speed.slowdown(pool->second, now);
}

} // namespace cyclamenlatch::scheduling
