// "report": fetches the burn report from an entry.
#include "app/commands.h"
#include "net/sendandwait.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(entry, "http://127.0.0.1:8201", "report: an entry's operator address");
DECLARE_string(operator_key);
// Here also html.
DECLARE_string(output);

namespace cyclamenlatch::app {

int runReport()
{
    net::HttpCall call;
    call.url = fmt::format("{}/v1/report?output={}", FLAGS_entry, FLAGS_output);
    call.headers.add("Authorization", "Bearer " + FLAGS_operator_key);
    call.timeout = std::chrono::seconds(10);
    net::HttpClient http;
    const auto result = net::sendAndWait(http, std::move(call));
    if (!result.reply) {
        std::cerr << "no answer from " << FLAGS_entry << ": " << result.failure
                  << "; ask another entry\n";
        return exitFailure;
    }
    const bool good = result.reply->status == 200;
    (good ? std::cout : std::cerr) << result.reply->body;
    return good ? exitSuccess : exitFailure;
}

} // namespace cyclamenlatch::app
