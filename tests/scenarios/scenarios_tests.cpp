// Runs every scenario file of this folder as a test case of its own, and a seeded random walk over
// the verbs with all invariants on.
#include "tests/scenarios/randomwalk.h"
#include "tests/scenarios/scenarioreader.h"
#include "tests/scenarios/world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace cyclamenlatch::scenarios {
namespace {

std::vector<std::string> scenarioFiles()
{
    std::vector<std::string> files;
    for (const auto &file : std::filesystem::directory_iterator(CYCLAMENLATCH_SCENARIOS)) {
        if (file.path().extension() == ".yaml") {
            files.push_back(file.path().stem().string());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

class ScenarioFile : public testing::TestWithParam<std::string>
{};

TEST_P(ScenarioFile, holds)
{
    const auto path = std::string(CYCLAMENLATCH_SCENARIOS) + "/" + GetParam() + ".yaml";
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto reading = readScenario(text.str());
    for (const auto &mistake : reading.mistakes) {
        ADD_FAILURE() << path << ": " << mistake.toString();
    }
    ASSERT_TRUE(reading.mistakes.empty());
    const auto failure = World(reading.scenario).run();
    if (!reading.scenario.knownRed.empty()) {
        ASSERT_TRUE(failure.has_value()) << GetParam() << " holds: take its knownRed out";
        GTEST_SKIP() << "known red (" << reading.scenario.knownRed << "): " << *failure;
    }
    EXPECT_FALSE(failure.has_value()) << GetParam() << ".yaml, " << *failure;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ScenarioFile, testing::ValuesIn(scenarioFiles()),
                         [](const auto &file) {
                             auto name = file.param;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });

class RandomWalk : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(RandomWalk, keepsEveryInvariant)
{
    const auto failure = walkAtRandom(GetParam(), walkSteps);
    EXPECT_FALSE(failure.has_value()) << *failure;
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomWalk, testing::Range<std::uint64_t>(1, 21));

TEST(ScenarioReader, namesLineAndRemedyOfEveryMistake)
{
    const auto reading = readScenario("name: x\n"
                                      "steps:\n"
                                      "  - fly: {}\n"
                                      "  - run: {seconds: -1}\n"
                                      "  - cut: {from: dc-a, to: dc-b, twice: true}\n");
    ASSERT_EQ(reading.mistakes.size(), 3U);
    for (std::size_t index = 0; index < 3; ++index) {
        EXPECT_EQ(reading.mistakes[index].line, static_cast<int>(index) + 3);
        EXPECT_FALSE(reading.mistakes[index].remedy.empty());
    }
}

} // namespace
} // namespace cyclamenlatch::scenarios
