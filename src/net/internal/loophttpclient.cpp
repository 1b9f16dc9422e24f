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
#include <iterator>
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

std::string requestOf(const HttpCall &call, std::string_view host, std::string_view path,
                      std::string_view body)
{
    std::string request;
    request.reserve(256 + body.size());
    fmt::format_to(std::back_inserter(request), "{} {} HTTP/1.1\r\nHost: {}\r\n", call.method,
                   path.empty() ? std::string_view("/") : path, host);
    for (const auto &header : call.headers.all()) {
        request.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (call.method == "POST" || call.method == "PUT" || !body.empty()) {
        fmt::format_to(std::back_inserter(request), "Content-Length: {}\r\n", body.size());
    }
    return request.append("\r\n").append(body);
}

// Whether the call may be written to a connection to this peer, at the latest after it has named
// itself.
bool mayReach(const HttpCall &call, std::int64_t peer)
{
    return !call.peerCheck || call.peerCheck->expected == 0 || peer == 0
           || peer == call.peerCheck->expected;
}

bool needsIdentity(const HttpCall &call, std::int64_t peer)
{
    return call.peerCheck && call.peerCheck->expected != 0 && peer == 0;
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
        call.identifyTimeout =
                call.call.peerCheck ? call.call.peerCheck->timeout : std::chrono::milliseconds{};
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
        // When the call, or the request for the peer's identity, was last written.
        TimePoint writtenAt{};
        bool isWritten = false;
        // The connection's peer is being asked for its identity.
        bool isIdentifying = false;
        // How long the next request for the identity may take; doubled with each.
        std::chrono::milliseconds identifyTimeout{};
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
        if (!call.call.freshConnection) {
            if (auto connection = takeIdle(call)) {
                return write(number, call, std::move(connection));
            }
        }
        auto &host = m_hosts[call.host];
        if (host.open >= m_settings.maxConnectionsPerHost) {
            host.waiting.push_back(number);
            if (!host.idle.empty()) {
                // A call that needs a new connection takes the place of the one idle for longest.
                drop(*std::shared_ptr(host.idle.front()));
            }
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

    // The idle connection that was used last and may carry the call; null: none may. A connection
    // to another process than the call's is closed: one of the two processes is gone.
    std::shared_ptr<LoopConnection> takeIdle(const Call &call)
    {
        const auto host = m_hosts.find(call.host);
        if (host == m_hosts.end()) {
            return nullptr;
        }
        std::vector<std::shared_ptr<LoopConnection>> others;
        std::shared_ptr<LoopConnection> found;
        auto &idle = host->second.idle;
        while (!idle.empty() && !found) {
            auto &connection =
                    mayReach(call.call, idle.back()->peer) ? found : others.emplace_back();
            connection = std::move(idle.back());
            idle.pop_back();
        }
        for (const auto &other : others) {
            drop(*other);
        }
        return found;
    }

    void write(std::uint64_t number, Call &call, std::shared_ptr<LoopConnection> connection)
    {
        connection->callNumber = number;
        call.writtenAt = steadyNow();
        call.connection = std::move(connection);
        if (call.call.isPermitted && !call.call.isPermitted()) {
            // Never told inside send().
            return asio::post(m_context, [this, number, alive = std::weak_ptr(m_alive)] {
                if (!alive.expired()) {
                    fail(number, "the permission to send it has run out");
                }
            });
        }
        if (needsIdentity(call.call, call.connection->peer)) {
            call.isIdentifying = true;
            const auto &check = *call.call.peerCheck;
            watchUntil(number, call.identifyTimeout.count() == 0
                                       ? call.endsAt
                                       : std::min<TimePoint>(call.endsAt,
                                                             steadyNow() + call.identifyTimeout));
            return call.connection->write(
                    requestOf(call.call, call.host, check.path, check.body),
                    std::min(call.call.maxReplyBytes, m_settings.maxReplyBytes));
        }
        call.isWritten = true;
        auto until = call.endsAt;
        if (call.call.idleTimeout.count() > 0) {
            until = std::min<TimePoint>(until, steadyNow() + call.call.idleTimeout);
        }
        watchUntil(number, until);
        call.connection->write(requestOf(call.call, call.host, call.path, call.call.body),
                               std::min(call.call.maxReplyBytes, m_settings.maxReplyBytes));
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

    // Records the identity that the peer names; returns whether the reply was only asked for that
    // and the call itself was written now.
    bool identified(LoopConnection &connection, const HttpReply &reply, bool isReusable)
    {
        const auto found = m_calls.find(connection.callNumber);
        if (found == m_calls.end() || !found->second.call.peerCheck) {
            return false;
        }
        auto &call = found->second;
        if (connection.peer == 0) {
            connection.peer = call.call.peerCheck->identify(reply);
        }
        if (!call.isIdentifying || connection.peer != call.call.peerCheck->expected
            || !isReusable) {
            return false;
        }
        call.isIdentifying = false;
        call.endsAt = steadyNow() + call.call.timeout;
        write(found->first, call, call.connection);
        return true;
    }

    void answered(LoopConnection &connection, HttpReply reply, bool isReusable)
    {
        if (identified(connection, reply, isReusable)) {
            return;
        }
        auto node = m_calls.extract(std::exchange(connection.callNumber, 0));
        if (node.empty()) {
            return drop(connection);
        }
        auto call = std::move(node.mapped());
        unwatch(node.key(), call);
        const auto peer = connection.peer;
        auto kept = std::move(call.connection);
        if (isReusable && !call.call.freshConnection
            && m_connections.size() <= m_settings.maxKeptConnections) {
            rest(std::move(kept));
        } else {
            drop(connection);
        }
        HttpCallResult result;
        if (call.isIdentifying && peer == call.call.peerCheck->expected) {
            result.failure = "the peer closed the connection after it had named itself";
        } else if (call.isIdentifying) {
            result.failure = peer == 0 ? "the peer does not name itself"
                                       : "another process answers at the address";
            result.peerReply = std::move(reply);
        } else {
            result.sendState = SendState::MaybeSent;
            result.reply = std::move(reply);
        }
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
            const auto next = m_calls.find(number);
            if (next != m_calls.end() && !mayReach(next->second.call, connection->peer)) {
                return drop(*connection);
            }
            host.waiting.pop_front();
            if (next != m_calls.end()) {
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
        placeWaiting(kept->host());
    }

    // Opens connections for calls that wait for one. Placing a call may close connections in turn
    // and so forget the host.
    void placeWaiting(const std::string &name)
    {
        for (auto host = m_hosts.find(name); host != m_hosts.end(); host = m_hosts.find(name)) {
            auto &waiting = host->second.waiting;
            const auto open = host->second.open;
            if (waiting.empty() && open == 0) {
                m_hosts.erase(host);
                return;
            }
            if (m_isEnding || waiting.empty() || open >= m_settings.maxConnectionsPerHost) {
                return;
            }
            const auto number = waiting.front();
            waiting.pop_front();
            if (const auto next = m_calls.find(number); next != m_calls.end()) {
                place(number, next->second);
            }
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

    // A call whose reply is overdue, with no byte of it received, shows that its connection has
    // gone silent. Whatever silenced it may have silenced every other connection to the host: those
    // that were last heard before the reply was due are closed, so that the next call does not wait
    // for its own timeout on one of them. Connections heard since then are kept, which is what a
    // server that is merely slow leaves open.
    void closeUnheard(const Call &call)
    {
        const auto found = m_hosts.find(call.host);
        if (found == m_hosts.end() || call.connection->receivedAt > call.writtenAt) {
            return;
        }
        const TimePoint due =
                call.writtenAt + (call.isIdentifying ? Duration{} : Duration{call.call.replyDelay});
        std::vector<std::shared_ptr<LoopConnection>> unheard;
        std::copy_if(found->second.idle.begin(), found->second.idle.end(),
                     std::back_inserter(unheard),
                     [&](const auto &connection) { return connection->receivedAt <= due; });
        for (const auto &connection : unheard) {
            drop(*connection);
        }
    }

    // The peer has not named itself in time: tries another connection.
    void identifyAgain(std::uint64_t number, Call &call)
    {
        closeUnheard(call);
        const auto silent = std::exchange(call.connection, nullptr);
        call.isIdentifying = false;
        call.identifyTimeout *= 2;
        silent->callNumber = 0;
        watchUntil(number, call.endsAt);
        // First, so that calls that have waited for a connection get theirs before.
        drop(*silent);
        place(number, call);
    }

    void giveUpLate()
    {
        const auto now = steadyNow();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const auto number = m_deadlines.begin()->second;
            auto &call = m_calls.at(number);
            if (call.isIdentifying && call.endsAt > now) {
                identifyAgain(number, call);
                continue;
            }
            const auto idleEnd = call.isWritten && call.call.idleTimeout.count() > 0
                                         ? std::max(call.writtenAt, call.connection->receivedAt)
                                                   + call.call.idleTimeout
                                         : call.endsAt;
            if (call.isWritten && std::min(call.endsAt, idleEnd) > now) {
                watchUntil(number, std::min(call.endsAt, idleEnd));
                continue;
            }
            if (call.isWritten || call.isIdentifying) {
                closeUnheard(call);
            }
            fail(number, call.isWritten || call.isIdentifying ? "no answer came in time"
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
