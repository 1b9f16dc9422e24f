// "report": fetches the burn report from an entry.
#include "app/commands.h"
#include "app/internal/operatorclient.h"

#include <gflags/gflags.h>

#include <iostream>

// Here also html.
DECLARE_string(output);

namespace cyclamenlatch::app {

int runReport()
{
    const auto reply = detail::fetchFromEntry("GET", "/v1/report?output=" + FLAGS_output);
    if (!reply) {
        std::cerr << reply.error().toString() << "\n";
        return exitFailure;
    }
    const bool good = reply.value().status == 200;
    (good ? std::cout : std::cerr) << reply.value().body;
    return good ? exitSuccess : exitFailure;
}

} // namespace cyclamenlatch::app
