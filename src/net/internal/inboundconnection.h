// One connection of a LoopHttpServer: reads a request within limits, hands it over, writes its
// answer.
#pragma once

#include "global/time.h"
#include "net/httpreply.h"
#include "net/httprequest.h"
#include "net/intakelimits.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::net::detail {

class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
    enum class Stage {
        // Nothing of a request has come yet.
        Idle,
        Reading,
        // The request is whole and not answered yet.
        Handling,
        Writing,
        // A refusal was written; what still comes is thrown away, so that the caller reads the
        // refusal and not a reset.
        Lingering,
        Closed,
    };

    // The server of the connection, which may end before it.
    class Owner
    {
    public:
        virtual ~Owner() = default;
        virtual const IntakeLimits &limits() const = 0;
        virtual std::size_t maxBodyBytes() const = 0;
        // Buffer for bytes that are read and taken at once; shared by all connections.
        virtual std::vector<char> &readBuffer() = 0;
        // The connection holds so many bytes more, or less.
        virtual void heldChanged(InboundConnection &connection, std::ptrdiff_t change) = 0;
        virtual void refused(IntakeRefusal refusal) = 0;
        virtual void requestComplete(InboundConnection &connection, HttpRequest request) = 0;
        virtual void closed(InboundConnection &connection) = 0;
    };

    InboundConnection(Owner &owner, asio::ip::tcp::socket socket);

    void start();
    // The answer to the request that was handed over last; does nothing if the connection has
    // ended.
    void answer(HttpReply reply);
    // Answers the unfinished or unanswered request with this status, and closes the connection.
    void refuse(IntakeRefusal refusal, int status, const std::string &reason);
    // Closes at once, without an answer.
    void close();
    // The server has ended.
    void detach();
    // Ends what takes too long.
    void checkTime(TimePoint now);

    Stage stage() const { return m_stage; }
    // When the stage began.
    TimePoint since() const { return m_since; }

private:
    void enter(Stage stage);
    void waitForBytes();
    void read();
    void parse(const char *data, std::size_t size);
    void finishRequest();
    void write();
    void written();
    void hold(std::size_t bytes);
    void release();
    // Remembers why parsing has stopped; returns the parser's sign to stop.
    int stop(IntakeRefusal refusal, int status, const char *reason);
    int addToHead(std::size_t bytes);
    void takeHeader();

    static int onUrl(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderField(http_parser *parser, const char *data, std::size_t size);
    static int onHeaderValue(http_parser *parser, const char *data, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *data, std::size_t size);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    // Null when the connection or the server has ended.
    Owner *m_owner;
    // A wait for bytes is under way.
    bool m_isWaiting = false;
    asio::ip::tcp::socket m_socket;
    Stage m_stage = Stage::Idle;
    TimePoint m_since;
    // When the last bytes of the request came.
    TimePoint m_receivedAt;
    http_parser m_parser{};
    HttpRequest m_request;
    std::string m_url;
    std::string m_headerField;
    std::string m_headerValue;
    bool m_isValueLast = false;
    std::size_t m_headBytes = 0;
    bool m_isComplete = false;
    bool m_isKeptAlive = false;
    bool m_isHeadRequest = false;
    // Counted by the owner; zero between requests.
    std::size_t m_heldBytes = 0;
    // Why the parser was stopped; a status of 0: it was not.
    IntakeRefusal m_stopRefusal = IntakeRefusal::Malformed;
    int m_stopStatus = 0;
    const char *m_stopReason = "";
    // What has been read of later requests.
    std::string m_ahead;
    std::string m_reply;
    std::size_t m_replyWritten = 0;
    bool m_closesAfterReply = false;
};

} // namespace cyclamenlatch::net::detail
