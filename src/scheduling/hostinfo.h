// Hosts as the platform lists them, and the orders that move them to another pool or take them down
// for maintenance.
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
    // The service to whose pool the host belongs.
    std::string pool;
    HostState state = HostState::Down;
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    // Id of the target that runs on the host; empty while there is none.
    std::string target;
};

// The sender of an order. The platform compares fencing tokens for each host separately.
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
    // The order is carried out, now or by an earlier call: all runs on the host have ended.
    Accepted,
    // A holder with a higher fencing token has already sent an order for the host.
    Fenced,
    // The host is not up, or is already going down or moving.
    Busy,
    // The host is not part of the wave.
    NotInWave,
    // The host does not exist, or the pool does not accept hosts of its kind.
    Invalid,
    // Nothing was done: the rate limit was exceeded, or the platform failed or was unreachable.
    NotDone,
    // There was no answer: the order may be carried out now, later or never.
    OutcomeUnknown,
};

// A wave: hosts that are each to be taken down for maintenance once, within the duration.
struct WavePlan
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    std::chrono::milliseconds duration{};
    // Hosts of the wave that may be down at the same time.
    std::uint32_t maxConcurrent = 1;
};

} // namespace cyclamenlatch::scheduling
