// What entries tell each other about one entry.
#pragma once

#include "membership/peeraddress.h"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenlatch::membership {

struct Member
{
    PeerAddress address;
    // One life of the process; a restarted entry is a new member.
    std::uint64_t incarnation = 0;
    // Grows while the process runs; silence is a heartbeat that stands still.
    std::uint64_t heartbeat = 0;
    // The entry takes no more work. Final for its incarnation.
    bool leaving = false;
    // Small values by topic, newest with the heartbeat.
    std::map<std::uint8_t, std::string> values;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(address.entry, address.dataCentre, address.address, address.port, incarnation,
                heartbeat, leaving, values);
    }
};

// One datagram: the sender first, then some of the members that it knows.
struct MemberDigest
{
    std::vector<Member> members;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(members);
    }
};

} // namespace cyclamenlatch::membership
