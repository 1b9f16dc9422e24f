// Runs an HTTP handler on a port until SIGTERM or SIGINT: the main loop of every stand-in.
#pragma once

#include "net/httpserver.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamenlatch::standins {

inline int runServer(asio::io_context &context, net::HttpServerSettings settings,
                     net::HttpHandler handler, unsigned threads)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) { context.stop(); });
    net::HttpServer server(context, std::move(settings), std::move(handler));
    const auto started = server.start();
    if (!started) {
        std::cerr << started.error().toString() << "\n";
        return 1;
    }
    std::cout << "port " << server.port() << std::endl;
    std::vector<std::thread> pool;
    for (unsigned index = 1; index < threads; ++index) {
        pool.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto &thread : pool) {
        thread.join();
    }
    return 0;
}

} // namespace cyclamenlatch::standins
