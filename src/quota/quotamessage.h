// What entries tell each other about units, in one datagram for all resources.
// Transfers carry running totals, so that a lost, repeated or reordered one does no harm.
#pragma once

#include "quota/quotaholder.h"
#include "quota/quotaresource.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace cyclamenlatch::quota {

// Asks for units; moves none.
struct QuotaAsk
{
    QuotaResource resource;
    // Who wants them: not the sender when a steward forwards the ask.
    QuotaHolder asker;
    std::uint32_t need = 0;
    // What the asker holds, so that nobody gives up more than an equal part.
    std::uint32_t held = 0;
    bool forwarded = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(resource, asker, need, held, forwarded);
    }
};

// All units that the sender has ever sent to the receiver.
struct QuotaTransfer
{
    QuotaResource resource;
    std::uint64_t total = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(resource, total);
    }
};

struct QuotaMessage
{
    // The receiver's incarnation; another life of it ignores the message.
    std::uint64_t toIncarnation = 0;
    std::vector<QuotaAsk> asks;
    std::vector<QuotaTransfer> transfers;
    // Totals received from the other side so far; end the resending of transfers.
    std::vector<QuotaTransfer> acknowledgements;

    bool empty() const { return asks.empty() && transfers.empty() && acknowledgements.empty(); }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(toIncarnation, asks, transfers, acknowledgements);
    }
};

} // namespace cyclamenlatch::quota
