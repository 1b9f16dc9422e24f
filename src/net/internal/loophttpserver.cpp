// Accepts connections, and chooses which one gives way when a limit is reached.
#include "net/loophttpserver.h"

#include "net/internal/inboundconnection.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenlatch::net {

using detail::InboundConnection;
using Stage = InboundConnection::Stage;

namespace {

constexpr double heldShareOfMemory = 0.125;
constexpr double connectionShareOfDescriptors = 0.25;
constexpr std::size_t readBufferBytes = std::size_t{16} * 1024;
constexpr std::chrono::seconds checkInterval{1};
// After an accept that failed, as it does without a free descriptor.
constexpr std::chrono::milliseconds acceptPause{100};

} // namespace

IntakeLimits IntakeLimits::forProcess(std::size_t memoryBytes, std::size_t descriptors)
{
    const IntakeLimits defaults;
    IntakeLimits limits;
    limits.maxHeldBytes =
            static_cast<std::size_t>(std::max(heldShareOfMemory * static_cast<double>(memoryBytes),
                                              2.0 * static_cast<double>(defaults.maxBodyBytes)));
    limits.maxConnections = static_cast<std::size_t>(
            std::max(connectionShareOfDescriptors * static_cast<double>(descriptors), 16.0));
    return limits;
}

class LoopHttpServer::Private : public InboundConnection::Owner
{
public:
    Private(asio::io_context &context, std::string address, std::uint16_t port, IntakeLimits limits,
            HttpHandler handler)
        : m_context(context)
        , m_address(std::move(address))
        , m_port(port)
        , m_limits(limits)
        , m_maxBodyBytes(limits.maxBodyBytes)
        , m_handler(std::move(handler))
        , m_acceptor(context)
        , m_acceptTimer(context)
        , m_checkTimer(context)
        , m_readBuffer(readBufferBytes)
    {}

    ~Private() override
    {
        for (const auto &[key, connection] : std::exchange(m_connections, {})) {
            connection->detach();
        }
    }
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    Result<void> start()
    {
        try {
            const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address), m_port);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
            m_port = m_acceptor.local_endpoint().port();
        } catch (const std::exception &error) {
            return failure(
                    ErrorKind::Unavailable,
                    fmt::format("cannot listen on {}:{}: {}", m_address, m_port, error.what()),
                    "choose an address of this host and a free port in the settings");
        }
        accept();
        return success();
    }

    std::uint16_t port() const { return m_port; }
    std::size_t openRequests() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_connections.begin(), m_connections.end(), [](const auto &item) {
                    const auto stage = item.second->stage();
                    return stage == Stage::Handling || stage == Stage::Writing;
                }));
    }
    void setMaxBodyBytes(std::size_t bytes)
    {
        m_maxBodyBytes = std::min(bytes, m_limits.maxBodyBytes);
    }
    IntakeStatistics statistics() const
    {
        auto statistics = m_statistics;
        statistics.connections = m_connections.size();
        return statistics;
    }

    // The connections' owner.
    const IntakeLimits &limits() const override { return m_limits; }
    std::size_t maxBodyBytes() const override { return m_maxBodyBytes; }
    std::vector<char> &readBuffer() override { return m_readBuffer; }
    void refused(IntakeRefusal refusal) override
    {
        ++m_statistics.refused[static_cast<std::size_t>(refusal)];
    }
    void closed(InboundConnection &connection) override { m_connections.erase(&connection); }

    void heldChanged(InboundConnection &connection, std::ptrdiff_t change) override
    {
        m_statistics.heldBytes += static_cast<std::size_t>(change);
        while (change > 0 && m_statistics.heldBytes > m_limits.maxHeldBytes) {
            auto *first = oldest(Stage::Reading);
            const bool isOwn = first == nullptr || first == &connection;
            (isOwn ? connection : *first)
                    .refuse(IntakeRefusal::HeldBytes, 503,
                            "too much is being sent to this entry at once");
            if (isOwn) {
                return;
            }
        }
    }

    void requestComplete(InboundConnection &connection, HttpRequest request) override
    {
        m_handler(std::move(request), [waiting = connection.weak_from_this()](HttpReply reply) {
            if (const auto open = waiting.lock()) {
                open->answer(std::move(reply));
            }
        });
    }

private:
    void accept()
    {
        m_acceptor.async_accept(
                [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
                    if (error == asio::error::operation_aborted) {
                        return;
                    }
                    if (error) {
                        m_acceptTimer.expires_after(acceptPause);
                        m_acceptTimer.async_wait([this](const auto &cancelled) {
                            if (!cancelled) {
                                accept();
                            }
                        });
                        return;
                    }
                    if (hasRoom()) {
                        add(std::move(socket));
                    }
                    accept();
                });
    }

    // Closes a connection if there are too many; returns whether another one may be added.
    bool hasRoom()
    {
        if (m_connections.size() < m_limits.maxConnections) {
            return true;
        }
        refused(IntakeRefusal::Connections);
        for (const auto stage : {Stage::Lingering, Stage::Idle, Stage::Reading}) {
            if (auto *connection = oldest(stage)) {
                connection->close();
                return true;
            }
        }
        return false;
    }

    void add(asio::ip::tcp::socket socket)
    {
        const auto connection = std::make_shared<InboundConnection>(*this, std::move(socket));
        m_connections.emplace(connection.get(), connection);
        connection->start();
        if (!m_isChecking) {
            check();
        }
    }

    InboundConnection *oldest(Stage stage)
    {
        InboundConnection *found = nullptr;
        for (const auto &[key, connection] : m_connections) {
            if (connection->stage() == stage
                && (found == nullptr || connection->since() < found->since())) {
                found = connection.get();
            }
        }
        return found;
    }

    // Goes on while there are connections.
    void check()
    {
        m_isChecking = !m_connections.empty();
        if (!m_isChecking) {
            return;
        }
        m_checkTimer.expires_after(checkInterval);
        m_checkTimer.async_wait([this](const asio::error_code &error) {
            if (error) {
                return;
            }
            std::vector<std::shared_ptr<InboundConnection>> connections;
            connections.reserve(m_connections.size());
            for (const auto &[key, connection] : m_connections) {
                connections.push_back(connection);
            }
            const auto now = steadyNow();
            for (const auto &connection : connections) {
                if (connection->stage() != Stage::Closed) {
                    connection->checkTime(now);
                }
            }
            check();
        });
    }

    asio::io_context &m_context;
    const std::string m_address;
    std::uint16_t m_port;
    const IntakeLimits m_limits;
    std::size_t m_maxBodyBytes;
    const HttpHandler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    asio::steady_timer m_checkTimer;
    bool m_isChecking = false;
    std::vector<char> m_readBuffer;
    std::unordered_map<InboundConnection *, std::shared_ptr<InboundConnection>> m_connections;
    IntakeStatistics m_statistics;
};

LoopHttpServer::LoopHttpServer(asio::io_context &context, std::string address, std::uint16_t port,
                               IntakeLimits limits, HttpHandler handler)
    : m_private(std::make_unique<Private>(context, std::move(address), port, limits,
                                          std::move(handler)))
{}

LoopHttpServer::~LoopHttpServer() = default;

Result<void> LoopHttpServer::start()
{
    return m_private->start();
}

std::uint16_t LoopHttpServer::port() const
{
    return m_private->port();
}

void LoopHttpServer::setMaxBodyBytes(std::size_t bytes)
{
    m_private->setMaxBodyBytes(bytes);
}

std::size_t LoopHttpServer::openRequests() const
{
    return m_private->openRequests();
}

IntakeStatistics LoopHttpServer::statistics() const
{
    return m_private->statistics();
}

} // namespace cyclamenlatch::net
