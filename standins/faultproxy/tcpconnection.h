// A pair of sockets that the fault proxy joins: client to proxy, and proxy to target.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace cyclamenlatch::standins {

class TcpLink;

class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
    TcpConnection(TcpLink &link, asio::io_context &context, asio::ip::tcp::socket client);

    void start(const asio::ip::tcp::endpoint &target);
    void silence() { m_silent = true; }
    void reset();
    void close();

private:
    enum class Direction { ToTarget, ToClient };

    asio::ip::tcp::socket &source(Direction direction);
    asio::ip::tcp::socket &sink(Direction direction);
    void read(Direction direction);
    void take(Direction direction, std::string bytes);
    void takeAnswer(std::string bytes);
    void forward(Direction direction, std::string bytes);
    void write(Direction direction, std::string bytes);

    TcpLink &m_link;
    asio::io_context &m_context;
    asio::ip::tcp::socket m_client;
    asio::ip::tcp::socket m_target;
    std::array<char, 65536> m_toTargetBuffer{};
    std::array<char, 65536> m_toClientBuffer{};
    std::size_t m_bytesToClient = 0;
    bool m_silent = false;
    // An answer that waits for another connection's to be exchanged with.
    std::string m_heldAnswer;
};

} // namespace cyclamenlatch::standins
