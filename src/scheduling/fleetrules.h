// The operators' configuration, as the rest of the code uses it.
#pragma once

#include "scheduling/resources.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

// Some queues have a policy that only a service outside knows.
struct AdviceRule
{
    std::chrono::milliseconds decision{};
    std::chrono::milliseconds perTarget{};
    std::chrono::milliseconds validity{};
};

struct QueueRule
{
    std::string name;
    // A request belongs to the queue with this host and the longest matching prefix.
    std::string host;
    std::string prefix;
    std::string service;
    // 0 comes first.
    int priority = 0;
    std::uint32_t maxAttempts = 1;
    // The objective is this many times the job's longest chain, and targetLatency more.
    double slackFactor = 1;
    std::chrono::milliseconds targetLatency{};
    // Needs no key.
    bool isPublic = false;
    std::optional<AdviceRule> advice;
};

struct ServiceRule
{
    std::string name;
    // Its targets refuse what does not fit.
    bool enforcesCapacity = false;
    // Its machines are off and not paid for.
    bool isStandby = false;
};

struct WorkspaceRule
{
    std::string name;
    std::vector<std::string> keys;
    // Part of the whole when all is full, and jobs a second that are owed.
    double weight = 1;
    // Of what runs on all targets; 0 stands for no bound.
    Resources cap;
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
};

} // namespace cyclamenlatch::scheduling
