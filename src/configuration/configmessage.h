// Messages between entries that spread configuration and withdrawn keys.
#pragma once

#include "global/ids.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamenlatch::configuration {

// What the sender has. Also the acknowledgement that a revision is in force there.
struct Digest
{
    std::uint64_t knownRevision = 0;
    // Content hash of the known revision's head.
    std::string head;
    std::uint64_t revisionInForce = 0;
    std::uint64_t withdrawnCount = 0;
    // Hash over the sorted ids of withdrawn keys.
    std::string withdrawnHash;
    // Whether the receiver is to answer with its own digest.
    bool isQuestion = false;
    // Nanoseconds of the asking side's clock: set in a question, returned in its answer, so that
    // the asker knows how old the answer is at most, however long a message or process was held.
    std::int64_t askerClock = 0;
    // Age of the sender's evidence from the store in milliseconds; negative: it has none.
    std::int64_t storeEvidenceAge = -1;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(knownRevision, head, revisionInForce, withdrawnCount, withdrawnHash, isQuestion,
                askerClock, storeEvidenceAge);
    }
};

// Asks for a piece of the content with this hash.
struct Pull
{
    std::string hash;
    std::uint64_t offset = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(hash, offset);
    }
};

struct Chunk
{
    std::string hash;
    std::uint64_t offset = 0;
    // Bytes of the whole content.
    std::uint64_t total = 0;
    std::string bytes;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(hash, offset, total, bytes);
    }
};

// Ids of withdrawn keys; the receiver adds them to its own.
struct WithdrawnKeys
{
    std::vector<KeyId> ids;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(ids);
    }
};

using ConfigMessage = std::variant<Digest, Pull, Chunk, WithdrawnKeys>;

} // namespace cyclamenlatch::configuration
