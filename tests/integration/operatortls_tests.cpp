// The operators' commands against a running entry that speaks TLS.
#include "net/sendandwait.h"
#include "src/net/tests/testcertificate.h"
#include "tests/jobs/childprocess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <memory>

namespace cyclamenlatch {
namespace {

using testing::ChildProcess;

// A port that was free a moment ago.
std::uint16_t freePort()
{
    asio::io_context context;
    const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    return asio::ip::tcp::acceptor(context, any).local_endpoint().port();
}

// The BLAKE2b-256 of the key's secret is that of "secret".
std::string settingsOf(std::uint16_t operatorPort, const net::TlsSettings &tls)
{
    return fmt::format("entry: e-a\ndataCentre: dc-a\n"
                       "callers: {{address: 127.0.0.1, port: 0}}\n"
                       "operators:\n  address: 127.0.0.1\n  port: {}\n"
                       "  tls: {{certificateFile: {}, keyFile: {}}}\n"
                       "  keys: [{{name: o-1, role: read, hash: "
                       "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e}}]\n"
                       "peers: {{address: 127.0.0.1, port: 0, secret: s}}\n"
                       "platform: http://127.0.0.1:1\nthreads: 2\n",
                       operatorPort, tls.certificateFile, tls.keyFile);
}

class TlsEntry
{
public:
    explicit TlsEntry(const net::TlsSettings &tls)
    {
        const auto path = fmt::format("{}/operatortls-{}.yaml", ::testing::TempDir(), getpid());
        // Somebody else may take the port in between; then the entry ends, and another is tried.
        while (m_callerPort.empty()) {
            m_port = freePort();
            std::ofstream(path) << settingsOf(m_port, tls);
            m_entry = std::make_unique<ChildProcess>(
                    std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
            m_callerPort = m_entry->waitFor(" on 127.0.0.1:");
        }
    }

    // Whether "status" prints the text.
    bool statusPrints(const std::string &text, const std::string &scheme,
                      const std::string &caFile) const
    {
        ChildProcess command({ENTRY_PROGRAM, "status", "--operator_url",
                              fmt::format("{}://127.0.0.1:{}", scheme, m_port), "--operator_key",
                              "o-1.secret", "--ca_file", caFile});
        return !command.waitFor(text).empty();
    }

private:
    std::unique_ptr<ChildProcess> m_entry;
    std::string m_callerPort;
    std::uint16_t m_port = 0;
};

TEST(OperatorTls, commandsNeedTheCertificateOfTheEntry)
{
    const auto files = testing::makeCertificate("entry");
    const TlsEntry entry(files);
    EXPECT_TRUE(entry.statusPrints("revision", "https", files.certificateFile));
    const auto other = testing::makeCertificate("other");
    EXPECT_TRUE(entry.statusPrints("with --ca_file", "https", other.certificateFile));
    EXPECT_TRUE(entry.statusPrints("no answer from", "http", ""));
}

TEST(OperatorTls, checkTellsOfAKeyThatDoesNotFit)
{
    auto files = testing::makeCertificate("checked");
    files.keyFile = testing::makeCertificate("stranger").keyFile;
    const auto path = fmt::format("{}/checktls-{}.yaml", ::testing::TempDir(), getpid());
    std::ofstream(path) << settingsOf(1, files);
    ChildProcess check({ENTRY_PROGRAM, "check", path});
    EXPECT_FALSE(check.waitFor("doesn't fit the certificate").empty());
}

TEST(OperatorTls, checkWantsBothFiles)
{
    const auto path = fmt::format("{}/halftls-{}.yaml", ::testing::TempDir(), getpid());
    auto settings = settingsOf(1, {"/c.pem", "/k.pem", {}});
    const std::string key = ", keyFile: /k.pem";
    std::ofstream(path) << settings.erase(settings.find(key), key.size());
    ChildProcess check({ENTRY_PROGRAM, "check", path});
    EXPECT_FALSE(check.waitFor("keyFile").empty());
}

} // namespace
} // namespace cyclamenlatch
