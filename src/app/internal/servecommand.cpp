// "serve": runs an entry until SIGTERM or SIGINT.
#include "app/commands.h"
#include "app/entry.h"
#include "app/internal/readfile.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(config, "", "serve: file with the entry's settings");

namespace cyclamenlatch::app {

int runServe()
{
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
