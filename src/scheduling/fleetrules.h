// The operators' configuration as parsed values.
#pragma once

#include "scheduling/resources.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

// Queues whose placement policy only an external service knows need its advice before a start.
struct AdviceRule
{
    // Upper bound of the answer time: decision, and perTarget for each target asked about.
    std::chrono::milliseconds decision{};
    std::chrono::milliseconds perTarget{};
    // How long a ticket is valid.
    std::chrono::milliseconds validity{};
};

// What a queue's rule says about its jobs.
struct QueueLimits
{
    // 0 is the highest.
    int priority = 0;
    std::uint32_t maxAttempts = 1;
    // A job's objective is slackFactor times its critical path, plus targetLatency.
    double slackFactor = 1;
    std::chrono::milliseconds targetLatency{};
    std::optional<AdviceRule> advice;
};

struct QueueRule : QueueLimits
{
    std::string name;
    // A request goes to the queue with its host and the longest matching path prefix.
    std::string host;
    std::string prefix;
    std::string service;
    // Requests need no key.
    bool isPublic = false;
};

struct ServiceRule
{
    std::string name;
    // Its targets refuse starts that exceed their resources.
    bool enforcesCapacity = false;
    // Its hosts are switched off and cost nothing.
    bool isStandby = false;
};

// What a workspace's rule says about its jobs.
struct WorkspaceLimits
{
    // Relative share when the fleet is full, and the jobs per second that are within its share.
    double weight = 1;
    // Cap on the resources of its runs over all targets; 0: unlimited.
    Resources cap;
};

struct WorkspaceRule : WorkspaceLimits
{
    std::string name;
    std::vector<std::string> keys;
};

// The limits of a job in the configuration under which it was accepted.
struct JobLimits
{
    // Version of that configuration.
    std::uint64_t version = 0;
    QueueLimits queue;
    WorkspaceLimits workspace;
};

struct RequestLimits
{
    std::size_t maxBodyBytes = std::size_t{256} * 1024;
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
};

struct FleetRules
{
    std::uint64_t version = 0;
    std::vector<QueueRule> queues;
    std::vector<ServiceRule> services;
    std::vector<WorkspaceRule> workspaces;
    RequestLimits limits;

    // Limits of a job that is accepted now. workspace: empty for a public queue.
    JobLimits limitsOf(const QueueRule &queue, const std::string &workspace) const
    {
        JobLimits accepted{version, queue, {}};
        for (const auto &rule : workspaces) {
            if (rule.name == workspace) {
                accepted.workspace = rule;
            }
        }
        return accepted;
    }
};

} // namespace cyclamenlatch::scheduling
