// Where a revision or a withdrawal is in force, and where it is pending.
#pragma once

#include "global/ids.h"
#include "store/storeitem.h"

#include <vector>

namespace cyclamenlatch::configuration {

struct DataCentreSpread
{
    DataCentreId dataCentre;
    unsigned entries = 0;
    std::vector<EntryId> pending;
};

struct SpreadReport
{
    std::vector<DataCentreSpread> dataCentres;

    unsigned entries() const
    {
        unsigned count = 0;
        for (const auto &dataCentre : dataCentres) {
            count += dataCentre.entries;
        }
        return count;
    }
    unsigned inForce() const
    {
        unsigned pending = 0;
        for (const auto &dataCentre : dataCentres) {
            pending += static_cast<unsigned>(dataCentre.pending.size());
        }
        return entries() - pending;
    }
    // True when every live entry has said so.
    bool isEverywhere() const { return inForce() == entries(); }
};

} // namespace cyclamenlatch::configuration
