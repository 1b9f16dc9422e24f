// A grouped bar chart as one SVG element.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::report {

struct BarGroup
{
    std::string label;
    // One per series.
    std::vector<double> values;
};

struct BarChart
{
    std::string title;
    // Both with their units.
    std::string horizontalLabel;
    std::string verticalLabel;
    std::vector<std::string> series;
    std::vector<BarGroup> groups;
    // Drawn as a line across, such as a threshold.
    std::optional<double> reference;
};

std::string renderSvg(const BarChart &chart);
std::string escapeHtml(std::string_view text);

} // namespace cyclamenlatch::report
