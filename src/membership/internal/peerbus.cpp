// One UDP socket per entry; each datagram is a MAC followed by an encoded PeerMessage.
#include "membership/peerbus.h"

#include "global/time.h"

#include <asio/ip/udp.hpp>
#include <fmt/format.h>
#include <sodium.h>

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <utility>

namespace cyclamenlatch::membership {

namespace {

using asio::ip::udp;

constexpr std::size_t maxDatagramBytes = 60000;

using MacKey = std::array<unsigned char, crypto_auth_KEYBYTES>;

MacKey deriveKey(const std::string &secret)
{
    MacKey key{};
    crypto_generichash(key.data(), key.size(),
                       reinterpret_cast<const unsigned char *>(secret.data()), secret.size(),
                       nullptr, 0);
    return key;
}

std::string seal(const MacKey &key, const std::string &payload)
{
    std::array<unsigned char, crypto_auth_BYTES> mac{};
    crypto_auth(mac.data(), reinterpret_cast<const unsigned char *>(payload.data()), payload.size(),
                key.data());
    std::string datagram(mac.begin(), mac.end());
    datagram += payload;
    return datagram;
}

std::optional<PeerMessage> open(const MacKey &key, const std::string &datagram)
{
    if (datagram.size() < crypto_auth_BYTES) {
        return std::nullopt;
    }
    const auto *bytes = reinterpret_cast<const unsigned char *>(datagram.data());
    if (crypto_auth_verify(bytes, bytes + crypto_auth_BYTES, datagram.size() - crypto_auth_BYTES,
                           key.data())
        != 0) {
        return std::nullopt;
    }
    return decode<PeerMessage>(datagram.substr(crypto_auth_BYTES));
}

} // namespace

class PeerBus::Private
{
public:
    Private(asio::io_context &context, PeerBusSettings settings)
        : m_settings(std::move(settings))
        , m_key(deriveKey(m_settings.secret))
        , m_incarnation(static_cast<std::uint64_t>(wallNow().time_since_epoch().count()))
        , m_socket(context)
    {
        setPeers(m_settings.seeds);
    }

    Result<void> start()
    {
        asio::error_code error;
        const auto address = asio::ip::make_address(m_settings.self.address, error);
        if (!error) {
            m_socket.open(udp::v4(), error);
        }
        if (!error) {
            m_socket.bind(udp::endpoint(address, m_settings.self.port), error);
        }
        if (error) {
            return failure(ErrorKind::Unavailable,
                           fmt::format("cannot listen for peers on {}:{}: {}",
                                       m_settings.self.address, m_settings.self.port,
                                       error.message()),
                           "choose an address of this host and a free port for \"peers\"");
        }
        m_settings.self.port = m_socket.local_endpoint().port();
        receive();
        return success();
    }

    void stop()
    {
        const std::lock_guard lock(m_mutex);
        asio::error_code ignored;
        m_socket.close(ignored);
    }

    void subscribe(PeerTopic topic, Handler handler) { m_handlers[topic] = std::move(handler); }

    const PeerAddress &self() const { return m_settings.self; }
    std::uint64_t incarnation() const { return m_incarnation; }
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

    std::vector<PeerAddress> peers() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<PeerAddress> peers;
        for (const auto &[id, peer] : m_peers) {
            peers.push_back(peer);
        }
        return peers;
    }

    void setPeers(std::vector<PeerAddress> peers)
    {
        const std::lock_guard lock(m_mutex);
        m_peers.clear();
        for (auto &peer : peers) {
            if (peer.entry != m_settings.self.entry) {
                const auto id = peer.entry;
                m_peers[id] = std::move(peer);
            }
        }
    }

    bool send(const EntryId &to, PeerTopic topic, const std::string &body)
    {
        const auto datagram = makeDatagram(topic, body);
        if (datagram.size() > maxDatagramBytes) {
            return false;
        }
        const std::lock_guard lock(m_mutex);
        const auto peer = m_peers.find(to);
        return peer != m_peers.end() && sendTo(peer->second, datagram);
    }

    void sendToAll(PeerTopic topic, const std::string &body)
    {
        const auto datagram = makeDatagram(topic, body);
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, peer] : m_peers) {
            sendTo(peer, datagram);
        }
    }

private:
    std::string makeDatagram(PeerTopic topic, const std::string &body) const
    {
        const PeerMessage message{m_settings.self.entry, m_settings.self.dataCentre, m_incarnation,
                                  topic, body};
        return seal(m_key, encode(message));
    }

    bool sendTo(const PeerAddress &peer, const std::string &datagram)
    {
        asio::error_code error;
        const auto address = asio::ip::make_address(peer.address, error);
        if (error || !m_socket.is_open()) {
            return false;
        }
        m_socket.send_to(asio::buffer(datagram), udp::endpoint(address, peer.port), 0, error);
        m_bytesSent += error ? 0 : datagram.size();
        return !error;
    }

    void receive()
    {
        m_buffer.resize(maxDatagramBytes);
        m_socket.async_receive_from(asio::buffer(m_buffer), m_sender,
                                    [this](const asio::error_code &error, std::size_t size) {
                                        if (error == asio::error::operation_aborted
                                            || error == asio::error::bad_descriptor) {
                                            return;
                                        }
                                        if (!error) {
                                            take(m_buffer.substr(0, size));
                                        }
                                        const std::lock_guard lock(m_mutex);
                                        if (m_socket.is_open()) {
                                            receive();
                                        }
                                    });
    }

    void take(const std::string &datagram)
    {
        m_bytesReceived += datagram.size();
        const auto message = open(m_key, datagram);
        if (!message) {
            return;
        }
        const auto handler = m_handlers.find(message->topic);
        if (handler != m_handlers.end()) {
            handler->second(*message);
        }
    }

    PeerBusSettings m_settings;
    const MacKey m_key;
    const std::uint64_t m_incarnation;
    // Set before start, then only read.
    std::map<PeerTopic, Handler> m_handlers;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<EntryId, PeerAddress> m_peers;
    // Sends and closing are guarded by m_mutex.
    udp::socket m_socket;
    // Used by the one pending receive only.
    std::string m_buffer;
    udp::endpoint m_sender;
    std::atomic<std::uint64_t> m_bytesSent = 0;
    std::atomic<std::uint64_t> m_bytesReceived = 0;
};

PeerBus::PeerBus(asio::io_context &context, PeerBusSettings settings)
    : m_private(std::make_unique<Private>(context, std::move(settings)))
{}

PeerBus::~PeerBus() = default;

void PeerBus::subscribe(PeerTopic topic, Handler handler)
{
    m_private->subscribe(topic, std::move(handler));
}

Result<void> PeerBus::start()
{
    return m_private->start();
}

void PeerBus::stop()
{
    m_private->stop();
}

const PeerAddress &PeerBus::self() const
{
    return m_private->self();
}

std::uint64_t PeerBus::incarnation() const
{
    return m_private->incarnation();
}

std::vector<PeerAddress> PeerBus::peers() const
{
    return m_private->peers();
}

void PeerBus::setPeers(std::vector<PeerAddress> peers)
{
    m_private->setPeers(std::move(peers));
}

bool PeerBus::send(const EntryId &to, PeerTopic topic, const std::string &body)
{
    return m_private->send(to, topic, body);
}

void PeerBus::sendToAll(PeerTopic topic, const std::string &body)
{
    m_private->sendToAll(topic, body);
}

std::uint64_t PeerBus::bytesSent() const
{
    return m_private->bytesSent();
}

std::uint64_t PeerBus::bytesReceived() const
{
    return m_private->bytesReceived();
}

} // namespace cyclamenlatch::membership
