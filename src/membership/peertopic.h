// What a message between entries is about; decides which module reads it.
#pragma once

#include "global/nametable.h"

#include <cstdint>

namespace cyclamenlatch::membership {

enum class PeerTopic : std::uint8_t {
    Membership = 1,
    Configuration = 2,
    KeyWithdrawal = 3,
    Quota = 4,
    Outcome = 5,
    Maintenance = 6,
    Jobs = 7,
    Report = 8,
    Load = 9,
    Demand = 10,
    LimitSurvey = 11,
};

inline constexpr NamedValue<PeerTopic> peerTopicEntries[] = {
        {PeerTopic::Membership, "membership"},
        {PeerTopic::Configuration, "configuration"},
        {PeerTopic::KeyWithdrawal, "key-withdrawal"},
        {PeerTopic::Quota, "quota"},
        {PeerTopic::Outcome, "outcome"},
        {PeerTopic::Maintenance, "maintenance"},
        {PeerTopic::Jobs, "jobs"},
        {PeerTopic::Report, "report"},
        {PeerTopic::Load, "load"},
        {PeerTopic::Demand, "demand"},
        {PeerTopic::LimitSurvey, "limit-survey"},
};
inline constexpr NameTable peerTopicNames{peerTopicEntries};

} // namespace cyclamenlatch::membership
