// Runs the script of one case: world CASE DIRECTORY RECORD.
#include "cases.h"

#include <csignal>
#include <cstdio>

int main(int argc, char **argv)
{
    using namespace review;
    static const std::map<std::string, asio::awaitable<int> (*)(World &)> scripts{
            {"long-schedule", longSchedule},
            {"unadvised-tasks", unadvisedTasks},
            {"removed-route", removedRoute},
            {"rolling-restart", rollingRestart},
            {"upkeep-after-zone-cut", upkeepAfterZoneCut},
            // Seen as well, and left out of the five cases.
            {"quota-after-zone-cut", quotaAfterZoneCut},
            {"crashed-before-upkeep", crashedBeforeUpkeep},
            {"pending-count", pendingCount},
            {"other-kind", otherKind},
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
