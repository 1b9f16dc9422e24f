// What an entry tells and asks the owner of an idempotency key, and the owner's answer.
#pragma once

#include "dispatch/outcome.h"
#include "dispatch/storedanswer.h"
#include "global/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace cyclamenlatch::dispatch {

// Asks for leave to run a request. Sent again until answered; the attempt makes that harmless.
struct OutcomeClaim
{
    // Workspace, queue and key, so that no team meets another's outcome.
    std::string scope;
    std::string key;
    // Differs for each try of each caller.
    std::string attempt;
    // Of the request's body: the same key may not come with other work.
    std::uint64_t fingerprint = 0;
    // Time that the try may take.
    std::uint32_t timeoutMilliseconds = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(scope, key, attempt, fingerprint, timeoutMilliseconds);
    }
};

enum class ClaimVerdict : std::uint8_t {
    // The attempt may run, and no other will.
    Granted = 1,
    // Another attempt may be running.
    Running = 2,
    // It completed; the answer is kept unless it was too large.
    Completed = 3,
    // It may have run, or its memory is gone. It will not run again.
    Unknown = 4,
    // The key came with other work before.
    FingerprintMismatch = 5,
    // The key's time lies ahead of the owner's clock.
    FromFuture = 6,
    // The asked entry does not own the key, or not yet.
    NotOwner = 7,
    // The owner's memory is full.
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

// Tells the owner how a granted attempt ended. Sent again until acknowledged.
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
