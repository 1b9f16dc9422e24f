// The verdict of verdict.h.
#include "verdict.h"

#include <algorithm>

namespace soak {

namespace {

constexpr std::size_t mostReported = 12;

// The parts of a task's name, ID.K.STEP.INDEX.
struct TaskName
{
    explicit TaskName(const std::string &task)
    {
        const auto first = task.find('.');
        const auto second = task.find('.', first + 1);
        const auto third = task.find('.', second + 1);
        job = task.substr(0, first);
        step = std::stoul(task.substr(second + 1, third - second - 1));
    }
    std::string job;
    std::size_t step = 0;
};

} // namespace

void Verdict::attach()
{
    m_world.onStart = [this](const review::Start &start) { onStart(start); };
    m_world.onEnd = [this](const review::Minion &, const std::string &task,
                           const std::string &how) {
        ++m_ends[how];
        if (how == "done") {
            m_tasks[task].isDone = true;
        }
    };
    m_world.onDoneNoted = [this](const std::string &task, std::int64_t at) {
        onDoneNoted(task, at);
    };
}

void Verdict::expectSteps(const std::string &job, const std::vector<int> &counts)
{
    m_steps[job] = counts;
}

void Verdict::report(const std::string &rule, const std::string &text)
{
    ++m_violations;
    m_world.note(rule + " broken: " + text);
    if (m_first.size() < mostReported) {
        m_first.push_back(rule + " at " + std::to_string(m_world.now()) + " ms: " + text);
    }
}

void Verdict::onStart(const review::Start &start)
{
    m_starts.push_back(start);
    checkOtherRuns(start);
    checkSteps(start);
    auto &record = m_tasks[start.task];
    record.starts.push_back(start.at);
    if (record.lastNoted >= 0) {
        report("TWICE", start.task + "/" + std::to_string(start.attempt) + " starts on "
                                + start.minion->spec().id + " after its end at "
                                + std::to_string(record.lastNoted) + " ms was taken note of");
    }
}

void Verdict::onDoneNoted(const std::string &task, std::int64_t at)
{
    auto &record = m_tasks[task];
    record.lastNoted = std::max(record.lastNoted, at);
    const auto later = std::find_if(record.starts.begin(), record.starts.end(),
                                    [&](std::int64_t begin) { return begin > at; });
    if (later != record.starts.end()) {
        report("TWICE", task + " started at " + std::to_string(*later) + " ms after its end at "
                                + std::to_string(at) + " ms, which is taken note of now");
    }
}

void Verdict::checkOtherRuns(const review::Start &start)
{
    for (const auto &minion : m_world.minions) {
        if (minion.get() == start.minion || !minion->isUp() || !minion->hasRun(start.task)) {
            continue;
        }
        minion->expire();
        if (minion->hasRun(start.task)) {
            report("TWICE", start.task + "/" + std::to_string(start.attempt) + " starts on "
                                    + start.minion->spec().id + " while it runs on "
                                    + minion->spec().id);
        }
    }
}

void Verdict::checkSteps(const review::Start &start)
{
    const TaskName name(start.task);
    const auto steps = m_steps.find(name.job);
    if (steps == m_steps.end()) {
        return report("UNASKED", start.task + " was never submitted");
    }
    for (std::size_t step = 0; step < name.step; ++step) {
        for (int index = 0; index < steps->second.at(step); ++index) {
            const auto task = name.job + ".0." + std::to_string(step) + "." + std::to_string(index);
            const auto record = m_tasks.find(task);
            if (record == m_tasks.end() || !record->second.isDone) {
                return report("ORDER", start.task + " starts before " + task + " is done");
            }
        }
    }
}

} // namespace soak
