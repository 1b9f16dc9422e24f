// Runs the script of one case: world CASE DIRECTORY RECORD.
#include "cases.h"

#include <csignal>
#include <cstdio>

int main(int argc, char **argv)
{
    using namespace review;
    static const std::map<std::string, asio::awaitable<int> (*)(World &)> scripts{
            {"quota-after-zone-cut", quotaAfterZoneCut},
            {"removed-route", removedRoute},
            {"other-kind", otherKind},
            {"pending-count", pendingCount},
            {"long-schedule", longSchedule},
            {"unadvised-tasks", unadvisedTasks},
            {"upkeep-after-zone-cut", upkeepAfterZoneCut},
    };
    const auto script = argc == 4 ? scripts.find(argv[1]) : scripts.end();
    if (script == scripts.end()) {
        std::fprintf(stderr, "world CASE DIRECTORY RECORD\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        World world(argv[2], argv[3]);
        return world.run(script->second);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
        return 2;
    }
}
