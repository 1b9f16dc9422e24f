// Events 1050 to 1069: connections.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::net {

inline constexpr Event tlsReloaded{1050, Severity::Info, "tls-reloaded",
                                   "New connections get the certificate that the files now hold."};
inline constexpr Event tlsRefused{
        1051, Severity::Warning, "tls-refused",
        "The certificate or key file was changed to something that can't be used; the old "
        "certificate stays in use. Mend the files: they are read again by themselves."};

} // namespace cyclamenlatch::net
