// Draws bars, axes with units, tick marks and a legend.
#include "report/svgbarchart.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace cyclamenlatch::report {

namespace {

// Pixels.
constexpr double left = 70;
constexpr double top = 40;
constexpr double plotHeight = 220;
constexpr double bottom = 90;
constexpr double barWidth = 14;
constexpr double groupGap = 24;
constexpr double minPlotWidth = 420;
constexpr int ticks = 4;
constexpr std::array<const char *, 4> colours{"#3b6ea8", "#d08c3f", "#5b9a68", "#8a5a9e"};

// The next of 1, 2 or 5 times a power of ten.
double roundUp(double value)
{
    if (value <= 0) {
        return 1;
    }
    const double power = std::pow(10.0, std::floor(std::log10(value)));
    for (const double step : {1.0, 2.0, 5.0, 10.0}) {
        if (value <= step * power) {
            return step * power;
        }
    }
    return 10 * power;
}

double largest(const BarChart &chart)
{
    double most = chart.reference.value_or(0);
    for (const auto &group : chart.groups) {
        for (const double value : group.values) {
            most = std::max(most, value);
        }
    }
    return most;
}

std::string text(double x, double y, const std::string &anchor, const std::string &content)
{
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>", x, y, anchor,
                       escapeHtml(content));
}

std::string axes(const BarChart &chart, double plotWidth, double scaleTop)
{
    std::string svg;
    for (int tick = 0; tick <= ticks; ++tick) {
        const double y = top + plotHeight - plotHeight * tick / ticks;
        svg += fmt::format("<line x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" y2=\"{:.1f}\" "
                           "stroke=\"#ddd\"/>",
                           left, y, left + plotWidth, y);
        svg += text(left - 6, y + 4, "end", fmt::format("{:.4g}", scaleTop * tick / ticks));
    }
    svg += text(left + plotWidth / 2, top + plotHeight + 50, "middle", chart.horizontalLabel);
    svg += fmt::format("<text transform=\"translate(16,{:.1f}) rotate(-90)\" "
                       "text-anchor=\"middle\">{}</text>",
                       top + plotHeight / 2, escapeHtml(chart.verticalLabel));
    return svg;
}

// The bars with the gap, or the label if that is wider.
double groupWidth(const BarGroup &group)
{
    constexpr double letterWidth = 7;
    return std::max(barWidth * static_cast<double>(group.values.size()),
                    letterWidth * static_cast<double>(group.label.size()))
           + groupGap;
}

std::string bars(const BarChart &chart, double scaleTop)
{
    std::string svg;
    double x = left + groupGap / 2;
    for (const auto &group : chart.groups) {
        const double begin = x;
        x += (groupWidth(group) - groupGap - barWidth * static_cast<double>(group.values.size()))
             / 2;
        for (std::size_t series = 0; series < group.values.size(); ++series) {
            const double value = std::max(0.0, group.values[series]);
            const double height = plotHeight * value / scaleTop;
            svg += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{}\" height=\"{:.1f}\" "
                               "fill=\"{}\"><title>{}: {:.4g}</title></rect>",
                               x, top + plotHeight - height, barWidth - 2, height,
                               colours[series % colours.size()], escapeHtml(group.label),
                               group.values[series]);
            x += barWidth;
        }
        svg += text(begin + (groupWidth(group) - groupGap) / 2, top + plotHeight + 18, "middle",
                    group.label);
        x = begin + groupWidth(group);
    }
    return svg;
}

std::string legend(const BarChart &chart)
{
    constexpr double entryWidth = 110;
    std::string svg;
    double x = left;
    const double y = top + plotHeight + 72;
    for (std::size_t series = 0; series < chart.series.size(); ++series) {
        svg += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"10\" height=\"10\" "
                           "fill=\"{}\"/>",
                           x, y - 9, colours[series % colours.size()]);
        svg += text(x + 14, y, "start", chart.series[series]);
        x += entryWidth;
    }
    return svg;
}

} // namespace

std::string escapeHtml(std::string_view text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

std::string renderSvg(const BarChart &chart)
{
    double plotWidth = 0;
    for (const auto &group : chart.groups) {
        plotWidth += groupWidth(group);
    }
    plotWidth = std::max(plotWidth, minPlotWidth);
    const double scaleTop = roundUp(largest(chart));
    std::string svg = fmt::format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" height=\"{:.0f}\" "
            "role=\"img\" aria-label=\"{}\">",
            left + plotWidth + 20, top + plotHeight + bottom, escapeHtml(chart.title));
    svg += text(left, 20, "start", chart.title);
    svg += axes(chart, plotWidth, scaleTop);
    svg += bars(chart, scaleTop);
    if (chart.reference) {
        const double y = top + plotHeight - plotHeight * *chart.reference / scaleTop;
        svg += fmt::format("<line x1=\"{}\" y1=\"{:.1f}\" x2=\"{}\" y2=\"{:.1f}\" "
                           "stroke=\"#b03030\" stroke-dasharray=\"5 3\"/>",
                           left, y, left + plotWidth, y);
    }
    svg += legend(chart);
    return svg + "</svg>";
}

} // namespace cyclamenlatch::report
