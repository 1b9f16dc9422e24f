// What changed between two fleet documents, item by item.
#pragma once

#include "fleet/fleetdocument.h"
#include "global/nametable.h"

#include <string>
#include <vector>

namespace cyclamenlatch::fleet {

enum class ChangeKind { Added, Removed, Changed };

inline constexpr NamedValue<ChangeKind> changeKindEntries[] = {
        {ChangeKind::Added, "added"},
        {ChangeKind::Removed, "removed"},
        {ChangeKind::Changed, "changed"},
};
inline constexpr NameTable changeKindNames{changeKindEntries};

struct FleetChange
{
    ChangeKind kind = ChangeKind::Changed;
    // Such as "workers".
    std::string section;
    std::string name;
    // The item's YAML on one line; empty where there is none.
    std::string before;
    std::string after;
};

std::vector<FleetChange> diffFleets(const FleetDocument &before, const FleetDocument &after);

} // namespace cyclamenlatch::fleet
