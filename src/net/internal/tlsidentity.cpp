// Reads certificate and key files and hands them to handshakes.
#include "net/internal/tlsidentity.h"

#include "net/netevents.h"

#include <fmt/format.h>
#include <openssl/ssl.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace cyclamenlatch::net {

namespace {

Result<std::string> readText(const std::string &path, const char *what)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("the TLS {} file \"{}\" can't be read", what, path),
                       "name an existing file that the entry's user may read");
    }
    return text.str();
}

// A key with a passphrase is refused instead of asking for it on a terminal.
std::string noPassphrase(std::size_t, asio::ssl::context::password_purpose)
{
    return {};
}

} // namespace

namespace detail {

TlsIdentity::TlsIdentity(TlsSettings settings)
    : m_settings(std::move(settings))
    , m_context(asio::ssl::context::tls_server)
{
    SSL_CTX_set_min_proto_version(m_context.native_handle(), TLS1_2_VERSION);
    // A resumed session would go on with a certificate that was exchanged.
    SSL_CTX_set_session_cache_mode(m_context.native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_options(m_context.native_handle(), SSL_OP_NO_TICKET);
    SSL_CTX_set_cert_cb(m_context.native_handle(), &TlsIdentity::useCurrent, this);
}

Result<std::shared_ptr<TlsIdentity>> TlsIdentity::load(TlsSettings settings)
{
    // The constructor is private.
    std::shared_ptr<TlsIdentity> identity(new TlsIdentity(std::move(settings)));
    BOOST_OUTCOME_TRY(first, identity->readContext());
    identity->m_current = std::move(first);
    return identity;
}

Result<TlsIdentity::Files> TlsIdentity::readFiles(const TlsSettings &settings)
{
    Files files;
    BOOST_OUTCOME_TRY(certificate, readText(settings.certificateFile, "certificate"));
    files.certificate = std::move(certificate);
    BOOST_OUTCOME_TRY(key, readText(settings.keyFile, "key"));
    files.key = std::move(key);
    return files;
}

Result<TlsIdentity::ContextPointer> TlsIdentity::makeContext(const TlsSettings &settings,
                                                             const Files &files)
{
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    asio::error_code error;
    context->set_password_callback(&noPassphrase, error);
    context->use_certificate_chain(asio::buffer(files.certificate), error);
    if (error) {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("the TLS certificate file \"{}\" holds no certificate: {}",
                                   settings.certificateFile, error.message()),
                       "write it as PEM, the server's own certificate first");
    }
    // Also compares the key with the certificate.
    context->use_private_key(asio::buffer(files.key), asio::ssl::context::pem, error);
    if (error) {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("the TLS key file \"{}\" doesn't fit the certificate: {}",
                                   settings.keyFile, error.message()),
                       "write the key of this certificate as PEM without a passphrase");
    }
    return context;
}

Result<TlsIdentity::ContextPointer> TlsIdentity::readContext()
{
    BOOST_OUTCOME_TRY(files, readFiles(m_settings));
    m_seen = std::move(files);
    return makeContext(m_settings, m_seen);
}

std::shared_ptr<asio::ssl::context> TlsIdentity::context()
{
    return {shared_from_this(), &m_context};
}

TlsChange TlsIdentity::reload()
{
    const std::lock_guard lock(m_mutex);
    const auto files = readFiles(m_settings);
    const auto seen = files ? files.value() : Files{};
    if (seen == m_seen) {
        return TlsChange::None;
    }
    m_seen = seen;
    auto context = files ? makeContext(m_settings, seen) : Result<ContextPointer>(files.error());
    if (!context) {
        logEvent(tlsRefused, "{}", context.error().toString());
        return TlsChange::Refused;
    }
    m_current = std::move(context.value());
    logEvent(tlsReloaded, "from {}", m_settings.certificateFile);
    return TlsChange::Taken;
}

TlsIdentity::ContextPointer TlsIdentity::current()
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

int TlsIdentity::useCurrent(SSL *connection, void *identity)
{
    const auto current = static_cast<TlsIdentity *>(identity)->current();
    SSL_CTX *source = current->native_handle();
    STACK_OF(X509) *chain = nullptr;
    SSL_CTX_get0_chain_certs(source, &chain);
    constexpr int replace = 1;
    return SSL_use_cert_and_key(connection, SSL_CTX_get0_certificate(source),
                                SSL_CTX_get0_privatekey(source), chain, replace);
}

} // namespace detail

Result<void> checkTlsFiles(const TlsSettings &settings)
{
    BOOST_OUTCOME_TRY(detail::TlsIdentity::load(settings));
    return success();
}

} // namespace cyclamenlatch::net
