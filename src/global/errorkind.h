// The kinds of error that modules return; the names are stable and shown to callers.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch {

enum class ErrorKind {
    InvalidInput,
    Unauthorized,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    Overloaded,
    Unavailable,
    Timeout,
    Cancelled,
    Unknown,
    Internal,
};

inline constexpr NamedValue<ErrorKind> errorKindEntries[] = {
        {ErrorKind::InvalidInput, "invalid-input"},
        {ErrorKind::Unauthorized, "unauthorized"},
        {ErrorKind::Forbidden, "forbidden"},
        {ErrorKind::NotFound, "not-found"},
        {ErrorKind::Conflict, "conflict"},
        {ErrorKind::TooLarge, "too-large"},
        {ErrorKind::Overloaded, "overloaded"},
        {ErrorKind::Unavailable, "unavailable"},
        {ErrorKind::Timeout, "timeout"},
        {ErrorKind::Cancelled, "cancelled"},
        {ErrorKind::Unknown, "unknown"},
        {ErrorKind::Internal, "internal"},
};
inline constexpr NameTable errorKindNames{errorKindEntries};

} // namespace cyclamenlatch
