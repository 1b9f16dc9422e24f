// An entry with an operator interface as a real process, and the operators' commands against it.
#pragma once

#include "net/tlssettings.h"
#include "tests/integration/ownaddress.h"
#include "tests/jobs/childprocess.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::testing {

struct OperatedEntrySettings
{
    std::string name = "e-a";
    std::string platformUrl = "http://127.0.0.1:1";
    std::optional<net::TlsSettings> tls;
    // Lines of "seeds".
    std::string seeds;
};

class OperatedEntry
{
public:
    explicit OperatedEntry(const OperatedEntrySettings &settings)
        : m_scheme(settings.tls ? "https" : "http")
    {
        const auto path = fmt::format("{}/operated-{}-{}.yaml", ::testing::TempDir(), settings.name,
                                      getpid());
        // Somebody else may take a port in between; then the entry ends, and others are tried.
        while (m_callerPort.empty()) {
            m_port = freePort();
            m_peerPort = freePort();
            std::ofstream(path) << textOf(settings, m_port, m_peerPort);
            m_process = std::make_unique<ChildProcess>(
                    std::vector<std::string>{ENTRY_PROGRAM, "serve", "--config", path});
            m_callerPort = m_process->waitFor(" on 127.0.0.1:");
        }
    }

    // The rest of the line behind the text in what a command prints; empty when it doesn't.
    std::string ask(std::vector<std::string> command, const std::string &text,
                    const std::string &caFile = "", const std::string &scheme = "") const
    {
        command.insert(command.begin(), ENTRY_PROGRAM);
        for (const auto &flag :
             {std::string("--operator_url"),
              fmt::format("{}://127.0.0.1:{}", scheme.empty() ? m_scheme : scheme, m_port),
              std::string("--operator_key"), std::string("o-1.secret"), std::string("--ca_file"),
              caFile}) {
            command.push_back(flag);
        }
        return ChildProcess(command).waitFor(text);
    }

    std::string seed(const std::string &name) const
    {
        return fmt::format("    - {{entry: {}, dataCentre: dc-a, address: 127.0.0.1, port: {}}}\n",
                           name, m_peerPort);
    }

    ChildProcess &process() { return *m_process; }

    // The BLAKE2b-256 of the key's secret is that of "secret".
    static std::string textOf(const OperatedEntrySettings &settings, std::uint16_t operatorPort,
                              std::uint16_t peerPort)
    {
        const auto tls = settings.tls
                                 ? fmt::format("  tls: {{certificateFile: {}, keyFile: {}}}\n",
                                               settings.tls->certificateFile, settings.tls->keyFile)
                                 : std::string();
        return fmt::format("entry: {}\ndataCentre: dc-a\n"
                           "callers: {{address: 127.0.0.1, port: 0}}\n"
                           "operators:\n  address: 127.0.0.1\n  port: {}\n{}"
                           "  keys: [{{name: o-1, role: operate, hash: "
                           "ae4aafb3c7d8616b739f05a30d06b4e2236fdea712168159f346e8a3efd57d9e}}]\n"
                           "peers:\n  address: 127.0.0.1\n  port: {}\n  secret: {}\n  seeds:\n{}"
                           "platform: {}\nthreads: 2\n",
                           settings.name, operatorPort, tls, peerPort, ownSecret(), settings.seeds,
                           settings.platformUrl);
    }

private:
    // A port that was free a moment ago.
    static std::uint16_t freePort()
    {
        asio::io_context context;
        const asio::ip::tcp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
        return asio::ip::tcp::acceptor(context, any).local_endpoint().port();
    }

    std::string m_scheme;
    std::unique_ptr<ChildProcess> m_process;
    std::string m_callerPort;
    std::uint16_t m_port = 0;
    std::uint16_t m_peerPort = 0;
};

} // namespace cyclamenlatch::testing
