// What a planning pass asks its caller to do.
#pragma once

#include "global/ids.h"
#include "store/storewrite.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::maintenance {

// Repeated until the platform reports the attempt as finished.
struct RebootRequest
{
    WorkerId worker;
    std::string attempt;
};

using WaveAction = std::variant<store::StoreWrite, RebootRequest>;

} // namespace cyclamenlatch::maintenance
