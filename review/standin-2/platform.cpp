#include "platform.h"

#include <cstdio>

namespace review {

namespace {

constexpr char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t pageItems = 500;
constexpr std::size_t maxValueBytes = 1048576;

} // namespace

std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto left = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U
                    | (index < left ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text += index <= left ? alphabet[group >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        const auto *found = std::char_traits<char>::find(alphabet, 64, letter);
        if (found == nullptr) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(found - alphabet);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{}

Record::~Record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

std::int64_t Record::milliseconds() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_began).count();
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%7lld ms  %s\n", static_cast<long long>(milliseconds()),
                     text.c_str());
        std::fflush(m_file);
    }
}

Store::Store()
{
    const auto port = freePort();
    m_address = "127.0.0.1:" + std::to_string(port);
    m_leaseThread = std::thread([this] { endLeases(); });
    m_server = std::make_unique<HttpServer>(
            port, [this](const Request &request) { return handle(request); });
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_changed.notify_all();
    m_server.reset();
    m_leaseThread.join();
}

void Store::setLateHook(LateHook hook)
{
    const std::lock_guard lock(m_mutex);
    m_lateHook = std::move(hook);
}

void Store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    writeLocked(key, value, 0);
    m_changed.notify_all();
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    removeLocked(key);
    m_changed.notify_all();
}

std::string Store::get(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string{} : found->second.value;
}

void Store::writeLocked(const std::string &key, const std::string &value, std::uint64_t lease)
{
    auto &item = m_items[key];
    item.value = value;
    item.created = item.created == 0 ? m_revision : item.created;
    item.revision = m_revision;
    item.lease = lease;
    m_events.push_back({m_revision, key, itemLocked(key)});
}

void Store::removeLocked(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_events.push_back(
                {m_revision, key, {{"key", key}, {"revision", m_revision}, {"deleted", true}}});
    }
}

json Store::itemLocked(const std::string &key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {{"key", key}, {"revision", 0}};
    }
    const auto &item = found->second;
    return {{"key", key},
            {"value", toBase64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void Store::revokeLocked(std::uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++m_revision;
    }
    for (const auto &key : keys) {
        removeLocked(key);
    }
    m_changed.notify_all();
}

void Store::endLeases()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopped) {
        std::vector<std::uint64_t> ended;
        for (const auto &[id, lease] : m_leases) {
            if (Clock::now() >= lease.end) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            revokeLocked(id);
        }
        lock.unlock();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        lock.lock();
    }
}

std::optional<Reply> Store::handle(const Request &request)
{
    const auto &path = request.path;
    if (path == "/v1/kv-key") {
        const std::lock_guard lock(m_mutex);
        const auto key = request.query.at("key");
        if (!m_items.contains(key)) {
            return Reply{404, "{}"};
        }
        auto item = itemLocked(key);
        item["at"] = m_revision;
        return Reply{200, item.dump()};
    }
    if (path == "/v1/kv-range") {
        return range(request);
    }
    if (path == "/v1/kv-watch") {
        return watch(request);
    }
    if (path == "/v1/kv-lease") {
        return grant(request);
    }
    if (path.starts_with("/v1/kv-keep/")) {
        const std::lock_guard lock(m_mutex);
        const auto found = m_leases.find(std::stoull(path.substr(12)));
        if (found == m_leases.end()) {
            return Reply{404, "{}"};
        }
        found->second.end = Clock::now() + found->second.timeToLive;
        return Reply{200, json{{"ttl_ms", found->second.timeToLive.count()}}.dump()};
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
        const std::lock_guard lock(m_mutex);
        const auto lease = std::stoull(path.substr(17));
        const bool isKnown = m_leases.contains(lease);
        revokeLocked(lease);
        return Reply{isKnown ? 200 : 404, "{}"};
    }
    if (path != "/v1/kv-txn") {
        return Reply{404, "{}"};
    }
    const auto transaction = json::parse(request.body);
    LateHook hook;
    {
        const std::lock_guard lock(m_mutex);
        hook = m_lateHook;
    }
    const int late = hook ? hook(transaction) : -1;
    if (late < 0) {
        return transact(transaction);
    }
    std::thread([this, transaction, late] {
        std::this_thread::sleep_for(std::chrono::milliseconds(late));
        transact(transaction);
    }).detach();
    return std::nullopt;
}

Reply Store::transact(const json &transaction)
{
    const std::lock_guard lock(m_mutex);
    json items = json::array();
    bool holds = true;
    for (const auto &row : transaction["expected"]) {
        const auto key = row["key"].get<std::string>();
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row["revision"].get<std::uint64_t>();
        items.push_back(itemLocked(key));
    }
    if (!holds) {
        return {412, json{{"items", items}}.dump()};
    }
    for (const auto &row : transaction["write"]) {
        const auto lease = row.value("lease", std::uint64_t{0});
        if (row["value"].get_ref<const std::string &>().size() > (maxValueBytes + 2) / 3 * 4) {
            return {400, R"({"error":"a value is longer than max_value_bytes"})"};
        }
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404, "{}"};
        }
    }
    ++m_revision;
    for (const auto &row : transaction["write"]) {
        writeLocked(row["key"], fromBase64(row["value"]), row.value("lease", std::uint64_t{0}));
    }
    for (const auto &key : transaction["remove"]) {
        removeLocked(key);
    }
    m_changed.notify_all();
    return {200, json{{"revision", m_revision}}.dump()};
}

Reply Store::range(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto prefix = request.query.at("prefix");
    const auto after = request.query.contains("after") ? request.query.at("after") : std::string{};
    json items = json::array();
    bool hasMore = false;
    for (auto at = m_items.lower_bound(prefix);
         at != m_items.end() && at->first.starts_with(prefix); ++at) {
        if (!after.empty() && at->first <= after) {
            continue;
        }
        if (items.size() >= pageItems) {
            hasMore = true;
            break;
        }
        items.push_back(itemLocked(at->first));
    }
    return {200, json{{"items", items}, {"has_more", hasMore}, {"at", m_revision}}.dump()};
}

Reply Store::watch(const Request &request)
{
    std::unique_lock lock(m_mutex);
    const auto prefix = request.query.at("prefix");
    const auto after = std::stoull(request.query.at("after"));
    const auto end =
            Clock::now() + std::chrono::milliseconds(std::stoi(request.query.at("wait_ms")));
    while (true) {
        json events = json::array();
        for (const auto &event : m_events) {
            if (event.revision > after && event.key.starts_with(prefix)) {
                events.push_back(event.event);
            }
        }
        if (!events.empty() || m_isStopped || Clock::now() >= end) {
            return {200, json{{"events", events}, {"at", m_revision}}.dump()};
        }
        m_changed.wait_until(lock, end);
    }
}

Reply Store::grant(const Request &request)
{
    const std::lock_guard lock(m_mutex);
    const auto timeToLive =
            std::chrono::milliseconds(json::parse(request.body)["ttl_ms"].get<std::int64_t>());
    m_leases[++m_lastLease] = {timeToLive, Clock::now() + timeToLive};
    return {200, json{{"lease", m_lastLease}, {"ttl_ms", timeToLive.count()}}.dump()};
}

} // namespace review
