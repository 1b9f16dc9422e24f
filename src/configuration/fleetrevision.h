// A fleet document with the store revision that it was written at.
#pragma once

#include "fleet/fleetdocument.h"
#include "store/storeitem.h"

#include <memory>

namespace cyclamenlatch::configuration {

struct FleetRevision
{
    store::StoreRevision revision = 0;
    // Empty only when the revision is 0.
    std::shared_ptr<const fleet::FleetDocument> fleet;
};

} // namespace cyclamenlatch::configuration
