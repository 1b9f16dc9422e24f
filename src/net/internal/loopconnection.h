// One connection of a LoopHttpClient: connects, writes one request, reads its answer, and tells
// when the peer closes it meanwhile.
#pragma once

#include "global/time.h"
#include "net/httpclientsettings.h"
#include "net/httpreply.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::net::detail {

class LoopConnection : public std::enable_shared_from_this<LoopConnection>
{
public:
    struct Listener
    {
        // The connection can be written to, or not: then with the reason.
        std::function<void(LoopConnection &, const std::string &failure)> connected;
        // Whole, with whether the connection may carry another call.
        std::function<void(LoopConnection &, HttpReply reply, bool isReusable)> answered;
        // Ended, also between calls; closed already.
        std::function<void(LoopConnection &, const std::string &failure)> ended;
    };

    LoopConnection(asio::io_context &context, std::string host, std::size_t bufferBytes,
                   const Listener &listener);

    const std::string &host() const { return m_host; }

    void connect(const asio::ip::tcp::endpoint &peer);
    // The bytes of one request; its answer may have this many bytes.
    void write(std::string request, std::size_t maxReplyBytes);
    // Resets the connection; nothing is told any more.
    void close();

    // Set by the client: of the call that it carries; 0 while it carries none.
    std::uint64_t callNumber = 0;
    // The identity that the peer has named; 0: none yet. See PeerCheck.
    std::int64_t peer = 0;
    TimePoint idleSince{};
    // When the peer was last heard: the connection was made, or a byte came.
    TimePoint receivedAt{};

private:
    void read();
    void take(std::size_t size);
    void writeRest(std::size_t written);
    void end(const std::string &failure);

    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();
    void takeHeader();

    asio::ip::tcp::socket m_socket;
    const std::string m_host;
    const Listener &m_listener;
    std::vector<char> m_buffer;
    std::string m_request;
    http_parser m_parser{};
    HttpReply m_reply;
    std::string m_headerField;
    std::string m_headerValue;
    bool m_isValueLast = false;
    std::size_t m_maxReplyBytes = 0;
    bool m_isTooLong = false;
    bool m_isComplete = false;
    bool m_isClosed = false;
};

} // namespace cyclamenlatch::net::detail
