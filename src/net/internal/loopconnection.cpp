// Drives one socket and the parser of its answers.
#include "net/internal/loopconnection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace cyclamenlatch::net::detail {

namespace {

// A connection whose peer acknowledges nothing for this long is ended by the kernel.
constexpr unsigned unacknowledgedMilliseconds = 10000;
constexpr int firstFinalStatus = 200;

} // namespace

LoopConnection::LoopConnection(asio::io_context &context, std::string host, std::size_t bufferBytes,
                               const Listener &listener)
    : m_socket(context)
    , m_host(std::move(host))
    , m_listener(listener)
    , m_buffer(bufferBytes)
{}

void LoopConnection::connect(const asio::ip::tcp::endpoint &peer)
{
    asio::error_code error;
    m_socket.open(peer.protocol(), error);
    if (!error) {
        m_socket.set_option(asio::ip::tcp::no_delay(true), error);
        const unsigned timeout = unacknowledgedMilliseconds;
        setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                   sizeof(timeout));
        m_socket.non_blocking(true, error);
    }
    // Also a socket that could not be opened ends in the handler, never in here.
    m_socket.async_connect(peer, [self = shared_from_this()](const asio::error_code &failed) {
        if (self->m_isClosed) {
            return;
        }
        if (failed) {
            self->close();
            return self->m_listener.connected(*self, failed.message());
        }
        self->receivedAt = steadyNow();
        self->read();
        self->m_listener.connected(*self, {});
    });
}

void LoopConnection::write(std::string request, std::size_t maxReplyBytes)
{
    m_request = std::move(request);
    m_maxReplyBytes = maxReplyBytes;
    m_reply = HttpReply{};
    m_headerField.clear();
    m_headerValue.clear();
    m_isValueLast = false;
    m_isTooLong = false;
    m_isComplete = false;
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
    // Nearly every request fits into the socket's buffer at once.
    asio::error_code error;
    const auto written = m_socket.write_some(asio::buffer(m_request), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) {
        // The pending read tells of the end, so that nothing is told in here.
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
        return;
    }
    if (written < m_request.size()) {
        writeRest(written);
    }
}

void LoopConnection::writeRest(std::size_t written)
{
    asio::async_write(m_socket, asio::buffer(m_request) + written,
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          if (error && !self->m_isClosed) {
                              self->end(error.message());
                          }
                      });
}

void LoopConnection::close()
{
    if (std::exchange(m_isClosed, true)) {
        return;
    }
    asio::error_code ignored;
    // What a partition holds up of a call that was given up must not arrive when it heals.
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void LoopConnection::end(const std::string &failure)
{
    close();
    m_listener.ended(*this, failure);
}

// Always pending, so that a connection that the peer closes is not used again.
void LoopConnection::read()
{
    m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                if (self->m_isClosed) {
                    return;
                }
                if (error) {
                    return self->end(error.message());
                }
                self->take(size);
            });
}

void LoopConnection::take(std::size_t size)
{
    if (callNumber == 0) {
        return end("the peer sent what nobody asked for");
    }
    receivedAt = steadyNow();
    const auto parsed = http_parser_execute(&m_parser, &callbacks(), m_buffer.data(), size);
    if (m_isComplete) {
        const bool isReusable = parsed == size && http_should_keep_alive(&m_parser) != 0;
        // The next call may be written before this returns.
        auto reply = std::exchange(m_reply, HttpReply{});
        const auto self = shared_from_this();
        m_listener.answered(*this, std::move(reply), isReusable);
        if (!m_isClosed) {
            read();
        }
        return;
    }
    if (m_isTooLong) {
        return end("the answer is too long");
    }
    if (parsed != size || HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        return end("the answer is malformed");
    }
    read();
}

void LoopConnection::takeHeader()
{
    if (!m_headerField.empty()) {
        m_reply.headers.add(std::exchange(m_headerField, {}), std::exchange(m_headerValue, {}));
    }
    m_isValueLast = false;
}

int LoopConnection::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<LoopConnection *>(parser->data);
    if (self.m_isValueLast) {
        self.takeHeader();
    }
    self.m_headerField.append(data, size);
    return 0;
}

int LoopConnection::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<LoopConnection *>(parser->data);
    self.m_isValueLast = true;
    self.m_headerValue.append(data, size);
    return 0;
}

int LoopConnection::onHeadersComplete(http_parser *parser)
{
    auto &self = *static_cast<LoopConnection *>(parser->data);
    self.takeHeader();
    self.m_reply.status = static_cast<int>(parser->status_code);
    return 0;
}

int LoopConnection::onBody(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<LoopConnection *>(parser->data);
    if (self.m_reply.body.size() + size > self.m_maxReplyBytes) {
        self.m_isTooLong = true;
        return 1;
    }
    self.m_reply.body.append(data, size);
    return 0;
}

int LoopConnection::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<LoopConnection *>(parser->data);
    if (self.m_reply.status < firstFinalStatus) {
        // The final answer follows.
        self.m_reply = HttpReply{};
        return 0;
    }
    self.m_isComplete = true;
    // What follows an answer belongs to nobody.
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &LoopConnection::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_header_field = &LoopConnection::onHeaderField;
        made.on_header_value = &LoopConnection::onHeaderValue;
        made.on_headers_complete = &LoopConnection::onHeadersComplete;
        made.on_body = &LoopConnection::onBody;
        made.on_message_complete = &LoopConnection::onMessageComplete;
        return made;
    }();
    return settings;
}

} // namespace cyclamenlatch::net::detail
