// The messages that entries exchange on the bus topic Outcome.
#pragma once

#include "dispatch/outcomeclaim.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <string>
#include <variant>

namespace cyclamenlatch::dispatch {

// Confirms that the owner has received the report.
struct ReportReceipt
{
    std::string attempt;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(attempt);
    }
};

// A new entry asks another entry of its data centre to add it to its roster.
struct RosterHello
{
    // OwnerRoster::handshake() of the sender.
    std::uint64_t handshake = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(handshake);
    }
};

// Confirms that the sender's roster contains the entry that sent this handshake.
struct RosterAcknowledgement
{
    std::uint64_t handshake = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(handshake);
    }
};

using OutcomeMessage = std::variant<OutcomeClaim, ClaimAnswer, OutcomeReport, ReportReceipt,
                                    RosterHello, RosterAcknowledgement>;

} // namespace cyclamenlatch::dispatch
