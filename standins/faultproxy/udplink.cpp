// Drops, delays and repeats datagrams.
#include "standins/faultproxy/udplink.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace cyclamenlatch::standins {

namespace {

constexpr std::size_t maxDatagramBytes = 65535;

} // namespace

UdpLink::UdpLink(asio::io_context &context, asio::ip::udp::endpoint listen,
                 asio::ip::udp::endpoint target)
    : m_context(context)
    , m_socket(context, listen)
    , m_target(std::move(target))
{}

void UdpLink::start()
{
    receive();
}

void UdpLink::receive()
{
    m_buffer.resize(maxDatagramBytes);
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                [this](const asio::error_code &error, std::size_t size) {
                                    if (error == asio::error::operation_aborted) {
                                        return;
                                    }
                                    if (!error) {
                                        take(m_buffer.substr(0, size));
                                    }
                                    receive();
                                });
}

void UdpLink::take(std::string datagram)
{
    ++m_received;
    const bool drop = m_faults.dropEvery > 0 && m_received % m_faults.dropEvery == 0;
    if (m_faults.cut || m_faults.silent || drop) {
        return;
    }
    if (m_faults.duplicate) {
        send(datagram);
    }
    if (m_faults.delay.count() == 0) {
        return send(datagram);
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_faults.delay);
    timer->async_wait([this, timer, datagram = std::move(datagram)](const asio::error_code &) {
        send(datagram);
    });
}

void UdpLink::send(const std::string &datagram)
{
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(datagram), m_target, 0, ignored);
}

} // namespace cyclamenlatch::standins
