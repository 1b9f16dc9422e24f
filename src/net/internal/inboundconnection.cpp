// Reads requests with http_parser; what a connection holds is counted with each piece.
#include "net/internal/inboundconnection.h"

#include "net/httpstatus.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::net::detail {

namespace {

// Counted for each header field beside its text.
constexpr std::size_t fieldOverheadBytes = 64;
// Counted for each request beside its text.
constexpr std::size_t requestOverheadBytes = 512;
// A refused caller has this long to read the refusal.
constexpr std::chrono::milliseconds lingerTime{1000};
constexpr const char *retryAfterSeconds = "1";
// Returned by a callback of the parser; 1 has another meaning at the end of the head.
constexpr int stopParsing = -1;

bool isTryAgain(const asio::error_code &error)
{
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace

InboundConnection::InboundConnection(Owner &owner, asio::ip::tcp::socket socket)
    : m_owner(&owner)
    , m_socket(std::move(socket))
    , m_since(steadyNow())
    , m_receivedAt(m_since)
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
}

void InboundConnection::start()
{
    asio::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    waitForBytes();
}

void InboundConnection::enter(Stage stage)
{
    m_stage = stage;
    m_since = steadyNow();
}

void InboundConnection::waitForBytes()
{
    if (std::exchange(m_isWaiting, true)) {
        return;
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            self->m_isWaiting = false;
                            if (error || self->m_owner == nullptr) {
                                return self->close();
                            }
                            // A request that was refused meanwhile is still being answered.
                            if (self->m_stage != Stage::Writing) {
                                self->read();
                            }
                        });
}

void InboundConnection::read()
{
    auto &buffer = m_owner->readBuffer();
    asio::error_code error;
    const auto size = m_socket.read_some(asio::buffer(buffer), error);
    if (isTryAgain(error)) {
        return waitForBytes();
    }
    if (error) {
        return close();
    }
    if (m_stage == Stage::Lingering) {
        return waitForBytes();
    }
    parse(buffer.data(), size);
}

void InboundConnection::parse(const char *data, std::size_t size)
{
    if (m_stage == Stage::Idle) {
        enter(Stage::Reading);
        hold(requestOverheadBytes);
        if (m_stage != Stage::Reading) {
            return;
        }
    }
    m_receivedAt = steadyNow();
    const auto parsed = http_parser_execute(&m_parser, &callbacks(), data, size);
    if (m_stage != Stage::Reading) {
        // To hold more, the server has refused this request.
        return;
    }
    if (m_isComplete) {
        m_ahead.assign(data + parsed, size - parsed);
        return finishRequest();
    }
    if (m_stopStatus != 0) {
        return refuse(m_stopRefusal, m_stopStatus, m_stopReason);
    }
    if (parsed != size || HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        return refuse(IntakeRefusal::Malformed, 400, "the request is malformed");
    }
    waitForBytes();
}

void InboundConnection::finishRequest()
{
    m_isKeptAlive = http_should_keep_alive(&m_parser) != 0;
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    m_isHeadRequest = m_parser.method == HTTP_HEAD;
    const auto query = m_url.find('?');
    m_request.path = m_url.substr(0, query);
    m_request.query = query == std::string::npos ? std::string{} : m_url.substr(query + 1);
    m_url.clear();
    hold(m_ahead.size());
    if (m_stage != Stage::Reading) {
        return;
    }
    enter(Stage::Handling);
    m_owner->requestComplete(*this, std::exchange(m_request, {}));
}

void InboundConnection::answer(HttpReply reply)
{
    if (m_stage != Stage::Handling || m_owner == nullptr) {
        return;
    }
    m_closesAfterReply = reply.closeConnection || !m_isKeptAlive;
    m_reply = fmt::format("HTTP/1.1 {} {}\r\n", reply.status, reasonPhrase(reply.status));
    for (const auto &header : reply.headers.all()) {
        m_reply += fmt::format("{}: {}\r\n", header.name, header.value);
    }
    m_reply += fmt::format("Content-Length: {}\r\nConnection: {}\r\n\r\n", reply.body.size(),
                           m_closesAfterReply ? "close" : "keep-alive");
    if (!m_isHeadRequest) {
        m_reply += reply.body;
    }
    m_replyWritten = 0;
    enter(Stage::Writing);
    write();
}

void InboundConnection::refuse(IntakeRefusal refusal, int status, const std::string &reason)
{
    m_owner->refused(refusal);
    HttpReply reply;
    reply.status = status;
    reply.closeConnection = true;
    reply.headers.add("Content-Type", "application/json");
    if (status == 503) {
        reply.headers.add("Retry-After", retryAfterSeconds);
    }
    reply.body = fmt::format(R"({{"error":"{}","remedy":"the request has not run; send it {}"}})",
                             reason, status == 503 ? "again later" : "within the limits");
    m_request = {};
    m_ahead.clear();
    m_stage = Stage::Handling;
    answer(std::move(reply));
}

void InboundConnection::write()
{
    asio::error_code error;
    while (!error && m_replyWritten < m_reply.size()) {
        m_replyWritten += m_socket.write_some(asio::buffer(m_reply) + m_replyWritten, error);
    }
    if (!error) {
        return written();
    }
    if (!isTryAgain(error)) {
        return close();
    }
    m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this()](const asio::error_code &failed) {
                            if (failed || self->m_owner == nullptr) {
                                return self->close();
                            }
                            self->write();
                        });
}

void InboundConnection::written()
{
    std::string().swap(m_reply);
    release();
    if (m_closesAfterReply) {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        enter(Stage::Lingering);
        return waitForBytes();
    }
    enter(Stage::Idle);
    m_isComplete = false;
    m_headBytes = 0;
    http_parser_init(&m_parser, HTTP_REQUEST);
    if (m_ahead.empty()) {
        return waitForBytes();
    }
    // On the loop, so that requests sent ahead don't nest.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_owner != nullptr && self->m_stage == Stage::Idle) {
            const auto ahead = std::exchange(self->m_ahead, {});
            self->parse(ahead.data(), ahead.size());
        }
    });
}

void InboundConnection::close()
{
    if (m_stage == Stage::Closed) {
        return;
    }
    const auto self = shared_from_this();
    release();
    m_stage = Stage::Closed;
    asio::error_code ignored;
    m_socket.close(ignored);
    if (m_owner != nullptr) {
        std::exchange(m_owner, nullptr)->closed(*this);
    }
}

void InboundConnection::detach()
{
    m_owner = nullptr;
    close();
}

void InboundConnection::checkTime(TimePoint now)
{
    const auto &limits = m_owner->limits();
    const auto inStage = now - m_since;
    switch (m_stage) {
    case Stage::Idle:
    case Stage::Writing:
        if (inStage > limits.exchangeTimeout) {
            close();
        }
        return;
    case Stage::Reading:
        if (inStage > limits.exchangeTimeout) {
            refuse(IntakeRefusal::TimedOut, 408, "the request took too long to send");
        } else if (now - m_receivedAt > limits.stallTimeout) {
            refuse(IntakeRefusal::Stalled, 408, "nothing more of the request has come");
        }
        return;
    case Stage::Lingering:
        if (inStage > lingerTime) {
            close();
        }
        return;
    case Stage::Handling:
    case Stage::Closed:
        return;
    }
}

void InboundConnection::hold(std::size_t bytes)
{
    m_heldBytes += bytes;
    m_owner->heldChanged(*this, static_cast<std::ptrdiff_t>(bytes));
}

void InboundConnection::release()
{
    m_request = {};
    m_url.clear();
    m_headerField.clear();
    m_headerValue.clear();
    const auto held = std::exchange(m_heldBytes, 0);
    if (m_owner != nullptr && held > 0) {
        m_owner->heldChanged(*this, -static_cast<std::ptrdiff_t>(held));
    }
}

int InboundConnection::stop(IntakeRefusal refusal, int status, const char *reason)
{
    m_stopRefusal = refusal;
    m_stopStatus = status;
    m_stopReason = reason;
    return stopParsing;
}

int InboundConnection::addToHead(std::size_t bytes)
{
    m_headBytes += bytes;
    if (m_headBytes > m_owner->limits().maxHeadBytes) {
        return stop(IntakeRefusal::Head, 431, "address and header fields are too long");
    }
    hold(bytes);
    return m_stage == Stage::Reading ? 0 : stopParsing;
}

void InboundConnection::takeHeader()
{
    if (!m_headerField.empty()) {
        m_request.headers.add(std::exchange(m_headerField, {}), std::exchange(m_headerValue, {}));
    }
    m_isValueLast = false;
}

int InboundConnection::onUrl(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<InboundConnection *>(parser->data);
    self.m_url.append(data, size);
    return self.addToHead(size);
}

int InboundConnection::onHeaderField(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<InboundConnection *>(parser->data);
    const bool isNew = self.m_isValueLast || self.m_headerField.empty();
    if (self.m_isValueLast) {
        self.takeHeader();
    }
    self.m_headerField.append(data, size);
    return self.addToHead(size + (isNew ? fieldOverheadBytes : 0));
}

int InboundConnection::onHeaderValue(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<InboundConnection *>(parser->data);
    self.m_isValueLast = true;
    self.m_headerValue.append(data, size);
    return self.addToHead(size);
}

int InboundConnection::onHeadersComplete(http_parser *parser)
{
    auto &self = *static_cast<InboundConnection *>(parser->data);
    self.takeHeader();
    const bool isAnnounced = (parser->flags & F_CONTENTLENGTH) != 0;
    if (isAnnounced && parser->content_length > self.m_owner->maxBodyBytes()) {
        return self.stop(IntakeRefusal::Body, 413, "the announced body is too long");
    }
    if (const auto expected = self.m_request.headers.find("Expect");
        expected && *expected == "100-continue") {
        // Small enough for the socket's buffer, which is empty now.
        asio::error_code ignored;
        self.m_socket.write_some(asio::buffer(std::string("HTTP/1.1 100 Continue\r\n\r\n")),
                                 ignored);
    }
    return 0;
}

int InboundConnection::onBody(http_parser *parser, const char *data, std::size_t size)
{
    auto &self = *static_cast<InboundConnection *>(parser->data);
    auto &body = self.m_request.body;
    if (body.size() + size > self.m_owner->maxBodyBytes()) {
        return self.stop(IntakeRefusal::Body, 413, "the body is too long");
    }
    const auto before = body.capacity();
    body.append(data, size);
    self.hold(body.capacity() - before);
    return self.m_stage == Stage::Reading ? 0 : stopParsing;
}

int InboundConnection::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<InboundConnection *>(parser->data);
    // Fields after a chunked body are not used.
    self.m_headerField.clear();
    self.m_headerValue.clear();
    self.m_isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &InboundConnection::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = &InboundConnection::onUrl;
        made.on_header_field = &InboundConnection::onHeaderField;
        made.on_header_value = &InboundConnection::onHeaderValue;
        made.on_headers_complete = &InboundConnection::onHeadersComplete;
        made.on_body = &InboundConnection::onBody;
        made.on_message_complete = &InboundConnection::onMessageComplete;
        return made;
    }();
    return settings;
}

} // namespace cyclamenlatch::net::detail
