// The parts of the world.
#include "world.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr Milliseconds storeTime{4};
constexpr Milliseconds minionTime{1};
constexpr std::int64_t holdMaxMs = 10000;
constexpr Milliseconds heartbeat{1500};
constexpr Milliseconds moveTime{1500};
constexpr Milliseconds upkeepTime{2000};
constexpr Milliseconds historyTime{20000};
constexpr std::size_t pageItems = 500;
constexpr std::size_t maxValueBytes = 1048576;
// Third parts of the addresses; minions have the numbers below.
constexpr int storeNet = 210;
constexpr int cloudNet = 211;
constexpr int adviceNet = 212;
constexpr int entryNet = 220;

// A loopback address of this run: runs beside each other have networks of their own.
std::string loopback(int third, int fourth)
{
    constexpr int networks = 250;
    static const int network = 2 + static_cast<int>(getpid()) % networks;
    return "127." + std::to_string(network) + "." + std::to_string(third) + "."
           + std::to_string(fourth);
}

std::string toBase64(const std::string &text)
{
    static constexpr char digits[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t place = 0; place < 3; ++place) {
            bits = bits << 8U
                   | (at + place < text.size() ? static_cast<unsigned char>(text[at + place]) : 0U);
        }
        for (std::size_t place = 0; place < 4; ++place) {
            out += at + place <= text.size() ? digits[bits >> (18 - 6 * place) & 63U] : '=';
        }
    }
    return out;
}

std::string fromBase64(const std::string &text)
{
    std::string out;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        int digit = -1;
        if (letter >= 'A' && letter <= 'Z') {
            digit = letter - 'A';
        } else if (letter >= 'a' && letter <= 'z') {
            digit = letter - 'a' + 26;
        } else if (letter >= '0' && letter <= '9') {
            digit = letter - '0' + 52;
        } else if (letter == '+' || letter == '/') {
            digit = letter == '+' ? 62 : 63;
        }
        if (digit < 0) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255U);
        }
    }
    return out;
}

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void respondAfter(asio::io_context &context, Milliseconds delay, const Respond &respond,
                  Answer answer)
{
    auto timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait([timer, respond, answer = std::move(answer)](const auto &error) {
        if (!error) {
            respond(answer);
        }
    });
}

} // namespace

std::uint16_t freePort(const std::string &ip)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address(ip), 0});
    return acceptor.local_endpoint().port();
}

bool isCalm()
{
    const char *text = std::getenv("TROUBLE");
    return text != nullptr && std::string(text) == "0";
}

// Store.

Json Store::itemJson(int entry, const std::string &key, const Item &item) const
{
    auto value = item.value;
    // Each entry reaches a minion over a path of its own.
    for (const auto &minion : m_world.minions) {
        const auto mark = "@" + minion->spec().machine + "@";
        if (const auto at = value.find(mark); at != std::string::npos) {
            value.replace(at, mark.size(), minion->addressFor(entry));
        }
    }
    return {{"key", key},
            {"value", toBase64(value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void Store::handle(int entry, const Message &request, const Respond &respond)
{
    const auto later = [&](Answer answer) {
        respondAfter(m_world.context, storeTime, respond, std::move(answer));
    };
    const auto path = request.path();
    if (path == "/v1/kv-key") {
        const auto key = request.query("key");
        const auto found = m_items.find(key);
        if (found == m_items.end()) {
            return later({404, Json{{"at", m_revision}}.dump()});
        }
        auto item = itemJson(entry, key, found->second);
        item["at"] = m_revision;
        return later({200, item.dump()});
    }
    if (path == "/v1/kv-range") {
        return later(range(entry, request));
    }
    if (path == "/v1/kv-watch") {
        const auto after = std::stoull(request.query("after"));
        if (!m_history.empty() && after + 1 < m_history.front().revision) {
            return later({410, "{}"});
        }
        Watch watch{entry, request.query("prefix"), after,
                    Clock::now() + Milliseconds(std::stoll(request.query("wait_ms"))), respond};
        if (!answerWatch(watch, false)) {
            m_watches.push_back(std::move(watch));
        }
        return;
    }
    if (path == "/v1/kv-txn") {
        return later(transact(entry, request));
    }
    if (path == "/v1/kv-lease") {
        const auto time =
                std::max<std::int64_t>(1000, Json::parse(request.body).value("ttl_ms", 1000));
        const auto lease = ++m_lastLease;
        m_leases[lease] = {Milliseconds(time), Clock::now() + Milliseconds(time)};
        return later({200, Json{{"lease", lease}, {"ttl_ms", time}}.dump()});
    }
    const std::string keep = "/v1/kv-keep/";
    const std::string end = "/v1/kv-lease-end/";
    if (path.starts_with(keep)) {
        tick();
        const auto found = m_leases.find(std::stoull(path.substr(keep.size())));
        if (found == m_leases.end()) {
            return later({404, "{}"});
        }
        found->second.end = Clock::now() + found->second.timeToLive;
        return later({200, Json{{"ttl_ms", found->second.timeToLive.count()}}.dump()});
    }
    if (path.starts_with(end)) {
        endLease(std::stoull(path.substr(end.size())));
        answerWatches();
        return later({200, "{}"});
    }
    later({400, "{}"});
}

Answer Store::range(int entry, const Message &request) const
{
    const auto prefix = request.query("prefix");
    const auto after = request.query("after");
    Json items = Json::array();
    bool hasMore = false;
    for (auto at = m_items.lower_bound(prefix);
         at != m_items.end() && at->first.starts_with(prefix); ++at) {
        if (!after.empty() && at->first <= after) {
            continue;
        }
        if (items.size() == pageItems) {
            hasMore = true;
            break;
        }
        items.push_back(itemJson(entry, at->first, at->second));
    }
    return {200, Json{{"items", items}, {"has_more", hasMore}, {"at", m_revision}}.dump()};
}

Answer Store::transact(int entry, const Message &request)
{
    tick();
    const auto body = Json::parse(request.body);
    bool holds = true;
    Json current = Json::array();
    for (const auto &condition : body.value("expected", Json::array())) {
        const auto key = condition.at("key").get<std::string>();
        const auto found = m_items.find(key);
        const auto revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == condition.at("revision").get<std::uint64_t>();
        if (found != m_items.end()) {
            current.push_back(itemJson(entry, key, found->second));
        }
    }
    if (!holds) {
        return {412, Json{{"items", current}}.dump()};
    }
    for (const auto &write : body.value("write", Json::array())) {
        const auto lease = write.value("lease", std::uint64_t{0});
        if (lease != 0 && !m_leases.contains(lease)) {
            return {404, "{}"};
        }
        const auto key = write.at("key").get<std::string>();
        if (key.starts_with("op/") || key.starts_with("servers/")) {
            return {403, "{}"};
        }
        const auto bytes = fromBase64(write.at("value")).size();
        m_largest[key] = std::max(m_largest[key], bytes);
        if (bytes > maxValueBytes) {
            if (m_tooLarge++ == 0) {
                m_world.note("store: a value of " + std::to_string(bytes) + " bytes for " + key
                             + " is refused; max_value_bytes is " + std::to_string(maxValueBytes));
            }
            return {400, "{}"};
        }
    }
    ++m_revision;
    for (const auto &write : body.value("write", Json::array())) {
        set(write.at("key"), fromBase64(write.at("value")), write.value("lease", std::uint64_t{0}));
    }
    for (const auto &key : body.value("remove", Json::array())) {
        erase(key);
    }
    const auto revision = m_revision;
    answerWatches();
    return {200, Json{{"revision", revision}}.dump()};
}

void Store::set(const std::string &key, const std::string &value, std::uint64_t lease)
{
    auto &item = m_items[key];
    item.created = item.created == 0 ? m_revision : item.created;
    item.value = value;
    item.revision = m_revision;
    item.lease = lease;
    m_history.push_back({m_revision, key, false, item, Clock::now()});
    if (key == "owner") {
        ++m_world.counts.owners;
        m_world.note("store: owner is " + value);
    }
}

void Store::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back({m_revision, key, true, {}, Clock::now()});
        if (key == "owner") {
            m_world.note("store: there is no owner");
        }
    }
}

void Store::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    set(key, value, 0);
    answerWatches();
}

void Store::remove(const std::string &key)
{
    ++m_revision;
    erase(key);
    answerWatches();
}

std::optional<std::string> Store::value(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
}

void Store::endLease(std::uint64_t lease)
{
    if (m_leases.erase(lease) == 0) {
        return;
    }
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
        erase(key);
    }
}

void Store::tick()
{
    std::vector<std::uint64_t> ended;
    for (const auto &[lease, state] : m_leases) {
        if (Clock::now() >= state.end) {
            ended.push_back(lease);
        }
    }
    for (const auto lease : ended) {
        endLease(lease);
    }
    while (!m_history.empty() && Clock::now() - m_history.front().at > historyTime) {
        m_history.pop_front();
    }
    answerWatches();
}

bool Store::answerWatch(const Watch &watch, bool isDue)
{
    Json events = Json::array();
    for (auto at = m_history.rbegin(); at != m_history.rend() && at->revision > watch.after; ++at) {
        if (!at->key.starts_with(watch.prefix)) {
            continue;
        }
        events.insert(events.begin(), at->isDeleted ? Json{{"key", at->key},
                                                           {"revision", at->revision},
                                                           {"deleted", true}}
                                                    : itemJson(watch.entry, at->key, at->item));
    }
    if (events.empty() && !isDue) {
        return false;
    }
    respondAfter(m_world.context, storeTime, watch.respond,
                 {200, Json{{"events", events}, {"at", m_revision}}.dump()});
    return true;
}

void Store::answerWatches()
{
    std::erase_if(m_watches, [&](const Watch &watch) {
        return answerWatch(watch, Clock::now() >= watch.end);
    });
}

// Minion.

Minion::Minion(World &world, MinionSpec spec)
    : m_world(world)
    , m_spec(std::move(spec))
{
    const auto number = world.minions.size() + 1;
    for (std::size_t entry = 0; entry < world.entries.size(); ++entry) {
        const auto ip = loopback(static_cast<int>(number), static_cast<int>(entry) + 1);
        m_servers.push_back(
                Server::listen(world.context, ip, 0,
                               [this, entry](const Message &request, const Respond &respond) {
                                   handle(static_cast<int>(entry), request, respond);
                               }));
        m_servers.back()->close();
    }
    m_paths.resize(world.entries.size());
}

void Minion::start(Milliseconds registerDelay)
{
    m_isUp = true;
    m_born = Clock::now();
    m_bornUnix = unixMilliseconds();
    m_fence = 0;
    m_leaseUntil = 0;
    m_lastEnd = 0;
    m_sequence = 0;
    m_runs.clear();
    m_over.clear();
    m_ends.clear();
    m_waiting.clear();
    m_hasLapsed = false;
    m_lapses = 0;
    m_clockOffset = m_world.mostClockOffset > 0 ? m_world.draw(0, m_world.mostClockOffset) : 0;
    for (const auto &server : m_servers) {
        if (!server->isOpen()) {
            server->reopen();
        }
    }
    m_registerAt = Clock::now() + registerDelay;
    m_nextBeat = m_registerAt;
    m_world.note("minion " + m_spec.id + " on " + m_spec.machine + " starts, born "
                 + std::to_string(m_bornUnix) + ", labels " + Json(m_spec.labels).dump());
}

void Minion::crash(bool keepsConnections)
{
    m_world.note("minion " + m_spec.id + " crashes");
    m_isUp = false;
    m_runs.clear();
    m_waiting.clear();
    m_silentSince = Clock::now();
    for (const auto &server : m_servers) {
        if (!keepsConnections) {
            server->close();
        }
    }
}

void Minion::holdFrom(int entry, Clock::time_point until, Milliseconds mostHeld)
{
    auto &path = m_paths.at(static_cast<std::size_t>(entry));
    path.holdsUntil = until;
    path.mostHeld = mostHeld;
}

void Minion::loseAnswersTo(int entry, Clock::time_point until)
{
    m_paths.at(static_cast<std::size_t>(entry)).losesAnswersUntil = until;
}

void Minion::hold(Path &path, const Message &request, const Respond &respond)
{
    const auto now = Clock::now();
    const auto mostHeld = std::max<std::int64_t>(path.mostHeld.count(), 1);
    auto release = now + Milliseconds(m_world.draw(0, mostHeld));
    for (const auto &held : path.held) {
        if (held.request.connection == request.connection) {
            release = held.release;
        }
    }
    path.held.push_back({request, respond, now, release, m_bornUnix});
}

void Minion::release(int entry)
{
    auto &path = m_paths.at(static_cast<std::size_t>(entry));
    const auto now = Clock::now();
    std::vector<Held> due;
    std::erase_if(path.held, [&](Held &held) {
        if (!m_isUp && now - held.arrived > m_world.mostHeld) {
            ++m_world.counts.heldLost;
            return true;
        }
        if (!m_isUp || now < held.release) {
            return false;
        }
        due.push_back(std::move(held));
        return true;
    });
    for (const auto &held : due) {
        if (held.bornUnix != m_bornUnix) {
            auto &counts = m_world.counts;
            const auto path = held.request.path();
            ++(path == "/v1/run-start" ? counts.heldStarts
               : path == "/v1/hold"    ? counts.heldHolds
                                       : counts.heldStops);
            m_world.note(
                    "minion " + m_spec.id + ": " + path + " of " + m_world.entry(entry).name()
                    + " for an earlier life delivered "
                    + std::to_string(
                            std::chrono::duration_cast<Milliseconds>(now - held.arrived).count())
                    + " ms late: " + held.request.body.substr(0, 200));
        }
        carryOut(entry, held.request, held.respond);
    }
}

void Minion::cutFrom(int entry, bool isCut)
{
    auto &server = m_servers.at(static_cast<std::size_t>(entry));
    isCut ? server->cut() : server->heal();
}

std::int64_t Minion::clock() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_born).count() + 1
           + m_clockOffset;
}

void Minion::beat()
{
    m_world.store.put(
            "servers/" + m_spec.id,
            Json{{"service", m_spec.service},
                 {"address", "@" + m_spec.machine + "@"},
                 {"zone", m_spec.zone},
                 {"machine", m_spec.machine},
                 {"version", "v1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"capacity", {{"cpu", m_spec.cpu}, {"mem_mb", m_spec.memory}, {"gpu", 0}}},
                 {"labels", m_spec.labels},
                 {"born", m_bornUnix},
                 {"clock_ms", clock()},
                 {"sequence", ++m_sequence}}
                    .dump());
}

void Minion::tick()
{
    const auto now = Clock::now();
    for (std::size_t entry = 0; entry < m_paths.size(); ++entry) {
        release(static_cast<int>(entry));
    }
    if (!m_isUp) {
        // Removed after three heartbeat intervals of silence.
        if (now - m_silentSince > 3 * heartbeat && m_world.store.value("servers/" + m_spec.id)
            && m_silentSince != Clock::time_point{}) {
            m_world.store.remove("servers/" + m_spec.id);
        }
        return;
    }
    if (now >= m_nextBeat) {
        m_nextBeat = now + heartbeat;
        beat();
    }
    expire();
    std::vector<std::pair<std::string, std::string>> ended;
    for (const auto &[task, run] : m_runs) {
        if (!run.work.lasts && now - run.began >= run.work.duration) {
            ended.emplace_back(task, run.work.fails ? "failed" : "done");
        }
    }
    for (const auto &[task, how] : ended) {
        end(task, how);
    }
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        if (now < waiting.end) {
            return false;
        }
        waiting.respond(list());
        return true;
    });
}

void Minion::expire()
{
    const bool hasLapsed = clock() > m_leaseUntil;
    if (!std::exchange(m_hasLapsed, hasLapsed) && hasLapsed) {
        ++m_lapses;
    }
    if (hasLapsed) {
        for (const auto &task : running()) {
            end(task, "lapsed");
        }
    }
}

void Minion::acknowledge(std::uint64_t cursor)
{
    std::erase_if(m_ends, [&](const End &end) {
        const bool isNoted = end.number <= cursor;
        if (isNoted && end.how == "done" && end.lapses == m_lapses && m_world.onDoneNoted) {
            m_world.onDoneNoted(end.task, end.at);
        }
        return isNoted;
    });
}

void Minion::end(const std::string &task, const std::string &how)
{
    const auto run = m_runs.extract(task);
    m_over[task] = std::max(m_over[task], run.mapped().attempt);
    m_ends.push_back({++m_lastEnd, task, run.mapped().attempt, how, m_world.now(), m_lapses});
    if (m_world.onEnd) {
        m_world.onEnd(*this, task, how);
    }
    if (!m_world.isBrief) {
        m_world.note("minion " + m_spec.id + ": run " + task + "/"
                     + std::to_string(run.mapped().attempt) + " ended " + how);
    }
    answerWaiting();
}

void Minion::answerWaiting()
{
    for (const auto &waiting : std::exchange(m_waiting, {})) {
        respondAfter(m_world.context, minionTime, waiting.respond, list());
    }
}

std::vector<std::string> Minion::running() const
{
    std::vector<std::string> tasks;
    for (const auto &[task, run] : m_runs) {
        tasks.push_back(task);
    }
    return tasks;
}

Answer Minion::list() const
{
    Json running = Json::array();
    for (const auto &[task, run] : m_runs) {
        const auto worked = std::chrono::duration_cast<Milliseconds>(Clock::now() - run.began);
        const auto percent =
                run.work.lasts ? 100
                               : 100 * worked.count()
                                         / std::max<std::int64_t>(run.work.duration.count(), 1);
        running.push_back({task, run.attempt, "", std::min<std::int64_t>(percent, 100)});
    }
    Json finished = Json::array();
    for (const auto &end : m_ends) {
        finished.push_back({end.number, end.task, end.attempt, end.how, ""});
    }
    return {200, Json{{"clock_ms", clock()},
                      {"born", m_bornUnix},
                      {"running", running},
                      {"finished", finished}}
                         .dump()};
}

Answer Minion::refuse(const char *reason) const
{
    return {409, Json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
}

void Minion::extend(const Json &body)
{
    const auto until = body.value("deadline_ms", std::int64_t{0});
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + holdMaxMs));
}

void Minion::handle(int entry, const Message &request, const Respond &respond)
{
    auto &path = m_paths.at(static_cast<std::size_t>(entry));
    const bool hasHeld = std::any_of(path.held.begin(), path.held.end(), [&](const Held &held) {
        return held.request.connection == request.connection;
    });
    if (!m_isUp || hasHeld || Clock::now() < path.holdsUntil) {
        return hold(path, request, respond);
    }
    carryOut(entry, request, respond);
}

void Minion::carryOut(int entry, const Message &request, const Respond &respondTo)
{
    const auto &path = m_paths.at(static_cast<std::size_t>(entry));
    const Respond respond =
            Clock::now() < path.losesAnswersUntil ? [](const Answer &) {} : respondTo;
    const auto later = [&](Answer answer) {
        respondAfter(m_world.context, minionTime, respond, std::move(answer));
    };
    expire();
    if (request.path() == "/healthz") {
        return later({200, "{}"});
    }
    const auto expected = request.header("cyclamenlatch-expect-instance");
    if (!expected.empty() && expected != m_spec.id) {
        return later({421, "{}"});
    }
    const auto body = Json::parse(request.body);
    const auto fence = body.value("fencing_token", std::uint64_t{0});
    if (fence < m_fence) {
        ++m_world.counts.refusedFences;
        return later(refuse("fence"));
    }
    m_fence = fence;
    m_world.orderedBy(entry);
    lastCallMs = m_world.now() + 1;
    if (request.path() == "/v1/run-start") {
        return startRun(body, respond, entry);
    }
    if (request.path() == "/v1/run-stop") {
        return stopRun(body, respond);
    }
    if (request.path() == "/v1/pace") {
        return later({200, Json{{"clock_ms", clock()}}.dump()});
    }
    extend(body);
    const auto cursor = body.value("ack_cursor", std::uint64_t{0});
    acknowledge(cursor);
    const auto wait = body.value("wait_ms", std::int64_t{0});
    if (wait > 0 && m_ends.empty()) {
        m_waiting.push_back({Clock::now() + Milliseconds(wait), respond});
        return;
    }
    later(list());
}

void Minion::startRun(const Json &body, const Respond &respond, int entry)
{
    const auto later = [&](Answer answer) {
        respondAfter(m_world.context, minionTime, respond, std::move(answer));
    };
    const auto task = body.at("task").get<std::string>();
    const auto attempt = body.at("attempt").get<std::uint32_t>();
    const Answer accepted{200, Json{{"clock_ms", clock()}}.dump()};
    if (shedsStarts) {
        m_world.note("minion " + m_spec.id + ": start " + task + "/" + std::to_string(attempt)
                     + " refused, unhealthy");
        return later({503, "{}"});
    }
    if (body.value("deadline_ms", std::int64_t{0}) <= clock()) {
        return later(refuse("late"));
    }
    extend(body);
    const auto over = m_over.find(task);
    if (over != m_over.end() && attempt <= over->second) {
        return later(refuse("old"));
    }
    const auto present = m_runs.find(task);
    if (present != m_runs.end()) {
        return later(attempt == present->second.attempt ? accepted : refuse("old"));
    }
    const auto spec = body.value("spec", std::string{});
    m_runs[task] = {attempt, spec, m_world.work(spec, task, attempt), Clock::now()};
    m_world.starts.push_back({m_world.now(), task, attempt, this, spec});
    if (!m_world.isBrief) {
        m_world.note("minion " + m_spec.id + ": run " + task + "/" + std::to_string(attempt)
                     + " starts, ordered by " + m_world.entry(entry).name() + " with token "
                     + std::to_string(m_fence));
    }
    if (m_world.onStart) {
        m_world.onStart(m_world.starts.back());
    }
    later(accepted);
}

void Minion::stopRun(const Json &body, const Respond &respond)
{
    const auto task = body.at("task").get<std::string>();
    const auto attempt = body.at("attempt").get<std::uint32_t>();
    const auto run = m_runs.find(task);
    if (run != m_runs.end() && run->second.attempt <= attempt) {
        if (m_world.onEndedByOrder) {
            m_world.onEndedByOrder(task, "a stop");
        }
        end(task, "stopped");
    }
    m_over[task] = std::max(m_over[task], attempt);
    respondAfter(m_world.context, minionTime, respond, {200, Json{{"clock_ms", clock()}}.dump()});
}

// Cloud.

void Cloud::handle(int entry, const Message &request, const Respond &respond)
{
    const auto later = [&](Answer answer, Milliseconds delay = storeTime) {
        respondAfter(m_world.context, delay, respond, std::move(answer));
    };
    if (request.path() == "/v1/machines") {
        Json shown = rows();
        for (const auto &[at, list] : m_lists) {
            if (Clock::now() - at >= listLag) {
                shown = list;
            }
        }
        return later({200, Json{{"machines", shown}, {"next_page_token", nullptr}}.dump()});
    }
    const auto body = Json::parse(request.body);
    const auto name = body.value("machine", std::string{});
    const auto found = machines.find(name);
    if (found == machines.end()) {
        return later({400, "{}"});
    }
    auto &machine = found->second;
    const auto token = std::stoull(request.header("cyclamenlatch-fencing-token"));
    const bool isUpkeep = request.path() == "/v1/machine-upkeep";
    const auto refuse = [&](const char *reason) {
        m_world.note("cloud: " + request.path() + " of " + name + " by "
                     + m_world.entry(entry).name() + ", token " + std::to_string(token)
                     + ", refused: " + reason);
        later({409, Json{{"reason", reason}}.dump()}, orderAnswerDelay);
    };
    if (token < machine.fence) {
        return refuse("fence");
    }
    machine.fence = token;
    const auto wave = body.value("wave", std::uint64_t{0});
    const auto pool = body.value("pool", std::string{});
    const bool isDone = isUpkeep ? machine.wavesDone.contains(wave) : machine.pool == pool;
    if (!isDone && machine.state != "up") {
        return refuse("busy");
    }
    m_world.note("cloud: " + request.path() + " of " + name + (isUpkeep ? "" : " to " + pool)
                 + " by " + m_world.entry(entry).name() + ", token " + std::to_string(token)
                 + (isDone ? ", done before" : ", carried out"));
    if (m_world.onMachineOrder) {
        m_world.onMachineOrder(entry, name, request.path());
    }
    if (!isDone) {
        for (const auto &task : machine.minion->running()) {
            if (m_world.onEndedByOrder) {
                m_world.onEndedByOrder(task, (isUpkeep ? "the upkeep of " : "the move of ") + name);
            }
        }
        if (machine.minion->isUp()) {
            machine.minion->crash();
        }
        machine.state = isUpkeep ? "upkeep" : "moving";
        machine.backAt = Clock::now() + (isUpkeep ? upkeepTime : moveTime);
        if (isUpkeep) {
            machine.wavesDone.insert(wave);
            machine.downFor = wave;
        } else {
            machine.pool = pool;
        }
    }
    later({200, "{}"}, orderAnswerDelay);
}

Json Cloud::rows() const
{
    Json rows = Json::array();
    for (const auto &[name, machine] : machines) {
        const auto &spec = machine.minion->spec();
        rows.push_back({{"machine", name},
                        {"pool", machine.pool},
                        {"state", machine.state},
                        {"zone", spec.zone},
                        {"labels", spec.labels},
                        {"capacity", {{"cpu", spec.cpu}, {"mem_mb", spec.memory}, {"gpu", 0}}},
                        {"id", machine.minion->isUp() ? Json(spec.id) : Json(nullptr)}});
    }
    return rows;
}

void Cloud::crash(const std::string &name, Milliseconds time)
{
    auto &machine = machines.at(name);
    machine.minion->crash();
    machine.state = "down";
    machine.backAt = Clock::now() + time;
}

void Cloud::tick()
{
    if (listLag.count() > 0) {
        m_lists.emplace_back(Clock::now(), rows());
        while (Clock::now() - m_lists.front().first > 2 * listLag) {
            m_lists.pop_front();
        }
    }
    for (auto &[name, machine] : machines) {
        if (machine.state == "up" || Clock::now() < machine.backAt) {
            continue;
        }
        machine.state = "up";
        machine.downFor = 0;
        auto &spec = machine.minion->mutableSpec();
        m_world.store.remove("servers/" + spec.id);
        spec.id = "i-" + name + "-" + std::to_string(++machine.lives);
        spec.service = machine.pool;
        machine.minion->start();
    }
}

// Entry.

Entry::Entry(World &world, int number, std::string zone)
    : m_world(world)
    , m_number(number)
    , m_name("edge-" + zone + "-" + std::to_string(number + 1))
    , m_zone(std::move(zone))
    , m_ip(loopback(entryNet + number, 1))
    , m_frontend(m_ip + ":" + std::to_string(freePort(m_ip)))
    , m_readiness(m_ip + ":" + std::to_string(freePort(m_ip)))
    , m_settingsPath(world.directory + "/" + m_name + ".yaml")
{
    m_store = Server::listen(world.context, loopback(storeNet, number + 1), 0,
                             [this](const Message &request, const Respond &respond) {
                                 m_world.store.handle(m_number, request, respond);
                             });
    m_cloud = Server::listen(world.context, loopback(cloudNet, number + 1), 0,
                             [this](const Message &request, const Respond &respond) {
                                 m_world.cloud.handle(m_number, request, respond);
                             });
    m_advice = Server::listen(
            world.context, loopback(adviceNet, number + 1), 0,
            [this](const Message &request, const Respond &respond) { advise(request, respond); });
}

// The advice service, which answers after decision_ms and per_worker_ms for each minion named.
void Entry::advise(const Message &request, const Respond &respond) const
{
    constexpr Milliseconds decision{20};
    constexpr Milliseconds perWorker{2};
    constexpr int validMs = 5000;
    const auto body = Json::parse(request.body);
    const auto phase = body.value("phase", std::string{});
    Json approved = Json::array();
    const auto workers = body.value("workers", std::vector<std::string>{});
    for (const auto &worker : workers) {
        if (m_world.isAdvised && m_world.isAdvised(phase, worker)) {
            approved.push_back({worker, "ticket-" + phase + "-" + worker});
        }
    }
    m_world.note("advice: " + phase + " on " + Json(workers).dump() + ": " + approved.dump());
    respondAfter(m_world.context, decision + perWorker * static_cast<int>(workers.size()), respond,
                 {200, Json{{"approved", approved}, {"valid_ms", validMs}}.dump()});
}

Entry::~Entry()
{
    if (m_pid > 0) {
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
}

void Entry::start()
{
    std::ofstream(m_settingsPath)
            << "node_name: \"" << m_name << "\"\nrole: \"entry\"\nmachine_class: \"edge\"\n"
            << "serves: [\"edge\"]\nip: \"" << m_ip << "\"\nzone: \"" << m_zone
            << "\"\nregion: \"r\"\nlisten_addrs:\n  frontend: \"" << m_frontend
            << "\"\n  readiness: \"" << m_readiness << "\"\nephemeral_ports: [" << freePort(m_ip)
            << ", " << freePort(m_ip) << "]\nbootstrap: true\nlimits:\n  cpu_share: 0.25\n"
            << "  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n"
            << "discovery: \"platform\"\nheartbeat_ms: " << heartbeat.count()
            << "\nbounds:\n  contact_ms: 3000\n  ack_ms: 4000\n  drain_ms: 2000\n  grace_s: 6\n"
            << "  config_apply_ms: 2000\n  quota_overage: 0.1\n  hold_max_ms: " << holdMaxMs
            << "\n  stop_timeout_ms: 200\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n"
            << "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
            << "  remote_factor: 1.5\n  notice_ms: 4500\n  migrate_s: 1.5\n  maintenance_s: 2\n"
            << "  fencing_enabled: true\n  lease_ms: 3000\ncommands: \"invocation\"\n"
            << "platform:\n  address: \"" << m_store->address()
            << "\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
            << "  max_value_bytes: 1048576\n  min_ttl_ms: 1000\ncloud:\n  address: \""
            << m_cloud->address()
            << "\"\n  rate_per_s: 64.0\n  duties: []\n  duty_per_s: 64.0\nrecommendation: \""
            << m_advice->address() << "\"\n";
    m_isAskedToEnd = false;
    m_pid = fork();
    if (m_pid == 0) {
        // No entry outlives the script.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto log = m_world.directory + "/" + m_name + ".log";
        if (std::freopen(log.c_str(), "a", stdout) == nullptr
            || std::freopen(log.c_str(), "a", stderr) == nullptr
            || std::freopen("/dev/null", "r", stdin) == nullptr) {
            _exit(127);
        }
        for (int descriptor = 3; descriptor < 1024; ++descriptor) {
            close(descriptor);
        }
        setenv("CYCLAMENLATCH_SETTINGS", m_settingsPath.c_str(), 1);
        const auto &program = m_world.program;
        execl(program.c_str(), program.c_str(), "serve", nullptr);
        _exit(127);
    }
    m_world.note("entry " + m_name + " starts");
}

void Entry::signal(int number)
{
    m_isAskedToEnd = m_isAskedToEnd || number == SIGTERM || number == SIGKILL;
    m_world.note("entry " + m_name + " gets signal " + std::to_string(number));
    if (m_pid > 0) {
        kill(m_pid, number);
    }
}

bool Entry::hasEnded()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = 0;
        m_hasCrashed = m_hasCrashed || !m_isAskedToEnd;
        m_world.note("entry " + m_name + " has ended, status " + std::to_string(status)
                     + (m_isAskedToEnd ? "" : ", by itself"));
    }
    return m_pid == 0;
}

void Entry::cutFromPlatform(bool isCut)
{
    isCut ? m_store->cut() : m_store->heal();
    isCut ? m_cloud->cut() : m_cloud->heal();
}

// World.

World::World(std::string place, const std::string &recordPath)
    : directory(std::move(place))
    , store(*this)
    , cloud(*this)
    , work([](const auto &, const auto &, auto) { return Work{Milliseconds(500)}; })
    , m_record(recordPath)
    , m_timer(context)
{}

World::~World()
{
    entries.clear();
}

std::int64_t World::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_began).count();
}

void World::note(const std::string &text)
{
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%8.3f ", static_cast<double>(now()) / 1000);
    m_record << stamp << text << '\n' << std::flush;
}

void World::addEntries(const std::vector<std::string> &zones)
{
    for (const auto &zone : zones) {
        entries.push_back(std::make_unique<Entry>(*this, static_cast<int>(entries.size()), zone));
    }
}

Minion &World::addMinion(const MinionSpec &spec, bool isOff)
{
    minions.push_back(std::make_unique<Minion>(*this, spec));
    auto &minion = *minions.back();
    Cloud::Machine machine;
    machine.name = spec.machine;
    machine.pool = spec.service;
    machine.minion = &minion;
    cloud.machines[spec.machine] = machine;
    if (!isOff) {
        minion.start();
    }
    return minion;
}

void World::putConfig(const Json &config)
{
    note("operator: configuration version " + config.at("version").dump() + ", routes "
         + config.at("routes").dump());
    store.put("op/config", config.dump());
}

void World::cutZone(const std::string &zone, bool isCut)
{
    note((isCut ? "zone cut off: " : "zone back: ") + zone);
    for (const auto &entry : entries) {
        if (entry->zone() == zone) {
            entry->cutFromPlatform(isCut);
        }
        for (const auto &minion : minions) {
            if ((entry->zone() == zone) != (minion->spec().zone == zone)) {
                minion->cutFrom(entry->number(), isCut);
            }
        }
    }
}

asio::awaitable<void> World::sleep(Milliseconds time)
{
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> World::until(std::function<bool()> condition, Milliseconds time)
{
    const auto end = Clock::now() + time;
    while (!condition()) {
        if (Clock::now() >= end) {
            co_return false;
        }
        co_await sleep(Milliseconds(5));
    }
    co_return true;
}

asio::awaitable<CallResult> World::ask(Entry &entry, const std::string &method,
                                       const std::string &path, const std::string &body,
                                       const std::string &key)
{
    constexpr Milliseconds callerTimeout{3000};
    std::map<std::string, std::string> headers{{"Host", "jobs.example"},
                                               {"Cyclamenlatch-Deadline-Ms", "3000"},
                                               {"Authorization", "Bearer " + key}};
    if (!body.empty()) {
        headers["Content-Type"] = "application/json";
    }
    note("client: " + method + " " + path + " to " + entry.name() + " " + body);
    CallResult result;
    asio::steady_timer done(context, Clock::time_point::max());
    call(context, entry.frontend(), method, path, headers, body, callerTimeout,
         [&](CallResult answer) {
             result = std::move(answer);
             done.cancel();
         });
    asio::error_code ignored;
    co_await done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    note("client: " + method + " " + path + " answered "
         + (result.answer ? std::to_string(result.answer->status) + " " + result.answer->body
                          : "nothing"));
    co_return result;
}

void World::tick()
{
    store.tick();
    cloud.tick();
    for (const auto &minion : minions) {
        minion->tick();
    }
    for (const auto &entry : entries) {
        entry->hasEnded();
    }
    m_timer.expires_after(Milliseconds(5));
    m_timer.async_wait([this](const auto &error) {
        if (!error && !m_isEnding) {
            tick();
        }
    });
}

int World::run(const std::function<asio::awaitable<int>(World &)> &script)
{
    int code = 2;
    asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                try {
                    code = co_await script(*this);
                } catch (const std::exception &error) {
                    note(std::string("the script failed: ") + error.what());
                }
                m_isEnding = true;
                context.stop();
            },
            asio::detached);
    tick();
    context.run();
    note("exit code " + std::to_string(code));
    entries.clear();
    return code;
}

} // namespace review
