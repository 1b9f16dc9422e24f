// A data centre.
#pragma once

#include "global/ids.h"

#include <string>

namespace cyclamenlatch::fleet {

struct DataCentre
{
    DataCentreId id;
    std::string region;

    bool operator==(const DataCentre &) const = default;
};

} // namespace cyclamenlatch::fleet
