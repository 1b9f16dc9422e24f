// Reads a scenario from YAML; every mistake names its line and a remedy.
#pragma once

#include "fleet/mistake.h"
#include "tests/scenarios/scenario.h"

#include <string_view>
#include <vector>

namespace cyclamenlatch::scenarios {

struct ScenarioReading
{
    // Whole only when there are no mistakes.
    Scenario scenario;
    std::vector<fleet::Mistake> mistakes;
};

ScenarioReading readScenario(std::string_view yaml);

} // namespace cyclamenlatch::scenarios
