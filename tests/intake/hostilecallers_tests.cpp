// Callers that don't keep to the limits: many bodies that never end, in large or very small chunks,
// bodies far over the limit, and connections that send nothing or read nothing. A real entry with a
// small machine has to live, to stay within its memory and descriptors, and to go on answering an
// ordinary caller beside them.
#include "net/sendandwait.h"
#include "net/tests/serverthread.h"
#include "platform/tests/hangingstore.h"
#include "store/base64.h"
#include "tests/jobs/childprocess.h"

#include <arpa/inet.h>
#include <asio/ip/tcp.hpp>
#include <dirent.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::testing {
namespace {

// The entry's machine, as its settings name it.
constexpr std::size_t memoryMib = 64;
constexpr std::size_t maxDescriptors = 512;

// Keeps the configuration and takes every job; leaves all other calls unanswered.
class SmallStore
{
public:
    std::string address() const { return m_server.address(); }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        net::HttpReply reply;
        if (request.path == "/v1/kv-range" && request.query.find("prefix=op/") == 0) {
            reply.body = fmt::format(
                    R"({{"items":[{{"key":"op/config","value":"{}","revision":2}}],"at":2}})",
                    store::toBase64(R"({"version":3,"routes":[{"name":"r","host":"h.example",)"
                                    R"("prefix":"/q/","service":"s","public":true}],"services":[],)"
                                    R"("tenants":[]})"));
            return respond(std::move(reply));
        }
        if (request.path == "/v1/kv-txn") {
            reply.body = R"({"revision":5})";
            return respond(std::move(reply));
        }
        m_server.leaveUnanswered(respond);
    }

    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

// A raw connection that stays open. What the entry does not take is given up after a while.
class RawConnection
{
public:
    explicit RawConnection(std::uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval patience{2, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(port);
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        // One that the entry does not take is as good as one that it closes.
        static_cast<void>(
                ::connect(m_socket, reinterpret_cast<const sockaddr *>(&peer), sizeof peer));
    }
    ~RawConnection() { ::close(m_socket); }
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    // Returns whether all of it was taken.
    bool send(const std::string &bytes) const
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto more =
                    ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (more <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(more);
        }
        return true;
    }

private:
    int m_socket;
};

class HostileCallerProcesses : public ::testing::Test
{
protected:
    HostileCallerProcesses()
    {
        const auto path = fmt::format("{}/hostile-{}.yaml", ::testing::TempDir(), getpid());
        m_callerPort = freePort();
        std::ofstream(path) << fmt::format(
                "node_name: edge-1\nzone: a\nip: 127.0.0.1\n"
                "listen_addrs: {{frontend: \"127.0.0.1:{}\", readiness: \"127.0.0.1:{}\"}}\n"
                "ephemeral_ports: [{}]\n"
                "limits: {{cpu_share: 1, cores: 1, memory_mb: {}, max_fds: {}}}\n"
                "platform: {{address: \"{}\"}}\n",
                m_callerPort, freePort(), freePort(), memoryMib, maxDescriptors, m_store.address());
        ::setenv("CYCLAMENLATCH_SETTINGS", path.c_str(), 1);
        m_entry = std::make_unique<ChildProcess>(std::vector<std::string>{ENTRY_PROGRAM, "serve"});
        m_entry->waitFor("rules-in-force");
    }

    static std::uint16_t freePort()
    {
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        return acceptor.local_endpoint().port();
    }

    static std::string head(const std::string &framing)
    {
        return "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h.example\r\n"
               "Content-Type: application/json\r\n"
               + framing + "\r\n\r\n";
    }

    static std::string chunk(std::size_t size)
    {
        return fmt::format("{:x}\r\n", size) + std::string(size, ' ') + "\r\n";
    }

    RawConnection &connect()
    {
        return *m_crowd.emplace_back(std::make_unique<RawConnection>(m_callerPort));
    }

    // Waits until the entry has taken what it is going to take: its memory no longer changes.
    void settle()
    {
        std::string last;
        for (int calm = 0, tries = 0; calm < 5 && tries < 200; ++tries) {
            ::usleep(100000);
            const auto now = status("VmRSS:");
            calm = now == last ? calm + 1 : 0;
            last = now;
        }
    }

    std::string status(const std::string &field) const
    {
        std::ifstream file(fmt::format("/proc/{}/status", m_entry->pid()));
        for (std::string name, value; file >> name;) {
            std::getline(file, value);
            if (name == field) {
                return value;
            }
        }
        return {};
    }

    std::size_t openDescriptors() const
    {
        std::size_t count = 0;
        if (auto *folder = ::opendir(fmt::format("/proc/{}/fd", m_entry->pid()).c_str())) {
            while (::readdir(folder) != nullptr) {
                ++count;
            }
            ::closedir(folder);
        }
        return count;
    }

    // Beside the crowd, whose connections are still open at its end.
    void expectOrdinaryService()
    {
        settle();
        EXPECT_LE(std::strtoul(status("VmHWM:").c_str(), nullptr, 10), memoryMib * 1024)
                << "KiB at the peak, of the machine's memory";
        EXPECT_LE(openDescriptors(), maxDescriptors);
        net::HttpCall call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/q/00000000000000aa", m_callerPort);
        call.headers.add("Host", "h.example");
        call.body = platform::tests::smallestJob;
        call.timeout = std::chrono::seconds(20);
        const auto answer = net::sendAndWait(m_client, std::move(call));
        ASSERT_TRUE(answer.reply) << answer.failure;
        EXPECT_EQ(answer.reply->status, 200) << answer.reply->body;
        EXPECT_FALSE(status("VmRSS:").empty()) << "the entry has ended";
    }

    SmallStore m_store;
    std::uint16_t m_callerPort = 0;
    std::unique_ptr<ChildProcess> m_entry;
    net::HttpClient m_client;
    std::vector<std::unique_ptr<RawConnection>> m_crowd;
};

TEST_F(HostileCallerProcesses, bodiesInLargeChunksThatStopShortOfTheirEnd)
{
    for (int caller = 0; caller < 320; ++caller) {
        auto &connection = connect();
        connection.send(head("Transfer-Encoding: chunked"));
        for (int part = 0; part < 15; ++part) {
            connection.send(chunk(std::size_t{16} * 1024));
        }
    }
    expectOrdinaryService();
}

TEST_F(HostileCallerProcesses, bodiesInChunksOfOneByteThatStopShortOfTheirEnd)
{
    std::string chunks;
    for (int part = 0; part < 40000; ++part) {
        chunks += chunk(1);
    }
    for (int caller = 0; caller < 320; ++caller) {
        auto &connection = connect();
        connection.send(head("Transfer-Encoding: chunked"));
        connection.send(chunks);
    }
    expectOrdinaryService();
}

TEST_F(HostileCallerProcesses, bodiesFarOverTheLimitAnnouncedOrJustSent)
{
    for (int caller = 0; caller < 120; ++caller) {
        auto &connection = connect();
        const bool isAnnounced = caller % 2 == 0;
        connection.send(
                head(isAnnounced ? "Content-Length: 8000000000" : "Transfer-Encoding: chunked"));
        for (int part = 0; part < 100; ++part) {
            if (!connection.send(isAnnounced ? std::string(10000, ' ') : chunk(10000))) {
                break;
            }
        }
    }
    expectOrdinaryService();
}

TEST_F(HostileCallerProcesses, connectionsThatNeverSendARequest)
{
    for (int caller = 0; caller < 700; ++caller) {
        auto &connection = connect();
        if (caller % 3 == 0) {
            connection.send("POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h.exa");
        }
    }
    expectOrdinaryService();
}

TEST_F(HostileCallerProcesses, requestsSentAheadWhoseAnswersAreNeverRead)
{
    std::string requests;
    for (int number = 0; number < 2000; ++number) {
        requests += "GET /other/ HTTP/1.1\r\nHost: h.example\r\n\r\n";
    }
    for (int caller = 0; caller < 60; ++caller) {
        connect().send(requests);
    }
    expectOrdinaryService();
}

} // namespace
} // namespace cyclamenlatch::testing
