// The server and the client of http.h.
#include "http.h"

#include <stdexcept>

namespace review {

std::string Message::query(const std::string &name) const
{
    const auto start = url.find('?');
    std::size_t at = start == std::string::npos ? url.size() : start + 1;
    while (at < url.size()) {
        const auto end = std::min(url.find('&', at), url.size());
        const auto pair = url.substr(at, end - at);
        const auto equals = pair.find('=');
        if (equals != std::string::npos && pair.substr(0, equals) == name) {
            std::string value;
            for (std::size_t index = equals + 1; index < pair.size(); ++index) {
                if (pair[index] == '%' && index + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(index + 1, 2), nullptr, 16));
                    index += 2;
                } else {
                    value += pair[index];
                }
            }
            return value;
        }
        at = end + 1;
    }
    return {};
}

MessageParser::MessageParser(http_parser_type type)
    : m_type(type)
{
    http_parser_init(&m_parser, type);
    m_parser.data = this;
    http_parser_settings_init(&m_settings);
    m_settings.on_url = [](http_parser *parser, const char *data, std::size_t size) {
        static_cast<MessageParser *>(parser->data)->m_url.append(data, size);
        return 0;
    };
    m_settings.on_header_field = [](http_parser *parser, const char *data, std::size_t size) {
        auto &self = *static_cast<MessageParser *>(parser->data);
        if (self.m_isValueLast) {
            self.finishHeader();
        }
        self.m_field.append(data, size);
        return 0;
    };
    m_settings.on_header_value = [](http_parser *parser, const char *data, std::size_t size) {
        auto &self = *static_cast<MessageParser *>(parser->data);
        self.m_isValueLast = true;
        self.m_value.append(data, size);
        return 0;
    };
    m_settings.on_headers_complete = [](http_parser *parser) {
        static_cast<MessageParser *>(parser->data)->finishHeader();
        return 0;
    };
    m_settings.on_body = [](http_parser *parser, const char *data, std::size_t size) {
        static_cast<MessageParser *>(parser->data)->m_message.body.append(data, size);
        return 0;
    };
    m_settings.on_message_complete = [](http_parser *parser) {
        static_cast<MessageParser *>(parser->data)->m_isComplete = true;
        http_parser_pause(parser, 1);
        return 0;
    };
}

void MessageParser::finishHeader()
{
    if (!m_field.empty()) {
        for (auto &letter : m_field) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        m_message.headers[m_field] = m_value;
    }
    m_field.clear();
    m_value.clear();
    m_isValueLast = false;
}

bool MessageParser::feed(const char *data, std::size_t size)
{
    http_parser_execute(&m_parser, &m_settings, data, size);
    if (!m_isComplete && HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        throw std::runtime_error("malformed HTTP");
    }
    return m_isComplete;
}

Message MessageParser::take()
{
    m_message.url = std::exchange(m_url, {});
    m_message.method = m_type == HTTP_REQUEST
                               ? http_method_str(static_cast<http_method>(m_parser.method))
                               : "";
    m_message.status = static_cast<int>(m_parser.status_code);
    auto message = std::exchange(m_message, {});
    m_isComplete = false;
    http_parser_init(&m_parser, m_type);
    m_parser.data = this;
    return message;
}

struct Server::Connection
{
    explicit Connection(asio::ip::tcp::socket peer)
        : socket(std::move(peer))
        , parser(HTTP_REQUEST)
    {}
    asio::ip::tcp::socket socket;
    MessageParser parser;
    std::array<char, 65536> buffer{};
    std::string reply;
    bool isDead = false;
    std::uint64_t number = 0;
};

std::shared_ptr<Server> Server::listen(asio::io_context &context, const std::string &ip,
                                       std::uint16_t port, Handler handler)
{
    auto server = std::shared_ptr<Server>(new Server(context, std::move(handler)));
    server->m_endpoint = {asio::ip::make_address(ip), port};
    server->open();
    return server;
}

void Server::open()
{
    m_acceptor = asio::ip::tcp::acceptor(m_context);
    m_acceptor.open(m_endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_endpoint);
    m_acceptor.listen();
    m_endpoint = m_acceptor.local_endpoint();
    accept();
}

std::string Server::address() const
{
    return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
}

void Server::cut()
{
    m_isCut = true;
    for (const auto &[key, weak] : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->isDead = true;
        }
    }
}

void Server::heal()
{
    m_isCut = false;
    for (const auto &[key, weak] : m_connections) {
        const auto connection = weak.lock();
        if (connection && connection->isDead) {
            asio::error_code ignored;
            connection->socket.close(ignored);
        }
    }
}

void Server::close()
{
    asio::error_code ignored;
    m_acceptor.close(ignored);
    resetConnections();
}

void Server::reset()
{
    resetConnections();
}

void Server::resetConnections()
{
    asio::error_code ignored;
    for (const auto &[key, weak] : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->isDead = true;
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
    }
}

void Server::reopen()
{
    open();
}

void Server::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](const asio::error_code &error,
                                                        asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto connection = std::make_shared<Connection>(std::move(socket));
        connection->isDead = self->m_isCut;
        static std::uint64_t lastNumber = 0;
        connection->number = ++lastNumber;
        self->m_connections[connection.get()] = connection;
        self->read(connection);
        self->accept();
    });
}

void Server::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
            asio::buffer(connection->buffer),
            [self = shared_from_this(), connection](const asio::error_code &error,
                                                    std::size_t size) {
                if (error) {
                    self->m_connections.erase(connection.get());
                    return;
                }
                if (connection->isDead) {
                    // What arrives during a cut is lost; the connection never answers again.
                    return self->read(connection);
                }
                bool isComplete = false;
                try {
                    isComplete = connection->parser.feed(connection->buffer.data(), size);
                } catch (const std::exception &) {
                    self->m_connections.erase(connection.get());
                    return;
                }
                if (!isComplete) {
                    return self->read(connection);
                }
                auto message = connection->parser.take();
                message.connection = connection->number;
                self->m_handler(message, [self, connection](Answer answer) {
                    if (answer.status == 0 || connection->isDead) {
                        return;
                    }
                    connection->reply = "HTTP/1.1 " + std::to_string(answer.status)
                                        + " -\r\nContent-Type: application/json\r\nContent-Length: "
                                        + std::to_string(answer.body.size()) + "\r\n\r\n"
                                        + answer.body;
                    asio::async_write(connection->socket, asio::buffer(connection->reply),
                                      [connection](const auto &, std::size_t) {});
                });
                self->read(connection);
            });
}

namespace {

struct Outgoing : std::enable_shared_from_this<Outgoing>
{
    explicit Outgoing(asio::io_context &context)
        : socket(context)
        , timer(context)
        , parser(HTTP_RESPONSE)
    {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    MessageParser parser;
    std::string request;
    std::array<char, 65536> buffer{};
    std::function<void(CallResult)> done;

    void finish(CallResult result)
    {
        if (auto callback = std::exchange(done, nullptr)) {
            asio::error_code ignored;
            timer.cancel();
            socket.close(ignored);
            callback(std::move(result));
        }
    }
    void read()
    {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this()](const auto &error, std::size_t size) {
                                   if (error) {
                                       return self->finish({});
                                   }
                                   try {
                                       if (self->parser.feed(self->buffer.data(), size)) {
                                           return self->finish({self->parser.take()});
                                       }
                                   } catch (const std::exception &) {
                                       return self->finish({});
                                   }
                                   self->read();
                               });
    }
};

} // namespace

void call(asio::io_context &context, const std::string &address, const std::string &method,
          const std::string &path, const std::map<std::string, std::string> &headers,
          const std::string &body, std::chrono::milliseconds timeout,
          std::function<void(CallResult)> done)
{
    auto outgoing = std::make_shared<Outgoing>(context);
    outgoing->done = std::move(done);
    outgoing->request = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        outgoing->request += name + ": " + value + "\r\n";
    }
    outgoing->request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    outgoing->timer.expires_after(timeout);
    outgoing->timer.async_wait([outgoing](const auto &error) {
        if (!error) {
            outgoing->finish({});
        }
    });
    const auto colon = address.rfind(':');
    const asio::ip::tcp::endpoint endpoint(
            asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    outgoing->socket.async_connect(endpoint, [outgoing](const auto &error) {
        if (error) {
            return outgoing->finish({});
        }
        asio::async_write(outgoing->socket, asio::buffer(outgoing->request),
                          [outgoing](const auto &failed, std::size_t) {
                              if (failed) {
                                  outgoing->finish({});
                              }
                          });
        outgoing->read();
    });
}

} // namespace review
