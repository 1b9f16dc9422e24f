// Hosts as the platform lists them, and orders that move them or take them down.
#pragma once

#include "scheduling/resources.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::scheduling {

enum class HostState { Up, Moving, Maintenance, Down };

struct HostInfo
{
    std::string name;
    // The service whose targets' pool it is in.
    std::string pool;
    HostState state = HostState::Down;
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    // Id of its target; empty while it has none.
    std::string target;
};

// Who orders; the platform compares tokens for each host by itself.
struct HostHolder
{
    std::string name;
    std::uint64_t token = 0;
};

struct MaintenanceOrder
{
    std::string host;
    std::uint64_t wave = 0;
};

struct MoveOrder
{
    std::string host;
    std::string pool;
};

using HostOrder = std::variant<MaintenanceOrder, MoveOrder>;

enum class HostOrderResult {
    // Done now or before: all that ran there has ended.
    Accepted,
    // A holder with a higher token has ordered.
    Fenced,
    // It is not up, or leaving.
    Busy,
    // The wave has no such host.
    NotInWave,
    // There is no such host, or the pool takes no such hosts.
    Invalid,
    // Nothing was done: too many calls, or the platform is unwell or was not reached.
    NotDone,
    // No answer: it may be done now, later or never.
    OutcomeUnknown,
};

// Hosts that are each to be taken down for upkeep once, in time.
struct WavePlan
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    std::chrono::milliseconds duration{};
    // Hosts that may be down for it at once.
    std::uint32_t maxConcurrent = 1;
};

} // namespace cyclamenlatch::scheduling
