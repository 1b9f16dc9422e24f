// Where another entry listens for peer messages.
#pragma once

#include "global/ids.h"

#include <cstdint>
#include <string>

namespace cyclamenlatch::membership {

struct PeerAddress
{
    EntryId entry;
    DataCentreId dataCentre;
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const PeerAddress &) const = default;
};

} // namespace cyclamenlatch::membership
