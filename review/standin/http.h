// A small HTTP/1.1 server and client on one event loop, for the stand-ins of the review.
#pragma once

#include <asio.hpp>
#include <http_parser.h>

#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace review {

struct Message
{
    std::string method;
    std::string url;
    int status = 0;
    // By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // Number of the connection that a request came on.
    std::uint64_t connection = 0;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string{} : found->second;
    }
    std::string path() const { return url.substr(0, url.find('?')); }
    // Value of a field of the query, percent-decoded.
    std::string query(const std::string &name) const;
};

// Collects one message at a time from a connection.
class MessageParser
{
public:
    explicit MessageParser(http_parser_type type);
    // Returns whether the message is complete; malformed input throws.
    bool feed(const char *data, std::size_t size);
    Message take();

private:
    void finishHeader();

    http_parser_type m_type;
    http_parser m_parser{};
    http_parser_settings m_settings{};
    Message m_message;
    std::string m_url;
    std::string m_field;
    std::string m_value;
    bool m_isValueLast = false;
    bool m_isComplete = false;
};

struct Answer
{
    // 0: the call is never answered.
    int status = 200;
    std::string body;
};
using Respond = std::function<void(Answer)>;
using Handler = std::function<void(const Message &, Respond)>;

// Listens on one address. A cut server keeps connections open, reads nothing from them and answers
// nothing, as behind a network partition.
class Server : public std::enable_shared_from_this<Server>
{
public:
    static std::shared_ptr<Server> listen(asio::io_context &context, const std::string &ip,
                                          std::uint16_t port, Handler handler);
    std::string address() const;
    void cut();
    // Ends the connections of the time of the cut.
    void heal();
    // Resets all connections and refuses new ones, as after a crash.
    void close();
    // Listens again on the same address.
    void reopen();
    // Resets the connections and goes on listening.
    void reset();
    bool isOpen() const { return m_acceptor.is_open(); }
    bool isCut() const { return m_isCut; }

private:
    struct Connection;
    Server(asio::io_context &context, Handler handler)
        : m_context(context)
        , m_acceptor(context)
        , m_handler(std::move(handler))
    {}
    void open();
    void accept();
    void resetConnections();
    void read(const std::shared_ptr<Connection> &connection);

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_endpoint;
    asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::map<Connection *, std::weak_ptr<Connection>> m_connections;
    bool m_isCut = false;
};

struct CallResult
{
    // Absent: no whole answer came in time.
    std::optional<Message> answer;
};

// One call on a connection of its own.
void call(asio::io_context &context, const std::string &address, const std::string &method,
          const std::string &path, const std::map<std::string, std::string> &headers,
          const std::string &body, std::chrono::milliseconds timeout,
          std::function<void(CallResult)> done);

} // namespace review
