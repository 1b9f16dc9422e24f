// Maps error kinds to HTTP statuses.
#include "net/httpstatus.h"

namespace cyclamenlatch::net {

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 401;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::Internal:
        return 500;
    case ErrorKind::Unknown:
        return 502;
    case ErrorKind::Unavailable:
    case ErrorKind::Cancelled:
        return 503;
    case ErrorKind::Timeout:
        return 504;
    }
    return 500;
}

} // namespace cyclamenlatch::net
