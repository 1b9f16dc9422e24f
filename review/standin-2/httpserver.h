// A small HTTP/1.1 server for the stand-ins: one thread a connection, so that a handler may wait.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Reply
{
    int status = 200;
    std::string body;
};

// Without a reply the connection stays open, and nothing further is returned on it.
using Handler = std::function<std::optional<Reply>(const Request &)>;

// Reads one request from the socket; buffer holds what was read beyond it.
std::optional<Request> readRequest(int socket, std::string &buffer);

class HttpServer
{
public:
    HttpServer(std::uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

private:
    struct Shared
    {
        Handler handler;
        std::mutex mutex;
        std::set<int> sockets;
        std::atomic<bool> isStopped{false};
    };
    static void serve(std::shared_ptr<Shared> shared, int socket);

    std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
    int m_listener = -1;
    std::thread m_acceptor;
};

// Calls a server on a connection of its own. Status 0: no answer.
Reply callServer(const std::string &address, const std::string &method, const std::string &path,
                 const std::map<std::string, std::string> &headers, const std::string &body,
                 int timeoutMs);

// A port of the loopback address that is free now.
std::uint16_t freePort();

} // namespace review
