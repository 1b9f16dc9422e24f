// Answers for keys that were not granted. Where an earlier attempt with the same key may exist, the
// outcome "not-run" describes only this attempt, and the error says so.
#include "dispatch/deniedclaim.h"

#include <xxhash.h>

#include <utility>

namespace cyclamenlatch::dispatch {

namespace {

DispatchAnswer refuse(Outcome outcome, ErrorKind kind, std::string message, std::string remedy)
{
    DispatchAnswer answer;
    answer.outcome = outcome;
    answer.error = Error{kind, std::move(message), std::move(remedy)};
    return answer;
}

DispatchAnswer answerCompleted(StoredAnswer stored)
{
    if (!stored.isBodyStored) {
        return refuse(Outcome::Unknown, ErrorKind::Unknown,
                      "an earlier try completed, and its answer was too large to be kept",
                      "read the result of the work from where it was stored");
    }
    DispatchAnswer answer;
    answer.outcome = Outcome::Completed;
    answer.status = stored.status;
    answer.contentType = std::move(stored.contentType);
    answer.body = std::move(stored.body);
    return answer;
}

} // namespace

DispatchAnswer deniedClaimAnswer(std::optional<ClaimVerdict> verdict, StoredAnswer stored)
{
    switch (verdict.value_or(ClaimVerdict::NotOwner)) {
    case ClaimVerdict::Completed:
        return answerCompleted(std::move(stored));
    case ClaimVerdict::Running:
        return refuse(Outcome::Unknown, ErrorKind::Conflict,
                      "another try with this Idempotency-Key is running",
                      "wait, and repeat the request with the same key to learn its outcome");
    case ClaimVerdict::FingerprintMismatch:
        return refuse(Outcome::NotRun, ErrorKind::Conflict,
                      "this Idempotency-Key came with another body before",
                      "make a new key for each new piece of work");
    case ClaimVerdict::FromFuture:
        return refuse(Outcome::NotRun, ErrorKind::InvalidInput,
                      "the time in Idempotency-Key lies ahead of the entry's clock",
                      "set the clock of the host that makes the keys");
    case ClaimVerdict::Full:
        return refuse(Outcome::NotRun, ErrorKind::Overloaded,
                      "the owner of this Idempotency-Key remembers too many keys",
                      "try again after the delay in Retry-After");
    case ClaimVerdict::NotOwner:
        return refuse(Outcome::NotRun, ErrorKind::Unavailable,
                      "the home data centre of this Idempotency-Key does not answer; this try was "
                      "not started, but an earlier one with the same key may have run",
                      "repeat the request with the same key when its home answers again");
    case ClaimVerdict::Granted:
    case ClaimVerdict::Unknown:
        break;
    }
    return refuse(Outcome::Unknown, ErrorKind::Unknown,
                  "it is not known whether an earlier try with this Idempotency-Key ran",
                  "find out whether the work took effect before you repeat it with a new key");
}

std::uint64_t bodyFingerprint(std::string_view body)
{
    return XXH64(body.data(), body.size(), 0);
}

} // namespace cyclamenlatch::dispatch
