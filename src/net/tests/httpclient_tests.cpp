// A client on its caller's context: what becomes of calls that are given up.
#include "net/httpclient.h"

#include <gtest/gtest.h>

#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace cyclamenlatch::net {

// ONE on a trial day without fences: an order that a partition had held up arrived 5 s after its
// holder had given it up and lost its lease.
TEST(HttpClient, resetsTheConnectionOfACallThatItGivesUp)
{
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor(serverContext,
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::optional<asio::error_code> ended;
    std::thread server([&] {
        auto socket = acceptor.accept();
        std::array<char, 1024> bytes{};
        asio::error_code error;
        while (!error) {
            socket.read_some(asio::buffer(bytes), error);
        }
        ended = error;
    });
    asio::io_context context;
    {
        HttpClient client(context, 4);
        HttpCall call;
        call.method = "POST";
        call.url =
                "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) + "/order";
        call.body = "{}";
        call.timeout = std::chrono::milliseconds(100);
        bool isDone = false;
        client.send(std::move(call), [&](const HttpCallResult &) { isDone = true; });
        while (!isDone) {
            context.run_one();
        }
    }
    server.join();
    EXPECT_EQ(ended, asio::error::connection_reset);
}

} // namespace cyclamenlatch::net
