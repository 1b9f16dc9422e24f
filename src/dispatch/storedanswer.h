// The answer of a completed request, stored by the owner of its key for callers that retry.
#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace cyclamenlatch::dispatch {

struct StoredAnswer
{
    // False when the body was too large to be stored.
    bool isBodyStored = false;
    std::int32_t status = 0;
    std::string contentType;
    std::string body;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(isBodyStored, status, contentType, body);
    }
};

} // namespace cyclamenlatch::dispatch
