// Reads and writes the fleet document as YAML; reports every mistake at once.
#pragma once

#include "fleet/fleetdocument.h"
#include "fleet/mistake.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::fleet {

struct FleetReading
{
    // Whole only when there are no mistakes.
    FleetDocument document;
    std::vector<Mistake> mistakes;
    // What is accepted, but can't be met by the workers that the document has.
    std::vector<Mistake> notices;
};

FleetReading readFleet(std::string_view yaml);
std::string writeFleet(const FleetDocument &document);

// Splits the document into YAML texts of one section each, none above maxBytes unless a single
// item is.
std::vector<std::string> writeFleetParts(const FleetDocument &document, std::size_t maxBytes);
// Joins the texts of writeFleetParts and checks the whole as readFleet does.
FleetReading readFleetParts(const std::vector<std::string> &parts);

} // namespace cyclamenlatch::fleet
