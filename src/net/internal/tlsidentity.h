// A server's certificate and key, which may be exchanged while connections are open. Each
// handshake takes those that are current, also on sockets that were made before an exchange.
// Lock order: m_mutex is the only lock.
#pragma once

#include "global/result.h"
#include "net/tlssettings.h"

#include <asio/ssl/context.hpp>

#include <memory>
#include <mutex>
#include <string>

namespace cyclamenlatch::net::detail {

enum class TlsChange { None, Taken, Refused };

class TlsIdentity : public std::enable_shared_from_this<TlsIdentity>
{
public:
    static Result<std::shared_ptr<TlsIdentity>> load(TlsSettings settings);

    // For a server's sockets; keeps the identity alive.
    std::shared_ptr<asio::ssl::context> context();
    // Reads the files again; what can't be used is logged once and leaves the old ones in use.
    TlsChange reload();
    // What the next handshake presents.
    std::shared_ptr<asio::ssl::context> current();

private:
    struct Files
    {
        std::string certificate;
        std::string key;

        bool operator==(const Files &) const = default;
    };
    using ContextPointer = std::shared_ptr<asio::ssl::context>;

    explicit TlsIdentity(TlsSettings settings);

    static Result<Files> readFiles(const TlsSettings &settings);
    static Result<ContextPointer> makeContext(const TlsSettings &settings, const Files &files);
    Result<ContextPointer> readContext();
    // OpenSSL calls it in each handshake.
    static int useCurrent(SSL *connection, void *identity);

    const TlsSettings m_settings;
    // What the server's sockets are made from; holds no certificate of its own.
    asio::ssl::context m_context;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    ContextPointer m_current;
    // Guarded by m_mutex: what was last read, usable or not; empty when it could not be read.
    Files m_seen;
};

} // namespace cyclamenlatch::net::detail
