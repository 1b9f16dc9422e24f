// Finds what a document without mistakes promises and its workers cannot give. Such a document is
// accepted: workers come and go, and a limit far above the fleet is a common way to set none.
#pragma once

#include "fleet/fleetdocument.h"
#include "fleet/internal/itemlines.h"
#include "fleet/mistake.h"

#include <vector>

namespace cyclamenlatch::fleet::detail {

std::vector<Mistake> findUnmeetable(const FleetDocument &document, const ItemLines &lines);

} // namespace cyclamenlatch::fleet::detail
