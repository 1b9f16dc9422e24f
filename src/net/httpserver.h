// HTTP server over RESTinio, which stays behind this header because it is slow to compile.
#pragma once

#include "global/result.h"
#include "net/httpreply.h"
#include "net/httprequest.h"
#include "net/httpserversettings.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace cyclamenlatch::net {

// Sends the reply; must be called exactly once, from any thread.
using HttpResponder = std::function<void(HttpReply)>;
// Runs on a thread of the io_context and must not block.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer
{
public:
    HttpServer(asio::io_context &context, HttpServerSettings settings, HttpHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Starts to listen; fails when the address is taken or not ours.
    Result<void> start();
    std::uint16_t port() const;
    // Requests whose reply has not been handed to the system whole.
    std::size_t openRequests() const;
    // Stops accepting connections and closes those that are open.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_private;
};

} // namespace cyclamenlatch::net
