// Events 1200 to 1219: configuration and keys as they reach an entry.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::configuration {

inline constexpr Event revisionInForce{1200, Severity::Info, "revision-in-force",
                                       "The entry uses a newer revision of the fleet document."};
inline constexpr Event revisionRefused{
        1201, Severity::Error, "revision-refused",
        "The stored fleet document has mistakes; the entry keeps the one it has. Apply a "
        "corrected document."};
inline constexpr Event keysWithdrawn{1202, Severity::Info, "keys-withdrawn",
                                     "The entry refuses more withdrawn keys; says how many."};
inline constexpr Event storeReadFailed{
        1203, Severity::Warning, "store-read-failed",
        "The configuration could not be read from the store; the entry goes on with what it has "
        "and asks its peers."};
inline constexpr Event withdrawalNotDurable{
        1204, Severity::Warning, "withdrawal-not-durable",
        "A withdrawal could not be written to the store yet; it is in force at the entries and is "
        "written when the store answers."};

} // namespace cyclamenlatch::configuration
