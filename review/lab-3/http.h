// A small HTTP/1.1 server and client on one event loop, for the stand-ins of this review.
#pragma once

#include <asio.hpp>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace lab {

using asio::awaitable;
using asio::use_awaitable;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline awaitable<void> pause(Ms time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
}

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    // 0: none came.
    int status = 0;
    std::string body;
};

inline std::string lower(std::string text)
{
    for (auto &letter : text) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return text;
}

inline std::string unescape(const std::string &text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            plain += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            plain += text[at] == '+' ? ' ' : text[at];
        }
    }
    return plain;
}

class Server
{
public:
    using Handler = std::function<awaitable<Response>(Request)>;

    Server(asio::io_context &context, const std::string &ip, unsigned short port, Handler handler)
        : m_context(context)
        , m_acceptor(context)
        , m_handler(std::move(handler))
    {
        const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(1024);
        asio::co_spawn(context, accept(), asio::detached);
    }

    // The connections that are open now get no more answers, and no reset; new ones work. Returns
    // their number.
    std::size_t silenceOpen()
    {
        std::size_t count = 0;
        for (const auto &connection : m_connections) {
            count += connection->isSilent ? 0 : 1;
            connection->isSilent = true;
        }
        return count;
    }

private:
    struct Connection
    {
        explicit Connection(tcp::socket from)
            : socket(std::move(from))
        {}
        tcp::socket socket;
        bool isSilent = false;
    };

    awaitable<void> accept()
    {
        while (true) {
            auto connection =
                    std::make_shared<Connection>(co_await m_acceptor.async_accept(use_awaitable));
            connection->socket.set_option(tcp::no_delay(true));
            m_connections.insert(connection);
            asio::co_spawn(m_context, serve(connection), asio::detached);
        }
    }

    awaitable<void> serve(std::shared_ptr<Connection> connection)
    {
        std::string buffer;
        asio::error_code error;
        while (true) {
            const auto head = co_await asio::async_read_until(
                    connection->socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                    asio::redirect_error(use_awaitable, error));
            if (error) {
                break;
            }
            Request request;
            std::istringstream lines(buffer.substr(0, head));
            std::string target;
            std::string line;
            lines >> request.method >> target;
            std::getline(lines, line);
            while (std::getline(lines, line) && line.size() > 1) {
                const auto colon = line.find(':');
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                value.erase(value.find_last_not_of("\r ") + 1);
                request.headers[lower(line.substr(0, colon))] = value;
            }
            buffer.erase(0, head);
            const auto length =
                    std::strtoul(request.headers["content-length"].c_str(), nullptr, 10);
            if (buffer.size() < length) {
                co_await asio::async_read(connection->socket, asio::dynamic_buffer(buffer),
                                          asio::transfer_exactly(length - buffer.size()),
                                          asio::redirect_error(use_awaitable, error));
                if (error) {
                    break;
                }
            }
            request.body = buffer.substr(0, length);
            buffer.erase(0, length);
            const auto mark = target.find('?');
            request.path = target.substr(0, mark);
            if (mark != std::string::npos) {
                std::istringstream pairs(target.substr(mark + 1));
                std::string pair;
                while (std::getline(pairs, pair, '&')) {
                    const auto equals = pair.find('=');
                    request.query[pair.substr(0, equals)] =
                            equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
                }
            }
            if (connection->isSilent) {
                // What is sent on it arrives nowhere.
                continue;
            }
            const auto response = co_await m_handler(std::move(request));
            if (connection->isSilent) {
                continue;
            }
            if (response.status == 0) {
                break;
            }
            const auto text = "HTTP/1.1 " + std::to_string(response.status)
                              + " X\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
            co_await asio::async_write(connection->socket, asio::buffer(text),
                                       asio::redirect_error(use_awaitable, error));
            if (error) {
                break;
            }
        }
        connection->socket.close(error);
        m_connections.erase(connection);
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    const Handler m_handler;
    std::set<std::shared_ptr<Connection>> m_connections;
};

// One request on a connection of its own; status 0 if no whole answer came in time.
inline awaitable<Response> call(std::string ip, unsigned short port, std::string method,
                                std::string path, std::map<std::string, std::string> headers,
                                std::string body, Ms timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    auto socket = std::make_shared<tcp::socket>(executor);
    auto timer = std::make_shared<asio::steady_timer>(executor, timeout);
    timer->async_wait([socket, timer](const asio::error_code &error) {
        if (!error) {
            asio::error_code ignored;
            socket->close(ignored);
        }
    });
    Response response;
    asio::error_code error;
    co_await socket->async_connect({asio::ip::make_address(ip), port},
                                   asio::redirect_error(use_awaitable, error));
    if (!error) {
        std::string text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
        for (const auto &[name, value] : headers) {
            text += name + ": " + value + "\r\n";
        }
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await asio::async_write(*socket, asio::buffer(text),
                                   asio::redirect_error(use_awaitable, error));
        std::string answer;
        co_await asio::async_read(*socket, asio::dynamic_buffer(answer),
                                  asio::redirect_error(use_awaitable, error));
        const auto head = answer.find("\r\n\r\n");
        if (head != std::string::npos && answer.size() > 12) {
            response.status = std::atoi(answer.substr(9, 3).c_str());
            response.body = answer.substr(head + 4);
        }
    }
    timer->cancel();
    co_return response;
}

} // namespace lab
