// One UDP link of the fault proxy, from one direction: datagrams that arrive are sent on to the
// target. Peers need no way back, since each names itself inside its sealed messages.
#pragma once

#include "standins/faultproxy/linkfaults.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <cstdint>
#include <string>

namespace cyclamenlatch::standins {

class UdpLink
{
public:
    UdpLink(asio::io_context &context, asio::ip::udp::endpoint listen,
            asio::ip::udp::endpoint target);

    void start();
    std::uint16_t port() const { return m_socket.local_endpoint().port(); }
    LinkFaults &faults() { return m_faults; }

private:
    void receive();
    void take(std::string datagram);
    void send(const std::string &datagram);

    asio::io_context &m_context;
    asio::ip::udp::socket m_socket;
    const asio::ip::udp::endpoint m_target;
    asio::ip::udp::endpoint m_sender;
    std::string m_buffer;
    LinkFaults m_faults;
    unsigned m_received = 0;
};

} // namespace cyclamenlatch::standins
