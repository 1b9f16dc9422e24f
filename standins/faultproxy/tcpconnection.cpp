// Copies bytes between the two sockets and applies the link's faults.
#include "standins/faultproxy/tcpconnection.h"

#include "standins/faultproxy/tcplink.h"

#include <asio/connect.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <utility>

namespace cyclamenlatch::standins {

using asio::ip::tcp;

TcpConnection::TcpConnection(TcpLink &link, asio::io_context &context, tcp::socket client)
    : m_link(link)
    , m_context(context)
    , m_client(std::move(client))
    , m_target(context)
{
    asio::error_code ignored;
    m_client.set_option(tcp::no_delay(true), ignored);
}

void TcpConnection::start(const tcp::endpoint &target)
{
    m_target.async_connect(target, [self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            return self->close();
        }
        asio::error_code ignored;
        self->m_target.set_option(tcp::no_delay(true), ignored);
        self->read(Direction::ToTarget);
        self->read(Direction::ToClient);
    });
}

void TcpConnection::reset()
{
    asio::error_code ignored;
    m_client.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void TcpConnection::close()
{
    asio::error_code ignored;
    m_client.close(ignored);
    m_target.close(ignored);
}

tcp::socket &TcpConnection::source(Direction direction)
{
    return direction == Direction::ToTarget ? m_client : m_target;
}

tcp::socket &TcpConnection::sink(Direction direction)
{
    return direction == Direction::ToTarget ? m_target : m_client;
}

void TcpConnection::read(Direction direction)
{
    auto &buffer = direction == Direction::ToTarget ? m_toTargetBuffer : m_toClientBuffer;
    source(direction).async_read_some(
            asio::buffer(buffer), [self = shared_from_this(), direction,
                                   &buffer](const asio::error_code &error, std::size_t size) {
                const bool silent = self->m_silent || self->m_link.faults().silent;
                if (error) {
                    // The other end of a silent connection never hears of a close.
                    if (!silent) {
                        self->close();
                    }
                    return;
                }
                if (silent) {
                    return self->read(direction);
                }
                self->take(direction, std::string(buffer.data(), size));
            });
}

void TcpConnection::take(Direction direction, std::string bytes)
{
    if (direction == Direction::ToClient && m_link.faults().cross) {
        takeAnswer(std::move(bytes));
        return read(direction);
    }
    forward(direction, std::move(bytes));
}

void TcpConnection::takeAnswer(std::string bytes)
{
    auto &waiting = m_link.waitingToCross();
    const auto other = waiting.lock();
    if (!other || other.get() == this) {
        m_heldAnswer += bytes;
        waiting = weak_from_this();
        return;
    }
    waiting.reset();
    write(Direction::ToClient, std::exchange(other->m_heldAnswer, {}));
    other->write(Direction::ToClient, std::move(bytes));
}

void TcpConnection::forward(Direction direction, std::string bytes)
{
    const auto delay = m_link.faults().delay;
    if (delay.count() == 0) {
        write(direction, std::move(bytes));
        return read(direction);
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([self = shared_from_this(), timer, direction,
                       bytes = std::move(bytes)](const asio::error_code &) mutable {
        self->write(direction, std::move(bytes));
        self->read(direction);
    });
}

void TcpConnection::write(Direction direction, std::string bytes)
{
    const auto limit = m_link.faults().truncateAfter;
    bool closeAfter = false;
    if (direction == Direction::ToClient && limit > 0) {
        const auto left = limit > m_bytesToClient ? limit - m_bytesToClient : 0;
        closeAfter = bytes.size() > left;
        bytes.resize(std::min(bytes.size(), left));
    }
    m_bytesToClient += direction == Direction::ToClient ? bytes.size() : 0;
    auto shared = std::make_shared<std::string>(std::move(bytes));
    asio::async_write(sink(direction), asio::buffer(*shared),
                      [self = shared_from_this(), shared, closeAfter](const asio::error_code &error,
                                                                      std::size_t) {
                          if (error || closeAfter) {
                              self->close();
                          }
                      });
}

} // namespace cyclamenlatch::standins
