// "serve": runs an entry until SIGTERM or SIGINT, on the users' platform where its settings file is
// named by the environment and none by a flag.
#include "app/commands.h"
#include "app/entry.h"
#include "app/internal/readfile.h"
#include "control/platformentry.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>

DEFINE_string(config, "", "serve: file with the entry's settings");
DEFINE_string(without, "fair-shares",
              "serve on the platform: parts of scheduling that are off, separated by commas: "
              "fair-shares, useful-first, run-times, copies, target-speeds");
DEFINE_uint64(run_time_kinds, 2000,
              "serve on the platform: kinds of work whose run times are remembered");
DEFINE_uint64(
        caller_connections, 0,
        "serve on the platform: open connections of callers; 0: a quarter of the descriptors");
DEFINE_uint64(
        caller_held_kib, 0,
        "serve on the platform: KiB of requests that are not answered yet; 0: an eighth of the "
        "memory");
DEFINE_uint64(caller_stall_ms, 10000,
              "serve on the platform: milliseconds after which an unfinished request of which "
              "nothing comes is refused");

namespace cyclamenlatch::app {

namespace {

Result<scheduling::SchedulingFeatures> parseFeatures(const std::string &list)
{
    scheduling::SchedulingFeatures features;
    std::istringstream names(list);
    for (std::string name; std::getline(names, name, ',');) {
        const auto feature = scheduling::schedulingFeatureNames.value(name);
        if (!feature) {
            return failure(ErrorKind::InvalidInput,
                           "--without: \"" + name + "\" is not a part of scheduling",
                           "choose from those that cyclamenlatch --help serve names");
        }
        features.insert(*feature);
    }
    return features;
}

int serveOnPlatform(const std::string &settingsPath)
{
    auto settings = platform::readEntrySettings(settingsPath);
    const auto disabled = parseFeatures(FLAGS_without);
    if (!settings || !disabled) {
        std::cerr << (settings ? disabled.error() : settings.error()).toString() << "\n";
        return exitUsage;
    }
    settings.value().disabled = disabled.value();
    settings.value().maxRunTimeKinds = FLAGS_run_time_kinds;
    settings.value().maxCallerConnections = FLAGS_caller_connections;
    settings.value().maxCallerHeldBytes = FLAGS_caller_held_kib * 1024;
    settings.value().callerStallTimeout = std::chrono::milliseconds(FLAGS_caller_stall_ms);
    control::PlatformEntry entry(std::move(settings).value(), settingsPath);
    if (const auto ended = entry.run(); !ended) {
        std::cerr << ended.error().toString() << "\n";
        return exitFailure;
    }
    return exitSuccess;
}

} // namespace

int runServe()
{
    const char *platformSettings = std::getenv("CYCLAMENLATCH_SETTINGS");
    if (FLAGS_config.empty() && platformSettings != nullptr) {
        return serveOnPlatform(platformSettings);
    }
    const auto text = detail::readFile(FLAGS_config);
    if (!text) {
        std::cerr << text.error().toString() << "\n";
        return exitUsage;
    }
    auto reading = readEntrySettings(text.value());
    for (const auto &mistake : reading.mistakes) {
        std::cerr << FLAGS_config << ": " << mistake.toString() << "\n";
    }
    if (!reading.mistakes.empty()) {
        return exitUsage;
    }

    asio::io_context signalContext;
    asio::signal_set signals(signalContext, SIGTERM, SIGINT);
    signals.async_wait([](const asio::error_code &, int) {});

    Entry entry(std::move(reading.settings));
    const auto started = entry.start();
    if (!started) {
        std::cerr << started.error().toString() << "\n";
        return exitFailure;
    }
    signalContext.run();
    entry.stop();
    return exitSuccess;
}

} // namespace cyclamenlatch::app
