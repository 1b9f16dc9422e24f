// An in-process minion on a raw socket whose behaviour on each connection is set by the test, so
// that it can violate the protocol. It listens on an ephemeral port and uses one thread for each
// connection.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenlatch::dispatch::testing {

using Socket = asio::ip::tcp::socket;

// Reads one request and returns its header and body; empty when the peer closed the connection.
inline std::string readRequest(Socket &socket)
{
    std::string text;
    std::array<char, 4096> buffer{};
    for (;;) {
        asio::error_code error;
        const auto count = socket.read_some(asio::buffer(buffer), error);
        if (error) {
            return {};
        }
        text.append(buffer.data(), count);
        const auto headerEnd = text.find("\r\n\r\n");
        if (headerEnd == std::string::npos) {
            continue;
        }
        const auto field = text.find("Content-Length: ");
        const std::size_t length = field == std::string::npos
                                           ? 0
                                           : std::strtoull(text.c_str() + field + 16, nullptr, 10);
        if (text.size() >= headerEnd + 4 + length) {
            return text;
        }
    }
}

inline std::string fieldOf(const std::string &request, const std::string &name)
{
    const auto start = request.find("\r\n" + name + ": ");
    if (start == std::string::npos) {
        return {};
    }
    const auto begin = start + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

inline std::string answer(const std::string &requestId, const std::string &body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nRequest-Id: " + requestId
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline void send(Socket &socket, const std::string &text)
{
    asio::error_code error;
    asio::write(socket, asio::buffer(text), error);
}

class RawMinion
{
public:
    // Serves one connection; connections are numbered from 0.
    using Behaviour = std::function<void(Socket &, int connection, RawMinion &)>;

    explicit RawMinion(Behaviour behaviour)
        : m_behaviour(std::move(behaviour))
        , m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
        , m_acceptThread([this] { accept(); })
    {}

    ~RawMinion()
    {
        m_stopping = true;
        // Wakes the thread that accepts connections.
        asio::error_code error;
        Socket(m_context).connect(m_acceptor.local_endpoint(), error);
        m_acceptThread.join();
        {
            const std::lock_guard lock(m_mutex);
            for (auto &socket : m_sockets) {
                socket->shutdown(Socket::shutdown_both, error);
            }
        }
        for (auto &thread : m_threads) {
            thread.join();
        }
    }
    RawMinion(const RawMinion &) = delete;
    RawMinion &operator=(const RawMinion &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    // Counts a start of the work; called by behaviours.
    void noteRun() { ++m_runs; }
    int runs() const { return m_runs; }
    // Closes the connection with a TCP reset. Takes the lock, since the destructor accesses the
    // sockets of connections that are still being served.
    void reset(Socket &socket)
    {
        const std::lock_guard lock(m_mutex);
        asio::error_code error;
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

private:
    void accept()
    {
        for (int connection = 0;; ++connection) {
            auto socket = std::make_unique<Socket>(m_context);
            asio::error_code error;
            m_acceptor.accept(*socket, error);
            if (m_stopping || error) {
                return;
            }
            const std::lock_guard lock(m_mutex);
            auto &connectionSocket = *m_sockets.emplace_back(std::move(socket));
            m_threads.emplace_back([this, &connectionSocket, connection] {
                m_behaviour(connectionSocket, connection, *this);
                asio::error_code ignored;
                connectionSocket.shutdown(Socket::shutdown_both, ignored);
            });
        }
    }

    Behaviour m_behaviour;
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_runs = 0;
    std::mutex m_mutex;
    // Guarded by m_mutex, which must also be held while a socket is closed.
    std::vector<std::unique_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

// Answer to a probe. running is the value of Minion-Running, "yes" or "no", or empty to omit it.
inline std::string probeAnswer(const std::string &running)
{
    const auto field = running.empty() ? "" : "Minion-Running: " + running + "\r\n";
    return "HTTP/1.1 200 x\r\n" + field + "Content-Length: 0\r\n\r\n";
}

// Answers every request on the connection correctly, including probes.
inline void serveCorrectly(Socket &socket, RawMinion &minion, const std::string &body,
                           const std::string &running = "no")
{
    for (auto request = readRequest(socket); !request.empty(); request = readRequest(socket)) {
        if (!request.starts_with("POST /run")) {
            send(socket, probeAnswer(running));
            continue;
        }
        minion.noteRun();
        send(socket, answer(fieldOf(request, "Request-Id"), body));
    }
}

} // namespace cyclamenlatch::dispatch::testing
