// Keeps what a server's open connections still use until its io_context has dropped their handlers.
#pragma once

#include <asio/execution_context.hpp>

#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace cyclamenlatch::net::detail {

// An io_context first shuts all its services down, which drops every handler and with them the
// connections, and deletes the services after that: so what is kept here outlives them.
class RetiredServers : public asio::execution_context::service
{
public:
    // asio finds the service by this member.
    inline static asio::execution_context::id id; // NOLINT(readability-identifier-naming)

    explicit RetiredServers(asio::execution_context &context)
        : asio::execution_context::service(context)
    {}

    void keep(std::shared_ptr<void> server)
    {
        const std::lock_guard lock(m_mutex);
        m_servers.push_back(std::move(server));
    }

private:
    void shutdown() noexcept override {}

    std::mutex m_mutex;
    std::vector<std::shared_ptr<void>> m_servers;
};

} // namespace cyclamenlatch::net::detail
