// Works the report out from the windows.
#include "report/fleetreport.h"

#include <fmt/format.h>

#include <map>

namespace cyclamenlatch::report {

namespace {

constexpr std::size_t hourWindow = 1;
// An entry that has told nothing for this long may have seen more than is counted.
constexpr std::chrono::seconds staleAfter{30};

BurnRow makeRow(const fleet::Service &service, const WorkspaceId &workspace,
                const BurnWindows &windows)
{
    BurnRow row;
    row.service = service.id;
    row.workspace = workspace;
    row.objective = service.objective;
    row.counts = windows.counts;
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        row.burn[window] = burnRate(windows.counts[window].badRatio(), service.objective);
    }
    row.budgetLeft = budgetLeft(row.burn.back());
    row.timeToExhaustion = timeToExhaustion(row.budgetLeft, row.burn[trendWindow]);
    return row;
}

std::vector<BurnRow> makeRows(const fleet::FleetDocument &fleet,
                              const std::map<BurnKey, BurnWindows> &windows)
{
    std::vector<BurnRow> rows;
    for (const auto &service : fleet.services) {
        BurnWindows all;
        std::vector<BurnRow> parts;
        for (auto item = windows.lower_bound({service.id, WorkspaceId()});
             item != windows.end() && item->first.service == service.id; ++item) {
            for (std::size_t window = 0; window < burnWindows.size(); ++window) {
                all.counts[window] += item->second.counts[window];
            }
            if (!item->first.workspace.empty()) {
                parts.push_back(makeRow(service, item->first.workspace, item->second));
            }
        }
        rows.push_back(makeRow(service, WorkspaceId(), all));
        rows.insert(rows.end(), parts.begin(), parts.end());
    }
    return rows;
}

std::vector<ShareRow> makeShares(const fleet::FleetDocument &fleet,
                                 const std::map<BurnKey, BurnWindows> &windows,
                                 const std::function<unsigned(const WorkspaceId &)> &heldBack)
{
    double weights = 0;
    for (const auto &workspace : fleet.workspaces) {
        weights += workspace.weight;
    }
    std::map<WorkspaceId, std::uint64_t> completed;
    std::uint64_t allCompleted = 0;
    for (const auto &[key, counts] : windows) {
        completed[key.workspace] += counts.counts[hourWindow].good;
        allCompleted += key.workspace.empty() ? 0 : counts.counts[hourWindow].good;
    }
    std::vector<ShareRow> rows;
    for (const auto &workspace : fleet.workspaces) {
        ShareRow row;
        row.workspace = workspace.id;
        row.deservedShare = workspace.weight / weights;
        row.usedShare = allCompleted == 0 ? 0
                                          : static_cast<double>(completed[workspace.id])
                                                    / static_cast<double>(allCompleted);
        row.limit = workspace.limit;
        row.heldBack = heldBack(workspace.id);
        rows.push_back(row);
    }
    return rows;
}

} // namespace

FleetReport makeReport(const fleet::FleetDocument &fleet, const BurnTable &table,
                       const std::function<unsigned(const WorkspaceId &)> &heldBack, WallTime now)
{
    const auto windows = table.windows(now);
    FleetReport report;
    report.at = now;
    report.burn = makeRows(fleet, windows);
    report.shares = makeShares(fleet, windows, heldBack);
    report.sources = table.sourceAges(now);
    return report;
}

std::vector<std::string> completenessNotes(const FleetReport &report)
{
    std::vector<std::string> notes;
    for (const auto &source : report.sources) {
        const auto seconds =
                std::chrono::duration_cast<std::chrono::seconds>(source.sinceDigest).count();
        if (source.replaced) {
            notes.push_back(fmt::format("entry {} was replaced: what its earlier process saw after "
                                        "its last digest, {} s ago, is not counted",
                                        source.source.entry, seconds));
        } else if (source.sinceDigest > staleAfter) {
            notes.push_back(fmt::format("entry {} has told nothing for {} s: what it alone has "
                                        "seen since is not counted",
                                        source.source.entry, seconds));
        }
    }
    return notes;
}

} // namespace cyclamenlatch::report
