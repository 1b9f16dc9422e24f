// Renders an error for logs and terminals.
#include "global/error.h"

#include <fmt/format.h>

namespace cyclamenlatch {

std::string Error::toString() const
{
    if (remedy.empty()) {
        return fmt::format("{}: {}", errorKindNames.name(kind), message);
    }
    return fmt::format("{}: {}; {}", errorKindNames.name(kind), message, remedy);
}

} // namespace cyclamenlatch
