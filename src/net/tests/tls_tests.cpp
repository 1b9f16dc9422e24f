// A server with a certificate: who may read it, and what happens when its files change.
#include "net/httpserver.h"
#include "net/internal/tlsidentity.h"
#include "net/sendandwait.h"
#include "net/tests/testcertificate.h"
#include "net/workerthreads.h"

#include <gtest/gtest.h>

#include <fstream>
#include <thread>

namespace cyclamenlatch::net {
namespace {

using testing::copyCertificate;
using testing::makeCertificate;

class TlsServer
{
public:
    explicit TlsServer(const TlsSettings &tls)
        : m_server(m_threads.context(), settings(tls), [](HttpRequest request, auto respond) {
            HttpReply reply;
            reply.body = std::move(request.body);
            respond(std::move(reply));
        })
    {
        const auto started = m_server.start();
        EXPECT_TRUE(started) << started.error().toString();
    }
    ~TlsServer()
    {
        m_server.stop();
        m_threads.stop();
    }
    TlsServer(const TlsServer &) = delete;
    TlsServer &operator=(const TlsServer &) = delete;

    HttpCallResult ask(const std::string &caFile, const std::string &body = "hello")
    {
        HttpCall call;
        call.method = "POST";
        call.url = fmt::format("https://127.0.0.1:{}/", m_server.port());
        call.body = body;
        call.caFile = caFile;
        call.freshConnection = true;
        HttpClient client;
        return sendAndWait(client, std::move(call));
    }

private:
    static HttpServerSettings settings(TlsSettings tls)
    {
        tls.reloadInterval = std::chrono::milliseconds(10);
        HttpServerSettings server;
        server.tls = std::move(tls);
        return server;
    }

    WorkerThreads m_threads{2};
    HttpServer m_server;
};

TEST(Tls, answersAClientThatTrustsTheCertificate)
{
    const auto files = makeCertificate("trusted");
    TlsServer server(files);
    const std::string large(std::size_t{1} << 20, 'x');
    const auto result = server.ask(files.certificateFile, large);
    ASSERT_TRUE(result.reply) << result.failure;
    EXPECT_EQ(result.reply->body, large);
}

TEST(Tls, aClientThatDoesNotTrustTheCertificateSendsNothing)
{
    const auto other = makeCertificate("other");
    TlsServer server(makeCertificate("untrusted"));
    const auto result = server.ask(other.certificateFile);
    EXPECT_FALSE(result.reply);
    EXPECT_EQ(result.sendState, SendState::NotSent);
}

TEST(Tls, presentsANewCertificateWithoutARestart)
{
    const auto files = makeCertificate("old");
    const auto old = makeCertificate("oldcopy");
    copyCertificate(files, old);
    const auto next = makeCertificate("next");
    TlsServer server(files);
    ASSERT_TRUE(server.ask(old.certificateFile).reply);
    copyCertificate(next, files);
    // The test's own time limit bounds the wait.
    while (!server.ask(next.certificateFile).reply) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_FALSE(server.ask(old.certificateFile).reply);
}

TEST(Tls, keepsTheOldCertificateWhileTheNewOneIsUnusable)
{
    const auto files = makeCertificate("kept");
    const auto next = makeCertificate("keptnext");
    const auto loaded = detail::TlsIdentity::load(files);
    ASSERT_TRUE(loaded);
    auto &identity = *loaded.value();
    const auto first = identity.current();
    EXPECT_EQ(identity.reload(), detail::TlsChange::None);

    std::filesystem::copy_file(next.certificateFile, files.certificateFile,
                               std::filesystem::copy_options::overwrite_existing);
    EXPECT_EQ(identity.reload(), detail::TlsChange::Refused) << "the key is the old one's";
    EXPECT_EQ(identity.reload(), detail::TlsChange::None) << "said once";
    EXPECT_EQ(identity.current(), first);
    std::filesystem::remove(files.keyFile);
    EXPECT_EQ(identity.reload(), detail::TlsChange::Refused);
    EXPECT_EQ(identity.current(), first);

    copyCertificate(next, files);
    EXPECT_EQ(identity.reload(), detail::TlsChange::Taken);
    EXPECT_NE(identity.current(), first);
}

TEST(Tls, saysWhatIsWrongWithTheFiles)
{
    auto files = makeCertificate("wrong");
    EXPECT_TRUE(checkTlsFiles(files));
    const auto errorOf = [](const TlsSettings &settings) {
        const auto checked = checkTlsFiles(settings);
        return checked ? std::string() : checked.error().toString();
    };
    const auto key = std::exchange(files.keyFile, makeCertificate("stranger").keyFile);
    EXPECT_NE(errorOf(files).find("doesn't fit the certificate"), std::string::npos);
    files.keyFile = key + ".absent";
    EXPECT_NE(errorOf(files).find("can't be read"), std::string::npos);
    files.keyFile = key;
    std::ofstream(files.certificateFile) << "no certificate";
    EXPECT_NE(errorOf(files).find("holds no certificate"), std::string::npos);
}

} // namespace
} // namespace cyclamenlatch::net
