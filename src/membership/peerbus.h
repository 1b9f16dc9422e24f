// Carries authenticated messages between entries over UDP. Delivery is best effort: messages may
// be lost, delayed, repeated and reordered, and every module's messages are made for that.
// Lock order: m_mutex is the only lock and is never held while a handler runs.
#pragma once

#include "global/result.h"
#include "membership/peeraddress.h"
#include "membership/peermessage.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::membership {

struct PeerBusSettings
{
    PeerAddress self;
    // Known to every entry; authenticates messages.
    std::string secret;
    // Peers known from the start.
    std::vector<PeerAddress> seeds;
};

class PeerBus
{
public:
    // Runs on a thread of the io_context and must not block.
    using Handler = std::function<void(const PeerMessage &)>;

    PeerBus(asio::io_context &context, PeerBusSettings settings);
    ~PeerBus();
    PeerBus(const PeerBus &) = delete;
    PeerBus &operator=(const PeerBus &) = delete;

    // Subscribe before start; one handler per topic.
    void subscribe(PeerTopic topic, Handler handler);
    Result<void> start();
    void stop();

    const PeerAddress &self() const;
    std::uint64_t incarnation() const;
    // The peers that messages can be sent to, without this entry.
    std::vector<PeerAddress> peers() const;
    void setPeers(std::vector<PeerAddress> peers);

    // Thread-safe. Returns false when the peer is not known or the message is too large.
    bool send(const EntryId &to, PeerTopic topic, const std::string &body);
    void sendToAll(PeerTopic topic, const std::string &body);

    template<typename Value>
    bool sendValue(const EntryId &to, PeerTopic topic, const Value &value)
    {
        return send(to, topic, encode(value));
    }

    // Bytes sent and received since start.
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::membership
