// Drives libcurl's multi socket interface from one Asio thread for each part of the hosts.
#include "net/httpclient.h"

#include "global/time.h"
#include "net/internal/connectiontable.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <thread>
#include <unordered_map>
#include <utility>

namespace cyclamenlatch::net {

namespace {

// Idle connections older than this are not reused, so that one which something in between has
// forgotten is seldom chosen.
constexpr long maxIdleSeconds = 20;
// A connection whose peer acknowledges nothing for about these times is ended by the kernel.
constexpr long keepAliveIdleSeconds = 5;
constexpr long keepAliveIntervalSeconds = 2;
constexpr int keepAliveProbes = 3;
constexpr unsigned unacknowledgedMilliseconds = 10000;
constexpr int firstFinalStatus = 200;

struct Transfer
{
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    HttpCall call;
    HttpClient::Completion completion;
    HttpReply reply;
    SendState sendState = SendState::NotSent;
    // Status of the header block that is being read.
    int status = 0;
    // Why this client ended the call; empty when it did not.
    std::string aborted;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer() { curl_slist_free_all(headerList); }
};

// Called when a connection is ready and before the first byte is written. A second call for one
// transfer means that libcurl wants to write the request again; the abort keeps it from running
// twice.
int beforeRequest(void *context, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->sendState == SendState::MaybeSent) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->sendState = SendState::MaybeSent;
    return CURL_PREREQFUNC_OK;
}

std::size_t receiveBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::size_t bytes = size * count;
    if (transfer->reply.body.size() + bytes > transfer->call.maxReplyBytes) {
        transfer->aborted = "the answer is too long";
        return 0;
    }
    transfer->reply.body.append(data, bytes);
    return bytes;
}

bool hasRequiredEcho(const Transfer &transfer)
{
    const auto &required = transfer.call.requiredEcho;
    return !required || transfer.reply.headers.find(required->name) == required->value;
}

// Returns whether the end of the reply's body can be told from its headers.
bool hasFraming(const HttpReply &reply)
{
    return reply.body.empty() || reply.headers.find("Content-Length")
           || reply.headers.find("Transfer-Encoding");
}

void receiveStatusLine(Transfer &transfer, std::string_view line)
{
    transfer.reply.headers = HttpHeaders{};
    transfer.status = 0;
    const auto space = line.find(' ');
    if (space != std::string_view::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), transfer.status);
    }
}

std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    std::string_view line(data, size * count);
    if (line.starts_with("HTTP/")) {
        receiveStatusLine(*transfer, line);
        return line.size();
    }
    const bool endsHeaders = line == "\r\n" || line == "\n";
    if (endsHeaders && transfer->status >= firstFinalStatus && !hasRequiredEcho(*transfer)) {
        transfer->aborted = "the answer belongs to another request";
        return 0;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.size();
    }
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    const auto value = first == std::string_view::npos || last < first
                               ? std::string_view{}
                               : line.substr(first, last - first + 1);
    transfer->reply.headers.add(std::string(line.substr(0, colon)), std::string(value));
    return line.size();
}

// Sets the kernel's own limits on a connection without acknowledgements.
int setSocketOptions(void *, curl_socket_t socket, curlsocktype)
{
    const unsigned timeout = unacknowledgedMilliseconds;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    const int probes = keepAliveProbes;
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    return CURL_SOCKOPT_OK;
}

// Returns "address:port" of a URL such as "http://address:port/path".
std::string_view hostOf(std::string_view url)
{
    const auto scheme = url.find("://");
    if (scheme != std::string_view::npos) {
        url.remove_prefix(scheme + 3);
    }
    return url.substr(0, url.find('/'));
}

std::string hostOf(const curl_sockaddr &address)
{
    asio::ip::tcp::endpoint endpoint;
    if (address.addrlen > endpoint.capacity()) {
        return {};
    }
    std::copy_n(reinterpret_cast<const char *>(&address.addr), address.addrlen,
                reinterpret_cast<char *>(endpoint.data()));
    endpoint.resize(address.addrlen);
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

void initializeCurl()
{
    static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialized);
}

} // namespace

class HttpClient::Private
{
public:
    explicit Private(std::size_t maxConnectionsPerHost)
        : m_timer(m_context)
    {
        initialize(maxConnectionsPerHost);
        m_work.emplace(asio::make_work_guard(m_context));
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Private()
    {
        asio::post(m_context, [this] { abortAll(); });
        m_work.reset();
        m_thread.join();
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    void send(HttpCall call, Completion completion)
    {
        asio::post(m_context,
                   [this, call = std::move(call), completion = std::move(completion)]() mutable {
                       start(std::move(call), std::move(completion));
                   });
    }

    void cancel(std::uint64_t cancelKey)
    {
        asio::post(m_context, [this, cancelKey] {
            const auto found = m_cancellable.find(cancelKey);
            if (found == m_cancellable.end()) {
                return;
            }
            CURL *easy = found->second;
            m_transfers.at(easy)->aborted = "the call was cancelled";
            finish(easy, CURLE_ABORTED_BY_CALLBACK);
        });
    }

    void setMaxConnectionsPerHost(std::size_t count)
    {
        asio::post(m_context, [this, count] {
            curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(count));
        });
    }

    std::size_t connectionsOpen(const std::string &host) const { return m_connections.count(host); }

    void closeIdle(const std::string &host)
    {
        asio::post(m_context, [this, host] {
            const bool isUsed =
                    std::any_of(m_transfers.begin(), m_transfers.end(), [&](const auto &item) {
                        return hostOf(item.second->call.url) == host;
                    });
            if (isUsed) {
                return;
            }
            // libcurl finds out and closes the socket before it would reuse the connection.
            for (const int socket : m_connections.take(host)) {
                ::shutdown(socket, SHUT_RDWR);
            }
        });
    }

private:
    void initialize(std::size_t maxConnectionsPerHost)
    {
        initializeCurl();
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Private::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Private::onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                          static_cast<long>(maxConnectionsPerHost));
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 1024L);
    }

    struct Socket
    {
        explicit Socket(asio::io_context &context, curl_socket_t handle)
            : descriptor(context, handle)
        {}
        asio::posix::stream_descriptor descriptor;
        // What libcurl wants to hear of.
        int wanted = 0;
        bool readPending = false;
        bool writePending = false;
        // Has been watched for writing; the reactor goes on reporting that.
        bool wasWritten = false;
    };
    using SocketPointer = std::shared_ptr<Socket>;

    void start(HttpCall call, Completion completion)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->completion = std::move(completion);
        transfer->easy = takeEasy();
        configure(*transfer);
        CURL *easy = transfer->easy;
        if (transfer->call.cancelKey != 0) {
            m_cancellable.emplace(transfer->call.cancelKey, easy);
        }
        m_transfers.emplace(easy, std::move(transfer));
        curl_multi_add_handle(m_multi, easy);
    }

    CURL *takeEasy()
    {
        if (m_idleEasy.empty()) {
            return curl_easy_init();
        }
        CURL *easy = m_idleEasy.back();
        m_idleEasy.pop_back();
        return easy;
    }

    void configure(Transfer &transfer)
    {
        CURL *easy = transfer.easy;
        const auto &call = transfer.call;
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        if (!call.caFile.empty()) {
            curl_easy_setopt(easy, CURLOPT_CAINFO, call.caFile.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, keepAliveIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, keepAliveIntervalSeconds);
        curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Private::openSocket);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Private::closeSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        if (call.freshConnection) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, maxIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(call.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &beforeRequest);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &receiveBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &receiveHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
        if (call.method != "GET") {
            curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        }
        if (call.method == "POST" || call.method == "PUT" || !call.body.empty()) {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
            transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
        }
        for (const auto &header : call.headers.all()) {
            const std::string line = header.name + ": " + header.value;
            transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
    }

    static curl_socket_t openSocket(void *context, curlsocktype, curl_sockaddr *address)
    {
        const int type = address->socktype | SOCK_CLOEXEC;
        const int socket = ::socket(address->family, type, address->protocol);
        if (socket >= 0) {
            static_cast<Private *>(context)->m_connections.add(socket, hostOf(*address));
        }
        return socket < 0 ? CURL_SOCKET_BAD : socket;
    }

    static int closeSocket(void *context, curl_socket_t socket)
    {
        auto *self = static_cast<Private *>(context);
        self->m_connections.remove(socket);
        self->forgetSocket(socket);
        return ::close(socket);
    }

    static int onSocket(CURL *, curl_socket_t handle, int what, void *context, void *)
    {
        static_cast<Private *>(context)->changeSocket(handle, what);
        return 0;
    }

    void changeSocket(curl_socket_t handle, int what)
    {
        if (what == CURL_POLL_REMOVE) {
            return restSocket(handle);
        }
        auto &socket = m_sockets[handle];
        if (!socket) {
            socket = std::make_shared<Socket>(m_context, handle);
        }
        socket->wanted = what;
        waitFor(handle, socket);
    }

    // Stays registered for the connection's next call, which saves two system calls.
    void restSocket(curl_socket_t handle)
    {
        const auto found = m_sockets.find(handle);
        if (found == m_sockets.end()) {
            return;
        }
        found->second->wanted = 0;
        if (found->second->wasWritten) {
            forgetSocket(handle);
        }
    }

    void forgetSocket(curl_socket_t handle)
    {
        const auto found = m_sockets.find(handle);
        if (found != m_sockets.end()) {
            found->second->wanted = 0;
            found->second->descriptor.release();
            m_sockets.erase(found);
        }
    }

    void waitFor(curl_socket_t handle, const SocketPointer &socket)
    {
        if ((socket->wanted & CURL_POLL_IN) != 0 && !socket->readPending) {
            socket->readPending = true;
            socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                                          [this, handle, socket](const asio::error_code &error) {
                                              socket->readPending = false;
                                              onReady(handle, socket, CURL_CSELECT_IN, error);
                                          });
        }
        if ((socket->wanted & CURL_POLL_OUT) != 0 && !socket->writePending) {
            socket->writePending = true;
            socket->wasWritten = true;
            socket->descriptor.async_wait(asio::posix::stream_descriptor::wait_write,
                                          [this, handle, socket](const asio::error_code &error) {
                                              socket->writePending = false;
                                              onReady(handle, socket, CURL_CSELECT_OUT, error);
                                          });
        }
    }

    void onReady(curl_socket_t handle, const SocketPointer &socket, int event,
                 const asio::error_code &error)
    {
        if (error == asio::error::operation_aborted || socket->wanted == 0) {
            return;
        }
        act(handle, error ? CURL_CSELECT_ERR : event);
        const auto found = m_sockets.find(handle);
        if (found != m_sockets.end() && found->second == socket) {
            waitFor(handle, socket);
        }
    }

    static int onTimer(CURLM *, long delay, void *context)
    {
        static_cast<Private *>(context)->changeTimer(delay);
        return 0;
    }

    void changeTimer(long delayMilliseconds)
    {
        m_timerDue.reset();
        if (delayMilliseconds < 0) {
            return;
        }
        if (delayMilliseconds == 0) {
            return actSoon();
        }
        m_timerDue = steadyNow() + std::chrono::milliseconds(delayMilliseconds);
        armTimer();
    }

    // A timer that is due earlier stays and is set again then: each call moves the time, and
    // setting it costs a system call.
    void armTimer()
    {
        if (m_timerArmedAt && *m_timerArmedAt <= *m_timerDue) {
            return;
        }
        m_timerArmedAt = m_timerDue;
        m_timer.expires_at(
                std::chrono::time_point_cast<std::chrono::steady_clock::duration>(*m_timerDue));
        m_timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                onTimerEnd();
            }
        });
    }

    void onTimerEnd()
    {
        m_timerArmedAt.reset();
        if (!m_timerDue) {
            return;
        }
        if (*m_timerDue > steadyNow()) {
            return armTimer();
        }
        m_timerDue.reset();
        act(CURL_SOCKET_TIMEOUT, 0);
    }

    // libcurl asks for this at the start of each call; a timer would cost a system call.
    void actSoon()
    {
        if (std::exchange(m_actPosted, true)) {
            return;
        }
        asio::post(m_context, [this] {
            m_actPosted = false;
            if (m_multi != nullptr) {
                act(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    void act(curl_socket_t handle, int events)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, handle, events, &running);
        collectFinished();
    }

    void collectFinished()
    {
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg == CURLMSG_DONE) {
                finish(message->easy_handle, message->data.result);
            }
        }
    }

    void finish(CURL *easy, CURLcode code)
    {
        auto node = m_transfers.extract(easy);
        if (node.empty()) {
            return;
        }
        auto transfer = std::move(node.mapped());
        HttpCallResult result;
        result.sendState = transfer->sendState;
        if (code == CURLE_OK && !hasFraming(transfer->reply)) {
            transfer->aborted = "the answer's end can't be told";
        }
        if (!transfer->aborted.empty()) {
            result.failure = std::move(transfer->aborted);
        } else if (code == CURLE_OK) {
            transfer->reply.status = transfer->status;
            result.reply = std::move(transfer->reply);
        } else {
            result.failure = curl_easy_strerror(code);
        }
        if (transfer->call.cancelKey != 0) {
            m_cancellable.erase(transfer->call.cancelKey);
        }
        result.call = std::move(transfer->call);
        curl_multi_remove_handle(m_multi, easy);
        curl_easy_reset(easy);
        m_idleEasy.push_back(easy);
        transfer->completion(std::move(result));
    }

    void abortAll()
    {
        while (!m_transfers.empty()) {
            finish(m_transfers.begin()->first, CURLE_ABORTED_BY_CALLBACK);
        }
        for (CURL *easy : m_idleEasy) {
            curl_easy_cleanup(easy);
        }
        m_idleEasy.clear();
        curl_multi_cleanup(m_multi);
        m_multi = nullptr;
        m_timer.cancel();
        m_sockets.clear();
    }

    asio::io_context m_context{1};
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> m_work;
    asio::steady_timer m_timer;
    // When libcurl wants to be called.
    std::optional<TimePoint> m_timerDue;
    // When m_timer ends; not after m_timerDue.
    std::optional<TimePoint> m_timerArmedAt;
    CURLM *m_multi = nullptr;
    bool m_actPosted = false;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> m_transfers;
    std::unordered_map<curl_socket_t, SocketPointer> m_sockets;
    // Calls in flight that have a cancel key.
    std::unordered_map<std::uint64_t, CURL *> m_cancellable;
    std::vector<CURL *> m_idleEasy;
    detail::ConnectionTable m_connections;
    std::thread m_thread;
};

HttpClient::HttpClient(std::size_t maxConnectionsPerHost, std::size_t threads)
{
    for (std::size_t index = 0; index < std::max<std::size_t>(threads, 1); ++index) {
        m_privates.push_back(std::make_unique<Private>(maxConnectionsPerHost));
    }
}

HttpClient::~HttpClient() = default;

HttpClient::Private &HttpClient::privateOf(const std::string &url) const
{
    const auto host = hostOf(std::string_view(url));
    return *m_privates[XXH64(host.data(), host.size(), 0) % m_privates.size()];
}

void HttpClient::send(HttpCall call, Completion completion)
{
    auto &part = privateOf(call.url);
    part.send(std::move(call), std::move(completion));
}

void HttpClient::cancel(std::uint64_t cancelKey)
{
    for (const auto &part : m_privates) {
        part->cancel(cancelKey);
    }
}

void HttpClient::setMaxConnectionsPerHost(std::size_t count)
{
    for (const auto &part : m_privates) {
        part->setMaxConnectionsPerHost(count);
    }
}

std::size_t HttpClient::connectionsOpen(const std::string &host) const
{
    return privateOf(host).connectionsOpen(host);
}

void HttpClient::closeIdle(const std::string &host)
{
    privateOf(host).closeIdle(host);
}

} // namespace cyclamenlatch::net
