// One TCP link of the fault proxy. All of it runs on one thread.
#pragma once

#include "standins/faultproxy/linkfaults.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace cyclamenlatch::standins {

class TcpConnection;

class TcpLink
{
public:
    TcpLink(asio::io_context &context, asio::ip::tcp::endpoint listen,
            asio::ip::tcp::endpoint target);

    void start();
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    LinkFaults &faults() { return m_faults; }

    // Open connections swallow every byte from now on; new ones work.
    void silenceOpenConnections();
    // Closes open connections with a reset.
    void resetOpenConnections();
    std::size_t openConnections();

    // Connection that holds an answer until another one has one to exchange.
    std::weak_ptr<TcpConnection> &waitingToCross() { return m_waitingToCross; }

private:
    void accept();

    asio::io_context &m_context;
    asio::ip::tcp::acceptor m_acceptor;
    const asio::ip::tcp::endpoint m_target;
    LinkFaults m_faults;
    std::list<std::weak_ptr<TcpConnection>> m_connections;
    std::weak_ptr<TcpConnection> m_waitingToCross;
};

} // namespace cyclamenlatch::standins
