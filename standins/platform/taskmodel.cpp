// The stand-in platform's tasks.
#include "standins/platform/taskmodel.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::standins {

using store::TaskCommand;
using store::TaskState;

std::string jobOfTask(const std::string &task)
{
    return task.substr(0, task.rfind('.'));
}

void TaskModel::start(const store::TaskStart &start, TimePoint now)
{
    if (m_tasks.contains(start.id) || m_forgotten.contains(start.id)) {
        return;
    }
    auto &task = m_tasks[start.id];
    task.status.id = start.id;
    task.status.worker = start.worker;
    if (m_faults.draining.contains(start.worker)) {
        task.status.failure = "the worker is draining";
        return end(task, TaskState::Refused);
    }
    // The body tells the stand-in what to do: {"runMs": 500, "fail": true,
    // "failOn": ["w-1"], "usedProcessors": 2, "usedMemoryMib": 512}.
    const auto body = nlohmann::json::parse(start.body, nullptr, false);
    if (body.is_object()) {
        task.work = std::chrono::milliseconds(body.value("runMs", 0));
        task.fails = body.value("fail", false);
        const auto failOn = body.value("failOn", std::vector<std::string>());
        task.fails =
                task.fails
                || std::find(failOn.begin(), failOn.end(), start.worker.value()) != failOn.end();
        task.usedProcessors = body.value("usedProcessors", start.processors);
        task.usedMemoryMib = body.value("usedMemoryMib", start.memoryMib);
    }
    task.fails = task.fails || m_faults.failing.contains(start.worker);
    if (!start.checkpoint.empty()) {
        task.progress = std::chrono::milliseconds(std::stoll(start.checkpoint));
    }
    task.lease = start.lease;
    task.leaseEnd = now + start.lease;
    task.started = now;
    task.progressAt = now;
    task.runs = true;
    countStart(start.id);
    change(task);
}

void TaskModel::countStart(const std::string &id)
{
    auto &ledger = m_ledger[jobOfTask(id)];
    ++ledger.starts;
    ++ledger.runningNow;
    ledger.mostAtOnce = std::max(ledger.mostAtOnce, ledger.runningNow);
}

void TaskModel::change(Task &task)
{
    task.status.revision = ++m_revision;
}

void TaskModel::end(Task &task, TaskState state)
{
    task.status.state = state;
    task.status.ended = true;
    if (std::exchange(task.runs, false)) {
        --m_ledger[jobOfTask(task.status.id)].runningNow;
    }
    if (state == TaskState::Completed) {
        ++m_ledger[jobOfTask(task.status.id)].completions;
    }
    change(task);
}

void TaskModel::command(TaskCommand command, const std::vector<std::string> &tasks, TimePoint now)
{
    for (const auto &id : tasks) {
        if (command == TaskCommand::Stop && !m_tasks.contains(id) && !m_forgotten.contains(id)) {
            auto &tombstone = m_tasks[id];
            tombstone.status.id = id;
            end(tombstone, TaskState::Stopped);
            continue;
        }
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end()) {
            continue;
        }
        auto &task = found->second;
        advanceTask(task, now);
        if (command == TaskCommand::Forget) {
            if (task.status.ended) {
                m_tasks.erase(found);
                m_forgotten.insert(id);
            }
            continue;
        }
        if (task.status.state != TaskState::Running || m_faults.cut.contains(task.status.worker)) {
            continue;
        }
        switch (command) {
        case TaskCommand::Renew:
            task.leaseEnd = now + task.lease;
            break;
        case TaskCommand::Checkpoint:
            task.status.checkpoint = std::to_string(toMilliseconds(task.progress).count());
            end(task, TaskState::Checkpointed);
            break;
        case TaskCommand::Throttle:
        case TaskCommand::Resume:
            task.status.throttled = command == TaskCommand::Throttle;
            change(task);
            break;
        case TaskCommand::Stop:
            end(task, TaskState::Stopped);
            break;
        case TaskCommand::Forget:
            break;
        }
    }
}

void TaskModel::makeProgress(Task &task, TimePoint now)
{
    const auto passed = now - std::exchange(task.progressAt, now);
    task.progress += task.status.throttled ? passed / 10 : passed;
}

void TaskModel::advanceTask(Task &task, TimePoint now)
{
    if (!task.runs) {
        return;
    }
    makeProgress(task, now);
    if (task.status.state == TaskState::Lapsed) {
        if (now >= task.lapsed + stopBound) {
            end(task, TaskState::Lapsed);
        }
        return;
    }
    if (now >= task.leaseEnd) {
        task.lapsed = now;
        task.status.state = TaskState::Lapsed;
        return change(task);
    }
    if (task.fails) {
        task.status.failure = "the work failed";
        return end(task, TaskState::Failed);
    }
    if (task.progress >= task.work) {
        return end(task, TaskState::Completed);
    }
    if (!task.reported && now >= task.started + usageLag) {
        task.reported = true;
        task.status.usedProcessors = task.usedProcessors;
        task.status.usedMemoryMib = task.usedMemoryMib;
        change(task);
    }
}

void TaskModel::advance(TimePoint now)
{
    for (auto &[id, task] : m_tasks) {
        advanceTask(task, now);
    }
}

store::TaskListing TaskModel::changes(store::TaskRevision after) const
{
    store::TaskListing listing;
    listing.revision = m_revision;
    for (const auto &[id, task] : m_tasks) {
        if (task.status.revision > after) {
            listing.tasks.push_back(task.status);
        }
    }
    listing.draining.assign(m_faults.draining.begin(), m_faults.draining.end());
    return listing;
}

void TaskModel::setFaults(TaskFaults faults)
{
    m_faults = std::move(faults);
    // A waiting caller learns of drains as of any other change.
    ++m_revision;
}

} // namespace cyclamenlatch::standins
