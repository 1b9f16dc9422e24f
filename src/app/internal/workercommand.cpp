// "worker": lists workers with their pools and moves them.
#include "app/commands.h"
#include "app/internal/operatorclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>
#include <string>

DECLARE_string(output);
DEFINE_uint64(revision, 0, "worker move: the record's revision that the move was decided on");

namespace cyclamenlatch::app {

namespace {

using nlohmann::json;

constexpr const char *workerUsage = "cyclamenlatch worker list\n"
                                    "cyclamenlatch worker move NAME POOL [--revision N]\n";

void printWorker(const json &worker)
{
    std::cout << fmt::format("{} {} in {}, should be in {} (set by {}, revision {})\n",
                             worker.value("worker", ""), worker.value("step", ""),
                             worker.value("pool", ""), worker.value("desired", ""),
                             worker.value("setBy", ""), worker.value("revision", 0UL));
}

int printAnswer(const Result<detail::OperatorAnswer> &answer)
{
    return detail::showItems(answer, "workers", printWorker);
}

} // namespace

int runWorker(int argc, char **argv)
{
    const std::string verb = argc > 2 ? argv[2] : "";
    if (verb == "list") {
        return printAnswer(detail::askEntry("GET", "/v1/workers"));
    }
    if (verb != "move" || argc < 5) {
        std::cerr << workerUsage;
        return exitUsage;
    }
    json body{{"worker", argv[3]}, {"pool", argv[4]}};
    if (FLAGS_revision != 0) {
        body["revision"] = FLAGS_revision;
    }
    return printAnswer(detail::askEntry("POST", "/v1/workers/move", body.dump()));
}

} // namespace cyclamenlatch::app
