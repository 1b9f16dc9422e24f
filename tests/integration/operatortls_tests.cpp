// The operators' commands against a running entry that speaks TLS.
#include "src/net/tests/testcertificate.h"
#include "tests/integration/operatedentry.h"

namespace cyclamenlatch {
namespace {

using testing::ChildProcess;
using testing::OperatedEntry;
using testing::OperatedEntrySettings;

TEST(OperatorTls, commandsNeedTheCertificateOfTheEntry)
{
    const auto files = testing::makeCertificate("entry");
    OperatedEntrySettings settings;
    settings.tls = files;
    const OperatedEntry entry(settings);
    EXPECT_NE(entry.ask({"status"}, "revision", files.certificateFile), "");
    const auto other = testing::makeCertificate("other");
    EXPECT_NE(entry.ask({"status"}, "with --ca_file", other.certificateFile), "");
    EXPECT_NE(entry.ask({"status"}, "no answer from", "", "http"), "");
}

// What "check" prints behind the text.
std::string check(const std::string &settings, const std::string &text)
{
    const auto path = fmt::format("{}/checktls-{}.yaml", ::testing::TempDir(), getpid());
    std::ofstream(path) << settings;
    return ChildProcess({ENTRY_PROGRAM, "check", path}).waitFor(text);
}

TEST(OperatorTls, checkTellsOfAKeyThatDoesNotFit)
{
    OperatedEntrySettings settings;
    settings.tls = testing::makeCertificate("checked");
    settings.tls->keyFile = testing::makeCertificate("stranger").keyFile;
    EXPECT_NE(check(OperatedEntry::textOf(settings, 1, 2), "doesn't fit the certificate"), "");
}

TEST(OperatorTls, checkWantsBothFiles)
{
    OperatedEntrySettings settings;
    settings.tls = net::TlsSettings{"/c.pem", "/k.pem", {}};
    auto text = OperatedEntry::textOf(settings, 1, 2);
    const std::string key = ", keyFile: /k.pem";
    EXPECT_NE(check(text.erase(text.find(key), key.size()), "keyFile"), "");
}

} // namespace
} // namespace cyclamenlatch
