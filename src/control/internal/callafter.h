// Delayed calls, for retries.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace cyclamenlatch::control::detail {

// Calls the action once after the pause, unless alive has expired by then.
inline void callAfter(asio::io_context &context, std::chrono::milliseconds pause,
                      std::weak_ptr<bool> alive, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(context, pause);
    timer->async_wait(
            [timer, alive = std::move(alive), action = std::move(action)](const auto &error) {
                if (!error && !alive.expired()) {
                    action();
                }
            });
}

} // namespace cyclamenlatch::control::detail
