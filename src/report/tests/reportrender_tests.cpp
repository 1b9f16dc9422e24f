// The rendered forms: figures, escapes, and a page that needs nothing from outside.
#include "report/reportrender.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cyclamenlatch::report {
namespace {

const WallTime now{std::chrono::hours(1000)};

FleetReport sampleReport()
{
    fleet::FleetDocument fleet;
    fleet.services.push_back({ServiceId("swaps"), PoolId("p"), 1, 0.99});
    fleet.workspaces = {{WorkspaceId("drivers"), 3, 10}, {WorkspaceId("a<b"), 1, 5}};
    BurnTable table({"e-a", 1});
    for (int index = 0; index < 100; ++index) {
        table.record({ServiceId("swaps"), WorkspaceId("drivers")}, index >= 2, now);
    }
    auto report = makeReport(
            fleet, table, [](const WorkspaceId &) { return 7U; }, now);
    report.entry = "e-a";
    return report;
}

TEST(ReportRender, jsonCarriesTheFigures)
{
    const auto value = nlohmann::json::parse(renderJson(sampleReport()));
    const auto &row = value.at("burn").at(0);
    EXPECT_EQ(row.at("workspace"), "");
    EXPECT_NEAR(row.at("windows").at(0).at("burnRate").get<double>(), 2, 1e-9);
    EXPECT_NEAR(row.at("budgetLeft").get<double>(), -1, 1e-9);
    EXPECT_EQ(row.at("secondsToExhaustion"), 0);
    EXPECT_NEAR(value.at("shares").at(0).at("deservedShare").get<double>(), 0.75, 1e-9);
    EXPECT_NEAR(value.at("shares").at(0).at("usedShare").get<double>(), 1, 1e-9);
    EXPECT_EQ(value.at("shares").at(0).at("heldBack"), 7);
}

TEST(ReportRender, pageIsWholeAndNeedsNothingFromOutside)
{
    const auto html = renderHtml(sampleReport());
    EXPECT_NE(html.find("<svg"), std::string::npos);
    EXPECT_NE(html.find("burn rate (1 = budget lasts 3 d)"), std::string::npos);
    EXPECT_NE(html.find("a&lt;b"), std::string::npos);
    EXPECT_EQ(html.find("a<b"), std::string::npos);
    EXPECT_EQ(html.find("<script"), std::string::npos);
    EXPECT_EQ(html.find("src="), std::string::npos);
    EXPECT_EQ(html.find("href="), std::string::npos);
    EXPECT_TRUE(html.ends_with("</body></html>\n"));
}

TEST(ReportRender, textSaysThatTheBudgetIsUsedUp)
{
    const auto text = renderText(sampleReport());
    EXPECT_NE(text.find("used up"), std::string::npos);
    EXPECT_NE(text.find("drivers"), std::string::npos);
}

} // namespace
} // namespace cyclamenlatch::report
