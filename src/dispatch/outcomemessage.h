// The messages of topic Outcome between entries.
#pragma once

#include "dispatch/outcomeclaim.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <string>
#include <variant>

namespace cyclamenlatch::dispatch {

// The owner has taken the report in.
struct ReportReceipt
{
    std::string attempt;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(attempt);
    }
};

// A new entry asks another one of its data centre to count it in.
struct RosterHello
{
    // Of the sender's roster.
    std::uint64_t handshake = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(handshake);
    }
};

// The sender counts the entry in that asked with this handshake.
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
