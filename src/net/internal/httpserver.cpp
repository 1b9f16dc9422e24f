// RESTinio behind HttpServer: converts messages and binds the listening socket.
#include "net/httpserver.h"

#include "net/httpstatus.h"
#include "net/internal/connectionwatches.h"
#include "net/internal/retiredservers.h"
#include "net/internal/tlsreload.h"

#include <fmt/format.h>
#include <restinio/all.hpp>
#include <restinio/tls.hpp>

#include <atomic>
#include <type_traits>
#include <utility>
#include <variant>

namespace cyclamenlatch::net {

namespace {

// Keeps a watch for each open connection.
class ConnectionListener
{
public:
    explicit ConnectionListener(detail::ConnectionWatches &watches)
        : m_watches(watches)
    {}

    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio calls it by this name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        const auto cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            m_watches.open(notice.connection_id());
        } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
            m_watches.close(notice.connection_id());
        }
    }

private:
    detail::ConnectionWatches &m_watches;
};

template<typename Transport>
struct ServerTraits : Transport
{
    // NOLINTBEGIN(readability-identifier-naming): RESTinio looks for these names.
    using request_handler_t =
            std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = ConnectionListener;
    static constexpr bool use_connection_count_limiter = true;
    // NOLINTEND(readability-identifier-naming)
};

using PlainTraits = ServerTraits<restinio::default_traits_t>;
using TlsTraits = ServerTraits<restinio::default_tls_traits_t>;
template<typename Traits>
using ServerPointer = std::unique_ptr<restinio::http_server_t<Traits>>;
using AnyServer =
        std::variant<std::monostate, ServerPointer<PlainTraits>, ServerPointer<TlsTraits>>;

HttpRequest convertRequest(const restinio::request_handle_t &handle)
{
    HttpRequest request;
    request.method = handle->header().method().c_str();
    request.path = std::string(handle->header().path());
    request.query = std::string(handle->header().query());
    for (const auto &field : handle->header()) {
        request.headers.add(std::string(field.name()), std::string(field.value()));
    }
    request.body = handle->body();
    return request;
}

void sendReply(const restinio::request_handle_t &handle, HttpReply reply,
               std::atomic<std::size_t> &openRequests)
{
    const restinio::http_status_line_t statusLine(
            restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)),
            reasonPhrase(reply.status));
    auto response = handle->create_response(statusLine);
    for (const auto &header : reply.headers.all()) {
        response.append_header(header.name, header.value);
    }
    if (reply.closeConnection) {
        response.connection_close();
    }
    response.set_body(std::move(reply.body));
    response.done([&openRequests](const asio::error_code &) { --openRequests; });
}

} // namespace

class HttpServer::Private
{
public:
    Private(asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
        : m_context(context)
        , m_settings(std::move(settings))
        , m_handler(std::move(handler))
    {}

    Result<void> start()
    {
        if (!m_settings.tls) {
            return open(makeSettings<PlainTraits>());
        }
        BOOST_OUTCOME_TRY(identity, detail::TlsIdentity::load(*m_settings.tls));
        auto settings = makeSettings<TlsTraits>();
        settings.tls_context(identity->context());
        BOOST_OUTCOME_TRY(open(std::move(settings)));
        m_reload = std::make_shared<detail::TlsReload>(m_context, std::move(identity),
                                                       m_settings.tls->reloadInterval);
        m_reload->start();
        return success();
    }

    asio::io_context &context() const { return m_context; }
    std::uint16_t port() const { return m_port; }
    std::size_t openRequests() const { return m_openRequests; }

    void stop()
    {
        if (m_reload) {
            m_reload->stop();
        }
        std::visit(
                [](auto &server) {
                    if constexpr (!std::is_same_v<std::decay_t<decltype(server)>, std::monostate>) {
                        server->close_sync();
                    }
                },
                m_server);
    }

private:
    template<typename Traits>
    Result<void> open(restinio::server_settings_t<Traits> settings)
    {
        try {
            auto &server = m_server.emplace<ServerPointer<Traits>>(
                    std::make_unique<restinio::http_server_t<Traits>>(
                            restinio::external_io_context(m_context), std::move(settings)));
            server->open_sync();
        } catch (const std::exception &error) {
            return failure(ErrorKind::Unavailable,
                           fmt::format("cannot listen on {}:{}: {}", m_settings.address,
                                       m_settings.port, error.what()),
                           "choose an address of this host and a free port in the settings");
        }
        return success();
    }

    template<typename Traits>
    restinio::server_settings_t<Traits> makeSettings()
    {
        restinio::server_settings_t<Traits> settings;
        settings.address(m_settings.address)
                .port(m_settings.port)
                .read_next_http_message_timelimit(m_settings.readTimeout)
                .handle_request_timeout(m_settings.handleTimeout)
                .write_http_response_timelimit(m_settings.readTimeout)
                .max_pipelined_requests(maxPipelinedRequests)
                .concurrent_accepts_count(4)
                .max_parallel_connections(m_settings.maxConnections)
                .separate_accept_and_create_connect(true)
                .socket_options_setter(
                        [](auto &options) { options.set_option(asio::ip::tcp::no_delay{true}); })
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                                  .max_url_size(m_settings.maxFieldBytes)
                                                  .max_field_name_size(m_settings.maxFieldBytes)
                                                  .max_field_value_size(m_settings.maxFieldBytes)
                                                  .max_field_count(m_settings.maxFieldCount)
                                                  .max_body_size(m_settings.maxBodyBytes))
                .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                    m_port = acceptor.local_endpoint().port();
                })
                .connection_state_listener(std::make_shared<ConnectionListener>(m_watches))
                .request_handler([this](restinio::request_handle_t handle) {
                    ++m_openRequests;
                    auto request = convertRequest(handle);
                    request.connection = m_watches.find(handle->connection_id());
                    m_handler(std::move(request), [this, handle](HttpReply reply) {
                        sendReply(handle, std::move(reply), m_openRequests);
                    });
                    return restinio::request_accepted();
                });
        return settings;
    }

    asio::io_context &m_context;
    HttpServerSettings m_settings;
    HttpHandler m_handler;
    detail::ConnectionWatches m_watches;
    std::atomic<std::size_t> m_openRequests = 0;
    AnyServer m_server;
    // Absent for plain HTTP.
    std::shared_ptr<detail::TlsReload> m_reload;
    std::uint16_t m_port = 0;
};

HttpServer::HttpServer(asio::io_context &context, HttpServerSettings settings, HttpHandler handler)
    : m_private(std::make_unique<Private>(context, std::move(settings), std::move(handler)))
{}

// A connection that is still open uses the server until the io_context drops it.
HttpServer::~HttpServer()
{
    m_private->stop();
    auto &context = m_private->context();
    asio::use_service<detail::RetiredServers>(context).keep(std::move(m_private));
}

Result<void> HttpServer::start()
{
    return m_private->start();
}

std::uint16_t HttpServer::port() const
{
    return m_private->port();
}

std::size_t HttpServer::openRequests() const
{
    return m_private->openRequests();
}

void HttpServer::stop()
{
    m_private->stop();
}

} // namespace cyclamenlatch::net
