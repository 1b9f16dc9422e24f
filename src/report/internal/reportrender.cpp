// Text, JSON and HTML forms of the report.
#include "report/reportrender.h"

#include "report/svgbarchart.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ctime>

namespace cyclamenlatch::report {

namespace {

constexpr double percent = 100;

std::string timeText(WallTime time)
{
    const auto seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32] = {};
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &parts);
    return text;
}

std::string exhaustionText(const std::optional<std::chrono::seconds> &time)
{
    if (!time) {
        return "never";
    }
    if (time->count() == 0) {
        return "used up";
    }
    constexpr std::int64_t minute = 60;
    constexpr std::int64_t hour = 3600;
    constexpr std::int64_t day = 86400;
    const auto seconds = time->count();
    if (seconds < hour) {
        return fmt::format("{} min", seconds / minute);
    }
    return seconds < day ? fmt::format("{} h", seconds / hour) : fmt::format("{} d", seconds / day);
}

std::string workspaceText(const BurnRow &row)
{
    return row.workspace.empty() ? "(all)" : row.workspace.value();
}

nlohmann::json burnJson(const BurnRow &row)
{
    nlohmann::json windows = nlohmann::json::array();
    for (std::size_t window = 0; window < burnWindows.size(); ++window) {
        windows.push_back({{"window", burnWindows[window].name},
                           {"good", row.counts[window].good},
                           {"bad", row.counts[window].bad},
                           {"burnRate", row.burn[window]}});
    }
    nlohmann::json value{{"service", row.service.value()},
                         {"workspace", row.workspace.value()},
                         {"objective", row.objective},
                         {"windows", std::move(windows)},
                         {"budgetLeft", row.budgetLeft}};
    value["secondsToExhaustion"] = nullptr;
    if (row.timeToExhaustion) {
        value["secondsToExhaustion"] = row.timeToExhaustion->count();
    }
    return value;
}

BarChart burnChart(const FleetReport &report)
{
    BarChart chart;
    chart.title = "Burn rate by service";
    chart.horizontalLabel = "service";
    chart.verticalLabel = "burn rate (1 = budget lasts 3 d)";
    chart.reference = 1;
    for (const auto &window : burnWindows) {
        chart.series.emplace_back(window.name);
    }
    for (const auto &row : report.burn) {
        if (row.workspace.empty()) {
            chart.groups.push_back({row.service.value(), {row.burn.begin(), row.burn.end()}});
        }
    }
    return chart;
}

BarChart budgetChart(const FleetReport &report)
{
    BarChart chart;
    chart.title = "Error budget left by service";
    chart.horizontalLabel = "service";
    chart.verticalLabel = "budget left (% of 3 d)";
    chart.series = {"left"};
    for (const auto &row : report.burn) {
        if (row.workspace.empty()) {
            chart.groups.push_back({row.service.value(), {row.budgetLeft * percent}});
        }
    }
    return chart;
}

BarChart shareChart(const FleetReport &report)
{
    BarChart chart;
    chart.title = "Share by workspace, last hour";
    chart.horizontalLabel = "workspace";
    chart.verticalLabel = "share (% of completed requests)";
    chart.series = {"by weight", "used"};
    for (const auto &row : report.shares) {
        chart.groups.push_back(
                {row.workspace.value(), {row.deservedShare * percent, row.usedShare * percent}});
    }
    return chart;
}

constexpr const char *style =
        "body{font:15px/1.45 system-ui,sans-serif;max-width:70em;margin:2em auto;padding:0 1em;"
        "background:#fff;color:#222}table{border-collapse:collapse;margin:1em 0}"
        "td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}"
        "td:first-child,th:first-child,.two td:nth-child(2),.two th:nth-child(2){text-align:left}"
        "svg{max-width:100%;height:auto;font:12px system-ui,sans-serif}"
        ".all td{font-weight:600}.hot{color:#b03030}.note{color:#8a5a00}";

std::string burnTableHtml(const FleetReport &report)
{
    std::string html =
            "<table class=\"two\"><tr><th>Service</th><th>Workspace</th><th>Objective</th>";
    for (const auto &window : burnWindows) {
        html += fmt::format("<th>Burn {}</th>", window.name);
    }
    html += "<th>Budget left</th><th>Exhausted in</th></tr>";
    for (const auto &row : report.burn) {
        html += fmt::format("<tr{}><td>{}</td><td>{}</td><td>{:.4g} %</td>",
                            row.workspace.empty() ? " class=\"all\"" : "",
                            escapeHtml(row.service.value()), escapeHtml(workspaceText(row)),
                            row.objective * percent);
        for (const double burn : row.burn) {
            html += fmt::format("<td{}>{:.2f}</td>", burn > 1 ? " class=\"hot\"" : "", burn);
        }
        html += fmt::format("<td>{:.1f} %</td><td>{}</td></tr>", row.budgetLeft * percent,
                            exhaustionText(row.timeToExhaustion));
    }
    return html + "</table>";
}

std::string shareTableHtml(const FleetReport &report)
{
    std::string html = "<table><tr><th>Workspace</th><th>Share by weight</th><th>Share used</th>"
                       "<th>Limit</th><th>Held back at limit</th></tr>";
    for (const auto &row : report.shares) {
        html += fmt::format("<tr><td>{}</td><td>{:.1f} %</td><td>{:.1f} %</td><td>{}</td>"
                            "<td>{}</td></tr>",
                            escapeHtml(row.workspace.value()), row.deservedShare * percent,
                            row.usedShare * percent, row.limit, row.heldBack);
    }
    return html + "</table>";
}

std::string operationsText(const FleetReport &report)
{
    const auto &figures = report.operations;
    return fmt::format("moves {}, spare workers {}, spare worker-hours {:.1f}, wave time {} s",
                       figures.moves, figures.spareWorkers, figures.spareWorkerHours,
                       figures.waveTime.count());
}

} // namespace

std::string renderText(const FleetReport &report)
{
    std::string text = fmt::format("Service-level burn as {} knows it at {}\n\n", report.entry,
                                   timeText(report.at));
    text += fmt::format("{:<16} {:<16} {:>9}", "SERVICE", "WORKSPACE", "OBJECTIVE");
    for (const auto &window : burnWindows) {
        text += fmt::format(" {:>8}", window.name);
    }
    text += fmt::format(" {:>9} {:>10}\n", "LEFT", "EXHAUSTED");
    for (const auto &row : report.burn) {
        text += fmt::format("{:<16} {:<16} {:>8.4g}%", row.service.value(), workspaceText(row),
                            row.objective * percent);
        for (const double burn : row.burn) {
            text += fmt::format(" {:>8.2f}", burn);
        }
        text += fmt::format(" {:>8.1f}% {:>10}\n", row.budgetLeft * percent,
                            exhaustionText(row.timeToExhaustion));
    }
    text += fmt::format("\n{:<16} {:>10} {:>10} {:>8} {:>10}\n", "WORKSPACE", "BY WEIGHT", "USED",
                        "LIMIT", "HELD BACK");
    for (const auto &row : report.shares) {
        text += fmt::format("{:<16} {:>9.1f}% {:>9.1f}% {:>8} {:>10}\n", row.workspace.value(),
                            row.deservedShare * percent, row.usedShare * percent, row.limit,
                            row.heldBack);
    }
    text += fmt::format("\nSince {} started: {}\n", report.entry, operationsText(report));
    for (const auto &row : report.latencies) {
        text += fmt::format("{}: median {:.3f} s, p99 {:.3f} s at {}\n", row.service.value(),
                            row.median, row.p99, report.entry);
    }
    for (const auto &note : completenessNotes(report)) {
        text += "note: " + note + "\n";
    }
    return text;
}

std::string renderJson(const FleetReport &report)
{
    nlohmann::json value{{"entry", report.entry},
                         {"atMs", report.at.time_since_epoch().count()},
                         {"burn", nlohmann::json::array()},
                         {"shares", nlohmann::json::array()},
                         {"latencies", nlohmann::json::array()},
                         {"operations",
                          {{"moves", report.operations.moves},
                           {"spareWorkers", report.operations.spareWorkers},
                           {"spareWorkerHours", report.operations.spareWorkerHours},
                           {"waveSeconds", report.operations.waveTime.count()}}},
                         {"notes", completenessNotes(report)}};
    for (const auto &row : report.burn) {
        value["burn"].push_back(burnJson(row));
    }
    for (const auto &row : report.shares) {
        value["shares"].push_back({{"workspace", row.workspace.value()},
                                   {"deservedShare", row.deservedShare},
                                   {"usedShare", row.usedShare},
                                   {"limit", row.limit},
                                   {"heldBack", row.heldBack}});
    }
    for (const auto &row : report.latencies) {
        value["latencies"].push_back({{"service", row.service.value()},
                                      {"medianSeconds", row.median},
                                      {"p99Seconds", row.p99}});
    }
    return value.dump(2) + "\n";
}

std::string renderHtml(const FleetReport &report)
{
    std::string html = "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                       "<meta name=\"viewport\" content=\"width=device-width\">"
                       "<title>Service-level burn</title><style>";
    html += style;
    html += fmt::format("</style></head><body><h1>Service-level burn</h1><p>As {} knows it at "
                        "{}.</p>\n",
                        escapeHtml(report.entry), timeText(report.at));
    for (const auto &note : completenessNotes(report)) {
        html += fmt::format("<p class=\"note\">Note: {}</p>\n", escapeHtml(note));
    }
    html += renderSvg(burnChart(report)) + "\n" + burnTableHtml(report) + "\n";
    html += renderSvg(budgetChart(report)) + "\n";
    html += "<h2>Shares and limits</h2>" + renderSvg(shareChart(report)) + "\n";
    html += shareTableHtml(report);
    html += fmt::format("<h2>Operations</h2><p>Since {} started: {}.</p>\n",
                        escapeHtml(report.entry), operationsText(report));
    return html + "</body></html>\n";
}

} // namespace cyclamenlatch::report
