#include "httpserver.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <random>
#include <stdexcept>

namespace review {

namespace {

std::string decoded(const std::string &text)
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

bool readMore(int socket, std::string &buffer)
{
    char bytes[16384];
    const auto size = ::recv(socket, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool writeAll(int socket, const std::string &text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        const auto size = ::send(socket, text.data() + done, text.size() - done, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(size);
    }
    return true;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void parseHead(const std::string &head, Request &request)
{
    std::size_t begin = 0;
    bool isFirst = true;
    while (begin < head.size()) {
        const auto end = std::min(head.find("\r\n", begin), head.size());
        const auto line = head.substr(begin, end - begin);
        begin = end + 2;
        if (isFirst) {
            isFirst = false;
            const auto first = line.find(' ');
            const auto second = line.find(' ', first + 1);
            request.method = line.substr(0, first);
            auto target = line.substr(first + 1, second - first - 1);
            const auto mark = target.find('?');
            request.path = target.substr(0, mark);
            std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
            while (!rest.empty()) {
                const auto amp = rest.find('&');
                const auto pair = rest.substr(0, amp);
                rest = amp == std::string::npos ? "" : rest.substr(amp + 1);
                const auto equals = pair.find('=');
                request.query[pair.substr(0, equals)] =
                        equals == std::string::npos ? "" : decoded(pair.substr(equals + 1));
            }
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            request.headers[lower(line.substr(0, colon))] = value;
        }
    }
}

} // namespace

std::optional<Request> readRequest(int socket, std::string &buffer)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(socket, buffer)) {
            return std::nullopt;
        }
    }
    Request request;
    parseHead(buffer.substr(0, end), request);
    const auto length = request.headers.contains("content-length")
                                ? std::stoul(request.headers["content-length"])
                                : 0;
    while (buffer.size() < end + 4 + length) {
        if (!readMore(socket, buffer)) {
            return std::nullopt;
        }
    }
    request.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return request;
}

HttpServer::HttpServer(std::uint16_t port, Handler handler)
{
    m_shared->handler = std::move(handler);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = loopback(port);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(m_listener, 256) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    m_acceptor = std::thread([shared = m_shared, listener = m_listener] {
        while (!shared->isStopped) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(shared->mutex);
                if (shared->isStopped) {
                    ::close(socket);
                    return;
                }
                shared->sockets.insert(socket);
            }
            std::thread([shared, socket] { serve(shared, socket); }).detach();
        }
    });
}

// As when a process ends: nobody listens any more, and open connections are reset or closed.
HttpServer::~HttpServer()
{
    m_shared->isStopped = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    const std::lock_guard lock(m_shared->mutex);
    for (const int socket : m_shared->sockets) {
        ::shutdown(socket, SHUT_RDWR);
    }
}

void HttpServer::serve(std::shared_ptr<Shared> shared, int socket)
{
    std::string buffer;
    while (!shared->isStopped) {
        const auto request = readRequest(socket, buffer);
        if (!request) {
            break;
        }
        const auto reply = shared->handler(*request);
        if (!reply) {
            // Nothing further is returned here: wait until the peer gives up.
            while (readMore(socket, buffer)) {
            }
            break;
        }
        std::string text = "HTTP/1.1 " + std::to_string(reply->status)
                           + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                           + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
        if (shared->isStopped || !writeAll(socket, text)) {
            break;
        }
    }
    {
        const std::lock_guard lock(shared->mutex);
        shared->sockets.erase(socket);
    }
    ::close(socket);
}

Reply callServer(const std::string &address, const std::string &method, const std::string &path,
                 const std::map<std::string, std::string> &headers, const std::string &body,
                 int timeoutMs)
{
    Reply reply;
    reply.status = 0;
    const auto port =
            static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    const auto peer = loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        ::close(socket);
        return reply;
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string answer;
    if (writeAll(socket, text)) {
        while (answer.find("\r\n\r\n") == std::string::npos && readMore(socket, answer)) {
        }
        const auto end = answer.find("\r\n\r\n");
        if (end != std::string::npos && answer.size() > 12) {
            const auto head = lower(answer.substr(0, end));
            const auto mark = head.find("content-length:");
            const auto length = mark == std::string::npos ? 0 : std::stoul(head.substr(mark + 15));
            while (answer.size() < end + 4 + length && readMore(socket, answer)) {
            }
            if (answer.size() >= end + 4 + length) {
                reply.status = std::stoi(answer.substr(9, 3));
                reply.body = answer.substr(end + 4, length);
            }
        }
    }
    ::close(socket);
    return reply;
}

std::uint16_t freePort()
{
    // Below the range of ports that outgoing connections take.
    constexpr int lowest = 12000;
    constexpr int highest = 32000;
    static std::mutex mutex;
    static std::set<int> taken;
    static std::mt19937 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    while (true) {
        const int port = std::uniform_int_distribution<>(lowest, highest)(random);
        if (taken.contains(port)) {
            continue;
        }
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(static_cast<std::uint16_t>(port));
        const bool isFree =
                ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (isFree) {
            taken.insert(port);
            return static_cast<std::uint16_t>(port);
        }
    }
}

} // namespace review
