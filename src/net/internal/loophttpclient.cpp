// Connections by host, calls that wait for one, and the times at which calls are given up.
#include "net/loophttpclient.h"

#include "net/endpoint.h"
#include "net/internal/loopconnection.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenlatch::net {

namespace {

using detail::LoopConnection;

// Calls are given up this much late at most: one timer serves all of them.
constexpr std::chrono::milliseconds timerStep{10};
// Idle connections are looked through this many times while one grows too old.
constexpr int idleSweeps = 4;
constexpr std::string_view scheme = "http://";

std::string requestOf(const HttpCall &call, std::string_view host, std::string_view path)
{
    std::string request;
    request.reserve(256 + call.body.size());
    fmt::format_to(std::back_inserter(request), "{} {} HTTP/1.1\r\nHost: {}\r\n", call.method,
                   path.empty() ? std::string_view("/") : path, host);
    for (const auto &header : call.headers.all()) {
        request.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (call.method == "POST" || call.method == "PUT" || !call.body.empty()) {
        fmt::format_to(std::back_inserter(request), "Content-Length: {}\r\n", call.body.size());
    }
    return request.append("\r\n").append(call.body);
}

} // namespace

class LoopHttpClient::Private
{
public:
    Private(asio::io_context &context, const HttpClientSettings &settings)
        : m_settings(settings)
        , m_context(context)
        , m_timer(context)
        , m_listener{
                  [this](auto &connection, const auto &failure) { connected(connection, failure); },
                  [this](auto &connection, auto reply, bool isReusable) {
                      answered(connection, std::move(reply), isReusable);
                  },
                  [this](auto &connection, const auto &failure) { ended(connection, failure); }}
    {}

    ~Private()
    {
        m_isEnding = true;
        while (!m_calls.empty()) {
            fail(m_calls.begin()->first, "the client ends");
        }
        for (const auto &connection : m_connections) {
            connection->close();
        }
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void send(HttpCall httpCall, Completion completion)
    {
        const auto number = ++m_lastNumber;
        const auto now = steadyNow();
        auto &call = m_calls[number];
        call.call = std::move(httpCall);
        call.completion = std::move(completion);
        call.endsAt = now + call.call.timeout;
        call.connectEndsAt = now + call.call.connectTimeout;
        const std::string_view url = call.call.url;
        const auto path = url.find('/', scheme.size());
        call.host = url.substr(std::min(scheme.size(), url.size()),
                               path == std::string_view::npos ? path : path - scheme.size());
        call.path = path == std::string_view::npos ? std::string_view{} : url.substr(path);
        const auto &asked = call.call;
        if (!url.starts_with(scheme) || !parseEndpoint(call.host) || asked.requiredEcho
            || asked.cancelKey != 0 || !asked.caFile.empty()) {
            return asio::post(m_context, [this, number, alive = std::weak_ptr(m_alive)] {
                if (!alive.expired()) {
                    fail(number, "the address is not a numeric http address, or the call needs "
                                 "what only HttpClient does");
                }
            });
        }
        watchUntil(number, std::min(call.endsAt, call.connectEndsAt));
        place(number, call);
    }

private:
    struct Call
    {
        HttpCall call;
        Completion completion;
        std::string host;
        // Points into the call's url.
        std::string_view path;
        TimePoint endsAt{};
        // Until then it has to have a connection.
        TimePoint connectEndsAt{};
        // Its entry in m_deadlines.
        TimePoint watchedUntil{};
        std::shared_ptr<LoopConnection> connection;
        bool isWritten = false;
    };
    struct Host
    {
        std::vector<std::shared_ptr<LoopConnection>> idle;
        // All that are open or being opened.
        std::size_t open = 0;
        std::deque<std::uint64_t> waiting;
    };

    // Gives the call a connection, or lets it wait for one.
    void place(std::uint64_t number, Call &call)
    {
        auto &host = m_hosts[call.host];
        if (!host.idle.empty() && !call.call.freshConnection) {
            auto connection = std::move(host.idle.back());
            host.idle.pop_back();
            return write(number, call, std::move(connection));
        }
        if (host.open >= m_settings.maxConnectionsPerHost) {
            host.waiting.push_back(number);
            return;
        }
        ++host.open;
        auto connection = std::make_shared<LoopConnection>(
                m_context, call.host, m_settings.receiveBufferBytes, m_listener);
        m_connections.insert(connection);
        connection->callNumber = number;
        call.connection = connection;
        connection->connect(*parseEndpoint(call.host));
    }

    void write(std::uint64_t number, Call &call, std::shared_ptr<LoopConnection> connection)
    {
        connection->callNumber = number;
        connection->receivedAt = steadyNow();
        call.connection = std::move(connection);
        if (call.call.isPermitted && !call.call.isPermitted()) {
            // Never told inside send().
            return asio::post(m_context, [this, number, alive = std::weak_ptr(m_alive)] {
                if (!alive.expired()) {
                    fail(number, "the permission to send it has run out");
                }
            });
        }
        call.isWritten = true;
        auto until = call.endsAt;
        if (call.call.idleTimeout.count() > 0) {
            until = std::min<TimePoint>(until, steadyNow() + call.call.idleTimeout);
        }
        watchUntil(number, until);
        call.connection->write(requestOf(call.call, call.host, call.path), call.call.maxReplyBytes);
    }

    void connected(LoopConnection &connection, const std::string &failure)
    {
        const auto found = m_calls.find(connection.callNumber);
        if (!failure.empty() || found == m_calls.end()) {
            const auto number = connection.callNumber;
            drop(connection);
            return fail(number, failure);
        }
        write(found->first, found->second, found->second.connection);
    }

    void answered(LoopConnection &connection, HttpReply reply, bool isReusable)
    {
        auto node = m_calls.extract(std::exchange(connection.callNumber, 0));
        if (node.empty()) {
            return drop(connection);
        }
        auto call = std::move(node.mapped());
        unwatch(node.key(), call);
        auto kept = std::move(call.connection);
        if (isReusable && !call.call.freshConnection
            && m_connections.size() <= m_settings.maxKeptConnections) {
            rest(std::move(kept));
        } else {
            drop(connection);
        }
        HttpCallResult result;
        result.sendState = SendState::MaybeSent;
        result.reply = std::move(reply);
        result.call = std::move(call.call);
        call.completion(std::move(result));
    }

    void ended(LoopConnection &connection, const std::string &failure)
    {
        const auto number = connection.callNumber;
        drop(connection);
        fail(number, failure);
    }

    // The connection carries the next call that waits for one, or none.
    void rest(std::shared_ptr<LoopConnection> connection)
    {
        auto &host = m_hosts[connection->host()];
        while (!host.waiting.empty()) {
            const auto number = host.waiting.front();
            host.waiting.pop_front();
            if (const auto next = m_calls.find(number); next != m_calls.end()) {
                return write(number, next->second, std::move(connection));
            }
        }
        connection->idleSince = steadyNow();
        host.idle.push_back(std::move(connection));
    }

    // Closes the connection and opens another one where calls wait for one.
    void drop(LoopConnection &connection)
    {
        const auto found = m_connections.find(connection.shared_from_this());
        if (found == m_connections.end()) {
            return;
        }
        const auto node = m_connections.extract(found);
        const auto &kept = node.value();
        kept->close();
        auto &host = m_hosts[kept->host()];
        --host.open;
        std::erase(host.idle, kept);
        while (!m_isEnding && !host.waiting.empty()
               && host.open < m_settings.maxConnectionsPerHost) {
            const auto number = host.waiting.front();
            host.waiting.pop_front();
            if (const auto next = m_calls.find(number); next != m_calls.end()) {
                place(number, next->second);
            }
        }
        if (host.open == 0 && host.waiting.empty()) {
            m_hosts.erase(kept->host());
        }
    }

    // Ends the call without an answer.
    void fail(std::uint64_t number, const std::string &failure)
    {
        auto node = m_calls.extract(number);
        if (node.empty()) {
            return;
        }
        auto call = std::move(node.mapped());
        unwatch(number, call);
        if (call.connection) {
            call.connection->callNumber = 0;
            drop(*call.connection);
        }
        HttpCallResult result;
        result.sendState = call.isWritten ? SendState::MaybeSent : SendState::NotSent;
        result.failure = failure;
        result.call = std::move(call.call);
        call.completion(std::move(result));
    }

    void unwatch(std::uint64_t number, const Call &call)
    {
        m_deadlines.erase({call.watchedUntil, number});
    }

    void watchUntil(std::uint64_t number, TimePoint until)
    {
        auto &call = m_calls.at(number);
        unwatch(number, call);
        call.watchedUntil = until;
        m_deadlines.insert({until, number});
        armTimer();
    }

    // Wakes up in time for the first deadline and for connections that have been idle for long. Set
    // again only for an earlier time: each call would cost a system call otherwise.
    void armTimer()
    {
        if (m_connections.empty() && m_deadlines.empty()) {
            return;
        }
        const auto sweep = m_sweptAt + m_settings.maxIdleTime / idleSweeps;
        const auto next = m_deadlines.empty() ? sweep : std::min(sweep, m_deadlines.begin()->first);
        if (m_armedFor && *m_armedFor <= next + timerStep) {
            return;
        }
        m_armedFor = next + timerStep;
        m_timer.expires_at(
                std::chrono::time_point_cast<std::chrono::steady_clock::duration>(*m_armedFor));
        m_timer.async_wait([this, alive = std::weak_ptr(m_alive)](const asio::error_code &error) {
            if (!error && !alive.expired()) {
                m_armedFor.reset();
                giveUpLate();
                sweepIdle();
                armTimer();
            }
        });
    }

    void sweepIdle()
    {
        const auto now = steadyNow();
        if (now - m_sweptAt < m_settings.maxIdleTime / idleSweeps) {
            return;
        }
        m_sweptAt = now;
        std::vector<std::shared_ptr<LoopConnection>> old;
        for (const auto &connection : m_connections) {
            if (connection->callNumber == 0
                && now - connection->idleSince > m_settings.maxIdleTime) {
                old.push_back(connection);
            }
        }
        for (const auto &connection : old) {
            drop(*connection);
        }
    }

    void giveUpLate()
    {
        const auto now = steadyNow();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const auto number = m_deadlines.begin()->second;
            auto &call = m_calls.at(number);
            const auto idleEnd = call.isWritten && call.call.idleTimeout.count() > 0
                                         ? call.connection->receivedAt + call.call.idleTimeout
                                         : call.endsAt;
            if (call.isWritten && std::min(call.endsAt, idleEnd) > now) {
                watchUntil(number, std::min(call.endsAt, idleEnd));
                continue;
            }
            fail(number, call.isWritten    ? "no answer came in time"
                         : call.connection ? "the connection was not made in time"
                                           : "no connection became free in time");
        }
    }

    const HttpClientSettings m_settings;
    asio::io_context &m_context;
    asio::steady_timer m_timer;
    const LoopConnection::Listener m_listener;
    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::string, Host> m_hosts;
    std::set<std::shared_ptr<LoopConnection>> m_connections;
    // When each call is to be looked at.
    std::set<std::pair<TimePoint, std::uint64_t>> m_deadlines;
    std::optional<TimePoint> m_armedFor;
    TimePoint m_sweptAt = steadyNow();
    bool m_isEnding = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

LoopHttpClient::LoopHttpClient(asio::io_context &context, const HttpClientSettings &settings)
    : m_private(std::make_unique<Private>(context, settings))
{}

LoopHttpClient::~LoopHttpClient() = default;

void LoopHttpClient::send(HttpCall call, Completion completion)
{
    m_private->send(std::move(call), std::move(completion));
}

} // namespace cyclamenlatch::net
