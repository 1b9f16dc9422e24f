// Answers the store's HTTP protocol (docs/platform-protocol.md) from the state machine.
#include "standins/platform/platformserver.h"

#include "standins/jsonreply.h"
#include "standins/queryfields.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace cyclamenlatch::standins {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::string_view keyPrefix = "/v1/kv/";
constexpr std::string_view leasePrefix = "/v1/leases";

json itemJson(const store::StoreItem &item)
{
    json value{{"key", item.key}, {"value", item.value}, {"revision", item.revision}};
    if (item.deleted) {
        value["deleted"] = true;
    }
    return value;
}

net::HttpReply listingReply(const store::StoreListing &listing)
{
    json items = json::array();
    for (const auto &item : listing.items) {
        items.push_back(itemJson(item));
    }
    return jsonReply(200, {{"revision", listing.revision}, {"items", std::move(items)}});
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &context)
    : m_context(context)
    , m_hosts(context)
    , m_timer(context)
{
    tick();
}

void PlatformServer::tick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_store.expireLeases(steadyNow());
        }
        answerWatches();
        m_tasks.tick();
        tick();
    });
}

void PlatformServer::handle(net::HttpRequest request, net::HttpResponder respond)
{
    if (request.path == "/control") {
        return respond(answerControl(request));
    }
    if (HostServer::handles(request.path)) {
        return respond(m_hosts.answer(request));
    }
    if (m_tasks.handle(request, respond)) {
        return;
    }
    if (auto refusal = refuse()) {
        return respond(std::move(*refusal));
    }
    if (request.path == "/v1/watch") {
        return startWatch(request, std::move(respond));
    }
    auto reply = answer(request);
    {
        const std::lock_guard lock(m_mutex);
        const bool changed = request.method != "GET" && reply.status == 200;
        if (changed && m_faults.loseWriteAnswers > 0) {
            --m_faults.loseWriteAnswers;
            reply = jsonReply(500, {{"error", "the answer was lost"}});
        }
    }
    deliver(std::move(reply), std::move(respond));
    answerWatches();
}

std::optional<net::HttpReply> PlatformServer::refuse()
{
    const std::lock_guard lock(m_mutex);
    ++m_calls;
    if (m_faults.outage) {
        return jsonReply(503, {{"error", "outage"}});
    }
    if (m_faults.callsPerSecond <= 0) {
        return std::nullopt;
    }
    const auto now = steadyNow();
    m_allowance = std::min(m_faults.callsPerSecond,
                           m_allowance + toSeconds(now - m_allowanceAt) * m_faults.callsPerSecond);
    m_allowanceAt = now;
    if (m_allowance < 1) {
        ++m_refused;
        return jsonReply(429, {{"error", "the call rate is used up"}});
    }
    m_allowance -= 1;
    return std::nullopt;
}

const StoreModel &PlatformServer::readModel() const
{
    return m_oldStore ? *m_oldStore : m_store;
}

net::HttpReply PlatformServer::withRevision(net::HttpReply reply)
{
    reply.headers.add("Store-Revision", std::to_string(readModel().revision()));
    return reply;
}

void PlatformServer::deliver(net::HttpReply reply, net::HttpResponder respond)
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        delay = m_faults.delay;
    }
    if (delay.count() == 0) {
        return respond(std::move(reply));
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, reply = std::move(reply), respond = std::move(respond)](
                              const asio::error_code &) mutable { respond(std::move(reply)); });
}

net::HttpReply PlatformServer::answer(const net::HttpRequest &request)
{
    if (request.path == "/v1/kv") {
        const std::lock_guard lock(m_mutex);
        return withRevision(listingReply(readModel().list(queryText(request.query, "prefix"))));
    }
    if (request.path.starts_with(keyPrefix)) {
        return answerKey(request, request.path.substr(keyPrefix.size()));
    }
    if (request.path.starts_with(leasePrefix)) {
        return answerLease(request);
    }
    return jsonReply(404, {{"error", "no such address"}});
}

net::HttpReply PlatformServer::answerKey(const net::HttpRequest &request, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (request.method == "GET") {
        const auto item = readModel().get(key);
        return withRevision(item ? jsonReply(200, itemJson(*item))
                                 : jsonReply(404, {{"error", "no such key"}}));
    }
    const auto expected = queryNumber(request.query, "expected");
    std::optional<store::StoreRevision> revision;
    if (request.method == "PUT") {
        revision = m_store.write({key, request.body, expected, queryText(request.query, "lease")});
    } else if (request.method == "DELETE") {
        revision = m_store.remove(key, expected);
    } else {
        return jsonReply(405, {{"error", "use GET, PUT or DELETE"}});
    }
    ++m_writes;
    if (!revision) {
        const auto current = m_store.get(key);
        return jsonReply(409, {{"revision", current ? current->revision : 0}});
    }
    return jsonReply(200, {{"revision", *revision}});
}

net::HttpReply PlatformServer::answerLease(const net::HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    const auto now = steadyNow();
    if (request.path == leasePrefix) {
        const std::chrono::milliseconds ttl(queryNumber(request.query, "ttlMs"));
        return jsonReply(200, {{"lease", m_store.grantLease(ttl, now)}});
    }
    constexpr std::string_view renewSuffix = "/renew";
    auto id = request.path.substr(leasePrefix.size() + 1);
    if (id.ends_with(renewSuffix)) {
        id.resize(id.size() - renewSuffix.size());
    }
    if (request.method == "DELETE") {
        m_store.endLease(id);
        return jsonReply(200, json::object());
    }
    return m_store.renewLease(id, now) ? jsonReply(200, json::object())
                                       : jsonReply(404, {{"error", "the lease has lapsed"}});
}

net::HttpReply PlatformServer::answerControl(const net::HttpRequest &request)
{
    const std::lock_guard lock(m_mutex);
    if (request.method == "POST") {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return jsonReply(400, {{"error", "send a JSON object"}});
        }
        m_faults.outage = body.value("outage", m_faults.outage);
        m_faults.delay = std::chrono::milliseconds(body.value("delayMs", m_faults.delay.count()));
        m_faults.loseWriteAnswers = body.value("loseWriteAnswers", m_faults.loseWriteAnswers);
        m_faults.callsPerSecond = body.value("callsPerSecond", m_faults.callsPerSecond);
        if (body.value("oldReads", m_oldStore.has_value()) != m_oldStore.has_value()) {
            m_oldStore = m_oldStore ? std::nullopt : std::optional<StoreModel>(m_store);
        }
    }
    return jsonReply(200, {{"calls", m_calls},
                           {"writes", m_writes},
                           {"refused", m_refused},
                           {"watches", m_watches.size()},
                           {"revision", m_store.revision()}});
}

void PlatformServer::startWatch(const net::HttpRequest &request, net::HttpResponder respond)
{
    PendingWatch watch;
    watch.prefix = queryText(request.query, "prefix");
    watch.after = queryNumber(request.query, "after");
    watch.expiry = steadyNow() + std::chrono::milliseconds(queryNumber(request.query, "waitMs"));
    watch.respond = std::move(respond);
    {
        const std::lock_guard lock(m_mutex);
        m_watches.push_back(std::move(watch));
    }
    answerWatches();
}

void PlatformServer::answerWatches()
{
    std::vector<std::pair<net::HttpReply, net::HttpResponder>> due;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = steadyNow();
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            const auto listing = readModel().changes(watch->prefix, watch->after);
            if (m_faults.outage) {
                due.emplace_back(jsonReply(503, {{"error", "outage"}}), std::move(watch->respond));
            } else if (!listing.items.empty() || watch->expiry <= now) {
                due.emplace_back(listingReply(listing), std::move(watch->respond));
            } else {
                ++watch;
                continue;
            }
            watch = m_watches.erase(watch);
        }
    }
    for (auto &[reply, respond] : due) {
        deliver(std::move(reply), std::move(respond));
    }
}

} // namespace cyclamenlatch::standins
