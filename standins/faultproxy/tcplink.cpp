// Accepts connections of a link and joins them to its target.
#include "standins/faultproxy/tcplink.h"

#include "standins/faultproxy/tcpconnection.h"

#include <utility>

namespace cyclamenlatch::standins {

TcpLink::TcpLink(asio::io_context &context, asio::ip::tcp::endpoint listen,
                 asio::ip::tcp::endpoint target)
    : m_context(context)
    , m_acceptor(context, listen)
    , m_target(std::move(target))
{}

void TcpLink::start()
{
    accept();
}

void TcpLink::accept()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket client) {
        if (error) {
            return;
        }
        if (!m_faults.cut) {
            auto connection = std::make_shared<TcpConnection>(*this, m_context, std::move(client));
            m_connections.remove_if([](const auto &weak) { return weak.expired(); });
            m_connections.push_back(connection);
            connection->start(m_target);
        }
        accept();
    });
}

void TcpLink::silenceOpenConnections()
{
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->silence();
        }
    }
}

void TcpLink::resetOpenConnections()
{
    for (const auto &weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->reset();
        }
    }
}

std::size_t TcpLink::openConnections()
{
    m_connections.remove_if([](const auto &weak) { return weak.expired(); });
    return m_connections.size();
}

} // namespace cyclamenlatch::standins
