// What entries tell each other about leaving hosts. Every poll carries the whole state, so that
// lost, repeated and reordered messages do no harm.
#pragma once

#include "global/ids.h"
#include "store/storeitem.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::maintenance {

struct LeavingMark
{
    WorkerId worker;
    // Of the record that says so.
    store::StoreRevision revision = 0;

    bool operator==(const LeavingMark &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worker, revision);
    }
};

// From the leader of a scope to every entry: the workers that must get nothing new.
struct DrainPoll
{
    // A data centre's waves or the moves between pools; each scope has one leader.
    std::string scope;
    // Of the store when the marks were read; a poll with a lower one is out of date.
    store::StoreRevision revision = 0;
    std::vector<LeavingMark> marks;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(scope, revision, marks);
    }
};

// What the answering entry still has with one leaving worker.
struct DrainState
{
    LeavingMark mark;
    std::uint32_t inFlight = 0;
    std::uint32_t connections = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(mark, inFlight, connections);
    }
};

// An entry's answer to a poll.
struct DrainAnswer
{
    std::string scope;
    std::vector<DrainState> states;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(scope, states);
    }
};

// From an entry that has just started: asks for the marks that others know.
struct MarksRequest
{
    template<class Archive>
    void serialize(Archive &)
    {}
};

// An answer to it; as a poll, but wants no answer.
struct KnownMarks
{
    DrainPoll poll;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(poll);
    }
};

using MaintenanceMessage = std::variant<DrainPoll, DrainAnswer, MarksRequest, KnownMarks>;

} // namespace cyclamenlatch::maintenance
