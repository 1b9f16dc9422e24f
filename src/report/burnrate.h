// Arithmetic of service-level burn.
// Source: Beyer, Murphy, Rensin, Kawahara, Thorne (editors), "The Site Reliability Workbook",
// O'Reilly 2018, chapter 5, "Alerting on SLOs" (burn rate, multiple windows).
#pragma once

#include "report/windowcounts.h"

#include <array>
#include <chrono>
#include <optional>
#include <string_view>

namespace cyclamenlatch::report {

struct BurnWindow
{
    std::string_view name;
    std::chrono::milliseconds length;
};

inline constexpr std::array<BurnWindow, 4> burnWindows{{
        {"5m", std::chrono::minutes(5)},
        {"1h", std::chrono::hours(1)},
        {"6h", std::chrono::hours(6)},
        {"3d", std::chrono::hours(72)},
}};
// The window over which the budget is spent: the longest one.
inline constexpr BurnWindow budgetWindow = burnWindows.back();
// The window whose rate the time to exhaustion extrapolates.
inline constexpr std::size_t trendWindow = 1;

// Bad ratio over (1 - objective). At 1, the budget lasts exactly its window.
constexpr double burnRate(double badRatio, double objective)
{
    return objective < 1 ? badRatio / (1 - objective) : 0;
}

// Share of the budget window's error budget that is left; negative when it is overdrawn.
constexpr double budgetLeft(double budgetWindowBurn)
{
    return 1 - budgetWindowBurn;
}

// Time until the budget is used up if the present rate goes on: budget left times the window
// over the burn rate. Nothing when nothing burns; zero when it is used up.
inline std::optional<std::chrono::seconds> timeToExhaustion(double left, double presentBurn)
{
    if (left <= 0) {
        return std::chrono::seconds(0);
    }
    if (presentBurn <= 0) {
        return std::nullopt;
    }
    const auto window = std::chrono::duration<double>(budgetWindow.length).count();
    return std::chrono::seconds(static_cast<std::int64_t>(left * window / presentBurn));
}

} // namespace cyclamenlatch::report
