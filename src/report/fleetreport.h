// The burn report's content, ready to be rendered.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/time.h"
#include "report/burntable.h"

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::report {

struct BurnRow
{
    ServiceId service;
    // Empty: all workspaces of the service together.
    WorkspaceId workspace;
    double objective = 0;
    std::array<OutcomeCounts, burnWindows.size()> counts;
    std::array<double, burnWindows.size()> burn{};
    // Share of the error budget of the longest window.
    double budgetLeft = 1;
    // Nothing: at the rate of the last hour it is never used up.
    std::optional<std::chrono::seconds> timeToExhaustion;
};

struct ShareRow
{
    WorkspaceId workspace;
    // Of the sum of all weights, and of what was completed within the last hour.
    double deservedShare = 0;
    double usedShare = 0;
    unsigned limit = 0;
    // Starts that this entry held back because the limit's units were in use.
    unsigned heldBack = 0;
};

struct LatencyRow
{
    ServiceId service;
    // Seconds, at this entry since its start.
    double median = 0;
    double p99 = 0;
};

struct OperationsFigures
{
    // Workers that changed their pool since this entry started.
    unsigned moves = 0;
    // Workers of spare pools now, and worker-hours kept spare since this entry started.
    unsigned spareWorkers = 0;
    double spareWorkerHours = 0;
    // Time within maintenance waves since this entry started.
    std::chrono::seconds waveTime{0};
};

struct FleetReport
{
    std::string entry;
    WallTime at;
    // By service: the row of all workspaces, then those of each.
    std::vector<BurnRow> burn;
    std::vector<ShareRow> shares;
    std::vector<LatencyRow> latencies;
    OperationsFigures operations;
    std::vector<SourceAge> sources;
};

// heldBack tells how often a workspace was held back at its limit.
FleetReport makeReport(const fleet::FleetDocument &fleet, const BurnTable &table,
                       const std::function<unsigned(const WorkspaceId &)> &heldBack, WallTime now);

// The last entry of a report for people: which entries' last outcomes may be missing.
std::vector<std::string> completenessNotes(const FleetReport &report);

} // namespace cyclamenlatch::report
