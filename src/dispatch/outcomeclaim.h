// Claims and reports sent to the owner of an idempotency key, and the owner's answers.
#pragma once

#include "dispatch/outcome.h"
#include "dispatch/storedanswer.h"
#include "global/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace cyclamenlatch::dispatch {

// Asks for permission to run a request. Sent again until answered; the owner recognizes repeated
// claims by their attempt.
struct OutcomeClaim
{
    // Workspace, queue and key, so that no workspace gets the outcome of another one's request.
    std::string scope;
    std::string key;
    // Unique for each request of each caller.
    std::string attempt;
    // Hash of the request's body: a key may not be used again with another body.
    std::uint64_t fingerprint = 0;
    // Time that the attempt may take.
    std::uint32_t timeoutMilliseconds = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(scope, key, attempt, fingerprint, timeoutMilliseconds);
    }
};

enum class ClaimVerdict : std::uint8_t {
    // The attempt may run, and no other attempt will.
    Granted = 1,
    // Another attempt may be running.
    Running = 2,
    // An earlier attempt completed; its answer is stored unless it was too large.
    Completed = 3,
    // An earlier attempt may have run, or its record is gone. The request will not run again.
    Unknown = 4,
    // The key was used with another body before.
    FingerprintMismatch = 5,
    // The key's time is more than the clock skew ahead of the owner's clock.
    FromFuture = 6,
    // The entry that was asked does not own the key, or does not own it yet.
    NotOwner = 7,
    // The owner already stores the maximum number of keys.
    Full = 8,
};

struct ClaimAnswer
{
    std::string attempt;
    ClaimVerdict verdict = ClaimVerdict::NotOwner;
    StoredAnswer answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(attempt, verdict, answer);
    }
};

// Reports to the owner how a granted attempt ended. Sent again until acknowledged.
struct OutcomeReport
{
    std::string scope;
    std::string key;
    std::string attempt;
    Outcome outcome = Outcome::Unknown;
    StoredAnswer answer;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(scope, key, attempt, outcome, answer);
    }
};

} // namespace cyclamenlatch::dispatch
