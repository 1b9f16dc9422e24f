// Stand-ins for the platform's store, its list of machines and its advice service, and for minions,
// after the users' PROTOCOL page.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <optional>

namespace lab {

using nlohmann::json;

inline std::string toBase64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8 | (byte < count ? static_cast<unsigned char>(bytes[at + byte]) : 0u);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text += digit <= count ? digits[group >> (18 - 6 * digit) & 63] : '=';
        }
    }
    return text;
}

inline std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        const int digit = letter >= 'A' && letter <= 'Z'   ? letter - 'A'
                          : letter >= 'a' && letter <= 'z' ? letter - 'a' + 26
                          : letter >= '0' && letter <= '9' ? letter - '0' + 52
                          : letter == '+'                  ? 62
                          : letter == '/'                  ? 63
                                                           : -1;
        if (digit < 0) {
            continue;
        }
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

// What was sent, answered and run, with milliseconds since the start.
class Journal
{
public:
    explicit Journal(const std::string &path)
        : m_file(path)
    {}

    double now() const
    {
        return std::chrono::duration<double, std::milli>(Clock::now() - m_began).count();
    }

    void line(const std::string &text)
    {
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%10.1f ", now());
        m_file << stamp << text << "\n" << std::flush;
    }

private:
    std::ofstream m_file;
    const Clock::time_point m_began = Clock::now();
};

// The metadata store.
class Store
{
public:
    explicit Store(asio::io_context &context)
        : m_context(context)
    {
        asio::co_spawn(context, expire(), asio::detached);
    }

    // Each entry has an address of the store of its own, as if the way there led through a proxy.
    void listen(const std::string &ip, unsigned short port)
    {
        m_servers[ip] = std::make_unique<Server>(m_context, ip, port, [this](Request request) {
            return handle(std::move(request));
        });
    }

    // As the operator or a minion.
    void write(const std::string &key, const std::string &value)
    {
        put(key, toBase64(value), 0, ++m_revision);
    }
    void remove(const std::string &key) { erase(key, ++m_revision); }
    std::string value(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::string{} : fromBase64(found->second.value);
    }
    std::size_t silenceOpen(const std::string &ip) { return m_servers.at(ip)->silenceOpen(); }
    // Called with each put or removal.
    std::function<void(const std::string &key, bool isRemoval)> onChange;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Item> item;
    };
    struct Lease
    {
        Ms timeToLive{};
        Clock::time_point until;
    };

    static json itemJson(const std::string &key, const Item &item)
    {
        return {{"key", key},
                {"value", item.value},
                {"revision", item.revision},
                {"created", item.created},
                {"lease", item.lease}};
    }

    void put(const std::string &key, std::string value, std::uint64_t lease, std::uint64_t revision)
    {
        auto &item = m_items[key];
        item.created = item.created == 0 ? revision : item.created;
        item.value = std::move(value);
        item.revision = revision;
        item.lease = lease;
        m_history.push_back({revision, key, item});
        if (onChange) {
            onChange(key, false);
        }
    }

    void erase(const std::string &key, std::uint64_t revision)
    {
        if (m_items.erase(key) > 0) {
            m_history.push_back({revision, key, std::nullopt});
            if (onChange) {
                onChange(key, true);
            }
        }
    }

    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            erase(key, ++m_revision);
        }
    }

    awaitable<void> expire()
    {
        while (true) {
            co_await pause(Ms(5));
            std::vector<std::uint64_t> ended;
            for (const auto &[id, lease] : m_leases) {
                if (lease.until <= Clock::now()) {
                    ended.push_back(id);
                }
            }
            for (const auto id : ended) {
                endLease(id);
            }
        }
    }

    awaitable<Response> handle(Request request)
    {
        constexpr Ms answerTime{4};
        co_await pause(answerTime);
        const auto &path = request.path;
        if (path == "/v1/kv-key") {
            const auto found = m_items.find(request.query["key"]);
            if (found == m_items.end()) {
                co_return Response{404, json{{"at", m_revision}}.dump()};
            }
            auto body = itemJson(found->first, found->second);
            body["at"] = m_revision;
            co_return Response{200, body.dump()};
        }
        if (path == "/v1/kv-range") {
            co_return range(request.query["prefix"], request.query["after"]);
        }
        if (path == "/v1/kv-watch") {
            const auto prefix = request.query["prefix"];
            const auto after = std::strtoull(request.query["after"].c_str(), nullptr, 10);
            const auto until =
                    Clock::now() + Ms(std::strtoul(request.query["wait_ms"].c_str(), nullptr, 10));
            while (true) {
                auto events = eventsAfter(prefix, after);
                if (!events.empty() || Clock::now() >= until) {
                    co_return Response{200, json{{"events", events}, {"at", m_revision}}.dump()};
                }
                co_await pause(Ms(3));
            }
        }
        if (path == "/v1/kv-txn") {
            co_return transaction(json::parse(request.body));
        }
        if (path == "/v1/kv-lease") {
            const auto time = json::parse(request.body).at("ttl_ms").get<int>();
            const auto id = ++m_lastLease;
            m_leases[id] = {Ms(time), Clock::now() + Ms(time)};
            co_return Response{200, json{{"lease", id}, {"ttl_ms", time}}.dump()};
        }
        const auto id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = m_leases.find(id);
        if (lease == m_leases.end()) {
            co_return Response{404, "{}"};
        }
        if (path.starts_with("/v1/kv-keep/")) {
            lease->second.until = Clock::now() + lease->second.timeToLive;
        } else {
            endLease(id);
        }
        co_return Response{200, "{}"};
    }

    Response range(const std::string &prefix, const std::string &after) const
    {
        json items = json::array();
        bool hasMore = false;
        for (auto at = m_items.lower_bound(prefix); at != m_items.end(); ++at) {
            if (!at->first.starts_with(prefix)) {
                break;
            }
            if (at->first <= after) {
                continue;
            }
            if (items.size() == 500) {
                hasMore = true;
                break;
            }
            items.push_back(itemJson(at->first, at->second));
        }
        return {200, json{{"items", items}, {"has_more", hasMore}, {"at", m_revision}}.dump()};
    }

    json eventsAfter(const std::string &prefix, std::uint64_t after) const
    {
        json events = json::array();
        auto at = std::upper_bound(m_history.begin(), m_history.end(), after,
                                   [](std::uint64_t revision, const Event &event) {
                                       return revision < event.revision;
                                   });
        for (; at != m_history.end(); ++at) {
            if (!at->key.starts_with(prefix)) {
                continue;
            }
            events.push_back(at->item ? itemJson(at->key, *at->item)
                                      : json{{"key", at->key},
                                             {"revision", at->revision},
                                             {"deleted", true}});
        }
        return events;
    }

    Response transaction(const json &body)
    {
        const auto expected = body.value("expected", json::array());
        const auto writes = body.value("write", json::array());
        const auto removals = body.value("remove", json::array());
        if (expected.size() + writes.size() + removals.size() > 32) {
            return {400, "{}"};
        }
        const auto isForbidden = [](const std::string &key) {
            return key.starts_with("op/") || key.starts_with("servers/");
        };
        bool isMet = true;
        json items = json::array();
        for (const auto &row : expected) {
            const auto key = row.at("key").get<std::string>();
            const auto found = m_items.find(key);
            const auto revision = found == m_items.end() ? 0 : found->second.revision;
            isMet = isMet && revision == row.at("revision").get<std::uint64_t>();
            items.push_back(found == m_items.end() ? json{{"key", key}, {"revision", 0}}
                                                   : itemJson(key, found->second));
        }
        if (!isMet) {
            return {412, json{{"items", items}}.dump()};
        }
        for (const auto &row : writes) {
            const auto lease = row.value("lease", std::uint64_t{0});
            if (isForbidden(row.at("key"))) {
                return {403, "{}"};
            }
            if (lease != 0 && !m_leases.contains(lease)) {
                return {404, "{}"};
            }
        }
        const auto revision = ++m_revision;
        for (const auto &row : writes) {
            put(row.at("key"), row.at("value"), row.value("lease", std::uint64_t{0}), revision);
        }
        for (const auto &key : removals) {
            erase(key, revision);
        }
        return {200, json{{"revision", revision}}.dump()};
    }

    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 0;
    asio::io_context &m_context;
    std::map<std::string, std::unique_ptr<Server>> m_servers;
};

struct MinionInfo
{
    std::string id;
    std::string service;
    std::string machine;
    std::string zone;
    std::string ip;
    unsigned short port = 0;
    int cpu = 16000;
    int memory = 131072;
};

// Runs tasks. The spec of a job says how long each of its tasks works: "work_ms=300", or "lasts".
class Minion
{
public:
    struct Start
    {
        double at = 0;
        std::string task;
        unsigned attempt = 0;
        std::string minion;
    };

    Minion(asio::io_context &context, Store &store, Journal &journal, MinionInfo info)
        : info(std::move(info))
        , m_store(store)
        , m_journal(journal)
        , m_server(context, this->info.ip, this->info.port,
                   [this](Request request) { return handle(std::move(request)); })
    {
        asio::co_spawn(context, beat(), asio::detached);
        asio::co_spawn(context, work(), asio::detached);
    }

    const MinionInfo info;
    std::vector<Start> starts;

    // Processor share in use, in thousandths of a core; the sizes come from the case.
    std::size_t running() const { return m_runs.size(); }
    bool runs(const std::string &prefix) const
    {
        return std::any_of(m_runs.begin(), m_runs.end(),
                           [&](const auto &item) { return item.first.starts_with(prefix); });
    }

private:
    struct Run
    {
        unsigned attempt = 0;
        Clock::time_point began;
        // 0: lasts.
        Ms length{};
        bool isStopping = false;
        Clock::time_point stopsAt;
    };

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<Ms>(Clock::now() - m_bornAt).count();
    }

    awaitable<void> beat()
    {
        for (unsigned sequence = 1;; ++sequence) {
            const json entry{{"service", info.service},
                             {"address", info.ip + ":" + std::to_string(info.port)},
                             {"zone", info.zone},
                             {"version", "1"},
                             {"slots", 8},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"sequence", sequence},
                             {"machine", info.machine},
                             {"labels", {"a", "r1"}},
                             {"capacity", {{"cpu", info.cpu}, {"mem_mb", info.memory}, {"gpu", 0}}},
                             {"born", m_born}};
            m_store.write("servers/" + info.id, entry.dump());
            co_await pause(Ms(1500));
        }
    }

    void end(const std::string &task, const Run &run, const char *how)
    {
        m_ends.push_back({m_nextEnd++, task, run.attempt, how, ""});
        m_highestEnded[task] = std::max(m_highestEnded[task], run.attempt);
        m_journal.line("end    " + info.id + " " + task + " attempt " + std::to_string(run.attempt)
                       + " " + how);
    }

    awaitable<void> work()
    {
        while (true) {
            co_await pause(Ms(2));
            const auto now = Clock::now();
            for (auto at = m_runs.begin(); at != m_runs.end();) {
                const auto &run = at->second;
                const char *how = clock() >= m_deadline                  ? "lapsed"
                                  : run.isStopping && now >= run.stopsAt ? "stopped"
                                  : run.isStopping                       ? nullptr
                                  : run.length.count() > 0 && now >= run.began + run.length
                                          ? "done"
                                          : nullptr;
                if (how == nullptr) {
                    ++at;
                    continue;
                }
                end(at->first, run, how);
                at = m_runs.erase(at);
            }
        }
    }

    Response refusal(const char *reason) const
    {
        return {409, json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
    }

    Response plain() const { return {200, json{{"clock_ms", clock()}}.dump()}; }

    void extend(const json &body)
    {
        constexpr std::int64_t longest = 10000;
        m_deadline = std::max(m_deadline, std::min(body.value("deadline_ms", std::int64_t{0}),
                                                   clock() + longest));
    }

    awaitable<Response> handle(Request request)
    {
        co_await pause(Ms(1));
        if (request.path == "/healthz") {
            co_return Response{200, "{}"};
        }
        const auto instance = request.headers["cyclamenlatch-expect-instance"];
        if (!instance.empty() && instance != info.id) {
            co_return Response{421, "{}"};
        }
        const auto body = json::parse(request.body);
        const auto fence = body.value("fencing_token", std::uint64_t{0});
        if (fence < m_fence) {
            co_return refusal("fence");
        }
        m_fence = fence;
        if (request.path == "/v1/hold") {
            co_return co_await hold(body);
        }
        const auto task = body.at("task").get<std::string>();
        const auto attempt = body.at("attempt").get<unsigned>();
        const auto found = m_runs.find(task);
        if (request.path == "/v1/run-start") {
            co_return start(body, task, attempt);
        }
        if (request.path == "/v1/run-stop") {
            m_highestEnded[task] = std::max(m_highestEnded[task], attempt);
            if (found != m_runs.end() && found->second.attempt <= attempt
                && !found->second.isStopping) {
                found->second.isStopping = true;
                found->second.stopsAt = Clock::now() + Ms(100);
                m_journal.line("stop   " + info.id + " " + task + " attempt "
                               + std::to_string(attempt));
            }
        }
        co_return plain();
    }

    Response start(const json &body, const std::string &task, unsigned attempt)
    {
        const auto until = body.at("deadline_ms").get<std::int64_t>();
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.attempt == attempt) {
            extend(body);
            return plain();
        }
        if (attempt <= m_highestEnded[task]
            || (found != m_runs.end() && found->second.attempt > attempt)) {
            extend(body);
            return refusal("old");
        }
        if (until <= clock()) {
            return refusal("late");
        }
        extend(body);
        Run run;
        run.attempt = attempt;
        run.began = Clock::now();
        const auto spec = body.at("spec").get<std::string>();
        if (const auto at = spec.find("work_ms="); at != std::string::npos) {
            run.length = Ms(std::atoi(spec.c_str() + at + 8));
        }
        m_runs[task] = run;
        starts.push_back({m_journal.now(), task, attempt, info.id});
        m_journal.line("start  " + info.id + " " + task + " attempt " + std::to_string(attempt));
        return plain();
    }

    awaitable<Response> hold(const json &body)
    {
        extend(body);
        const auto seen = body.value("ack_cursor", std::uint64_t{0});
        std::erase_if(m_ends, [&](const auto &row) { return row[0] <= seen; });
        const auto until = Clock::now() + Ms(body.value("wait_ms", 0));
        while (m_ends.empty() && Clock::now() < until) {
            co_await pause(Ms(2));
        }
        json running = json::array();
        for (const auto &[task, run] : m_runs) {
            const double worked =
                    std::chrono::duration<double, std::milli>(Clock::now() - run.began).count();
            const int percent =
                    run.length.count() > 0 ? std::min(
                            99, static_cast<int>(100 * worked
                                                 / static_cast<double>(run.length.count())))
                                           : (worked > 300 ? 100 : 50);
            running.push_back({task, run.attempt, "", percent, 10});
        }
        json ends = json::array();
        for (std::size_t index = 0; index < std::min<std::size_t>(m_ends.size(), 500); ++index) {
            ends.push_back(m_ends[index]);
        }
        co_return Response{200, json{{"clock_ms", clock()},
                                     {"running", running},
                                     {"finished", ends},
                                     {"born", m_born}}
                                        .dump()};
    }

    Store &m_store;
    Journal &m_journal;
    const Clock::time_point m_bornAt = Clock::now();
    const std::int64_t m_born =
            std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
                    .count();
    std::uint64_t m_fence = 0;
    std::int64_t m_deadline = 0;
    std::map<std::string, Run> m_runs;
    std::vector<json> m_ends;
    std::uint64_t m_nextEnd = 1;
    std::map<std::string, unsigned> m_highestEnded;
    Server m_server;
};

} // namespace lab
