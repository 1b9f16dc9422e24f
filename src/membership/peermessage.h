// A message between two entries, authenticated and with its body still encoded.
#pragma once

#include "global/ids.h"
#include "membership/boundedinputarchive.h"
#include "membership/peertopic.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>

#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

namespace cyclamenlatch::membership {

struct PeerMessage
{
    EntryId from;
    DataCentreId dataCentre;
    // Differs for each start of the sending process and grows with time.
    std::uint64_t incarnation = 0;
    PeerTopic topic = PeerTopic::Membership;
    // The cereal encoding of a type of the topic's module.
    std::string body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(from, dataCentre, incarnation, topic, body);
    }
};

template<typename Value>
std::string encode(const Value &value)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

// Returns nothing when the bytes are not the encoding of a Value.
template<typename Value>
std::optional<Value> decode(const std::string &bytes)
{
    try {
        BoundedInputArchive archive(bytes);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace cyclamenlatch::membership
