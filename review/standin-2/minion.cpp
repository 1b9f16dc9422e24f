#include "minion.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::int64_t longestLeaseMs = 10000;
constexpr std::chrono::milliseconds heartbeat{1500};
// Of a task that lasts, until it is at work.
constexpr int startupMs = 300;
constexpr std::chrono::milliseconds stopTakes{50};
constexpr std::size_t endsAtOnce = 500;

int numberAfter(const std::string &text, const std::string &name, int otherwise)
{
    const auto at = text.find(name);
    return at == std::string::npos ? otherwise : std::stoi(text.substr(at + name.size()));
}

std::int64_t millisecondsSince(Clock::time_point began)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - began).count();
}

} // namespace

Minion::Minion(Store &store, Record &record, MinionSettings settings)
    : m_store(store)
    , m_record(record)
    , m_settings(std::move(settings))
{
    begin();
    m_worker = std::thread([this] { work(); });
    m_beater = std::thread([this] { beat(); });
}

Minion::~Minion()
{
    m_isStopped = true;
    m_ended.notify_all();
    m_server.reset();
    m_worker.join();
    m_beater.join();
}

void Minion::begin()
{
    {
        const std::lock_guard lock(m_mutex);
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
        m_bornAt = Clock::now();
        m_fence = 0;
        m_leaseUntil = 0;
        m_sequence = 0;
        m_lastEnd = 0;
        m_refusedUpTo.clear();
        m_ends.clear();
    }
    m_server = std::make_unique<HttpServer>(
            m_port, [this](const Request &request) { return handle(request); });
    m_isUp = true;
}

void Minion::crash()
{
    m_record.line("minion " + m_settings.id + " crashes");
    m_isUp = false;
    m_crashedAt = Clock::now();
    m_server.reset();
    halt("died with its minion");
}

void Minion::startAgain(int registersAfterMs)
{
    m_registersAt = m_record.milliseconds() + registersAfterMs;
    m_record.line("minion " + m_settings.id + " starts again, same id and address");
    begin();
}

void Minion::startAs(const std::string &id)
{
    const auto former = this->id();
    m_store.remove("servers/" + former);
    {
        const std::lock_guard lock(m_mutex);
        m_settings.id = id;
    }
    m_record.line("minion " + id + " joins in place of " + former);
    begin();
}

std::string Minion::id() const
{
    const std::lock_guard lock(m_mutex);
    return m_settings.id;
}

void Minion::delayCalls(int startMs, int holdMs)
{
    m_startDelayMs = startMs;
    m_holdDelayMs = holdMs;
}

void Minion::carryOutLater(const std::string &path, json call, int late)
{
    const auto text =
            path + " fencing_token " + std::to_string(call.value("fencing_token", 0))
            + (path == "/v1/hold" ? " ack_cursor " + std::to_string(call.value("ack_cursor", 0))
                                  : " " + call.value("task", std::string{}) + " attempt "
                                            + std::to_string(call.value("attempt", 0)));
    m_record.line("minion " + id() + " leaves " + text + " without an answer");
    call.erase("wait_ms");
    std::thread([this, path, call, late, text] {
        std::this_thread::sleep_for(std::chrono::milliseconds(late));
        if (m_isUp) {
            const auto reply = path == "/v1/hold" ? hold(call) : start(call);
            m_record.line("minion " + id() + " carries out " + text + ", " + std::to_string(late)
                          + " ms late: " + std::to_string(reply.status));
        }
    }).detach();
}

void Minion::halt(const std::string &how)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[task, run] : m_runs) {
        m_logs[run.log].endedMs = m_record.milliseconds();
        m_logs[run.log].how = how;
    }
    m_runs.clear();
    m_ended.notify_all();
}

std::vector<RunLog> Minion::runs()
{
    const std::lock_guard lock(m_mutex);
    return m_logs;
}

std::int64_t Minion::clock() const
{
    return 1000 + millisecondsSince(m_bornAt);
}

json Minion::withClock(json body) const
{
    body["clock_ms"] = clock();
    body["born"] = m_born;
    return body;
}

std::optional<Reply> Minion::handle(const Request &request)
{
    const auto instance = request.headers.find("cyclamenlatch-expect-instance");
    if (instance != request.headers.end() && instance->second != id()) {
        return Reply{421, "{}"};
    }
    if (request.path == "/healthz") {
        return Reply{200, "{}"};
    }
    const auto call = json::parse(request.body, nullptr, false);
    if (!call.is_object()) {
        return Reply{400, "{}"};
    }
    if (request.path == "/v1/run-start" && m_startDelayMs > 0) {
        ++m_delayedStarts;
        carryOutLater(request.path, call, m_startDelayMs);
        return std::nullopt;
    }
    if (request.path == "/v1/hold" && m_holdDelayMs > 0) {
        m_delayedHolds += call.value("ack_cursor", 0) > 0 ? 1 : 0;
        carryOutLater(request.path, call, m_holdDelayMs);
        return std::nullopt;
    }
    if (request.path == "/v1/run-start") {
        return start(call);
    }
    if (request.path == "/v1/run-stop") {
        return stop(call);
    }
    if (request.path == "/v1/hold") {
        return hold(call);
    }
    return Reply{request.path == "/v1/pace" ? 200 : 404, withClock({}).dump()};
}

bool Minion::isFenced(const json &call)
{
    const auto token = call.value("fencing_token", std::int64_t{0});
    if (token < m_fence) {
        return true;
    }
    m_fence = token;
    return false;
}

void Minion::grant(const json &call)
{
    if (call.contains("deadline_ms")) {
        const auto until =
                std::min(call["deadline_ms"].get<std::int64_t>(), clock() + longestLeaseMs);
        m_leaseUntil = std::max(m_leaseUntil, until);
    }
}

Reply Minion::start(const json &call)
{
    const auto task = call["task"].get<std::string>();
    const auto attempt = call["attempt"].get<std::int64_t>();
    if (m_isShedding) {
        m_record.line("minion " + m_settings.id + " answers 503 to the start of " + task
                      + " attempt " + std::to_string(attempt));
        return {503, "{}"};
    }
    const std::lock_guard lock(m_mutex);
    if (isFenced(call)) {
        return {409, withClock({{"reason", "fence"}}).dump()};
    }
    if (call["deadline_ms"].get<std::int64_t>() <= clock()) {
        return {409, withClock({{"reason", "late"}}).dump()};
    }
    grant(call);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.attempt == attempt) {
        return {200, withClock({}).dump()};
    }
    if (found != m_runs.end() || m_refusedUpTo[task] >= attempt) {
        return {409, withClock({{"reason", "old"}}).dump()};
    }
    const auto text = call.value("spec", std::string{});
    Run run;
    run.attempt = attempt;
    run.began = Clock::now();
    run.lasts = text.find("lasts") != std::string::npos;
    run.fails = text.find("fails=") != std::string::npos;
    run.worksMs = run.fails ? numberAfter(text, "fails=", 100) : numberAfter(text, "ms=", 500);
    run.checkpoint = std::string(static_cast<std::size_t>(numberAfter(text, "saves=", 0)), 'c');
    run.log = m_logs.size();
    m_logs.push_back({m_settings.id, task, attempt, m_record.milliseconds(), -1, {}, -1});
    m_runs.emplace(task, run);
    m_record.line("minion " + m_settings.id + " starts " + task + " attempt "
                  + std::to_string(attempt));
    return {200, withClock({}).dump()};
}

Reply Minion::stop(const json &call)
{
    const std::lock_guard lock(m_mutex);
    if (isFenced(call)) {
        return {409, withClock({{"reason", "fence"}}).dump()};
    }
    const auto task = call["task"].get<std::string>();
    const auto attempt = call["attempt"].get<std::int64_t>();
    auto &refused = m_refusedUpTo[task];
    refused = std::max(refused, attempt);
    const auto found = m_runs.find(task);
    if (found != m_runs.end() && found->second.attempt == attempt && !found->second.stopsAt) {
        found->second.stopsAt = Clock::now() + stopTakes;
    }
    return {200, withClock({}).dump()};
}

Reply Minion::hold(const json &call)
{
    std::unique_lock lock(m_mutex);
    if (isFenced(call)) {
        return {409, withClock({{"reason", "fence"}}).dump()};
    }
    grant(call);
    const auto cursor = call.value("ack_cursor", std::int64_t{0});
    for (const auto &end : m_ends) {
        if (end.number <= cursor && clock() <= m_leaseUntil) {
            m_logs[end.log].notedMs = m_record.milliseconds();
        }
    }
    std::erase_if(m_ends, [&](const End &end) { return end.number <= cursor; });
    const auto until = Clock::now() + std::chrono::milliseconds(call.value("wait_ms", 0));
    m_ended.wait_until(lock, until, [this] { return !m_ends.empty() || !m_isUp || m_isStopped; });
    json running = json::array();
    for (const auto &[task, run] : m_runs) {
        const auto worked = millisecondsSince(run.began);
        const auto percent = run.lasts ? (worked >= startupMs ? 100 : 0)
                                       : std::min<std::int64_t>(99, worked * 100 / run.worksMs);
        running.push_back({task, run.attempt, run.checkpoint, percent, 0});
    }
    json finished = json::array();
    for (const auto &end : m_ends) {
        if (finished.size() < endsAtOnce) {
            finished.push_back({end.number, end.task, end.attempt, end.how, end.checkpoint});
        }
    }
    return {200, withClock({{"running", running}, {"finished", finished}}).dump()};
}

void Minion::endLocked(const std::string &task, const Run &run, const std::string &how)
{
    m_ends.push_back(
            {++m_lastEnd, task, run.attempt, how, how == "done" ? "" : run.checkpoint, run.log});
    auto &refused = m_refusedUpTo[task];
    refused = std::max(refused, run.attempt);
    m_logs[run.log].endedMs = m_record.milliseconds();
    m_logs[run.log].how = how;
    m_record.line("minion " + m_settings.id + " ends " + task + " attempt "
                  + std::to_string(run.attempt) + " " + how);
}

void Minion::work()
{
    while (!m_isStopped) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        const std::lock_guard lock(m_mutex);
        const auto before = m_ends.size();
        for (auto at = m_runs.begin(); at != m_runs.end();) {
            const auto &run = at->second;
            std::string how;
            if (clock() > m_leaseUntil) {
                how = "lapsed";
            } else if (run.stopsAt && Clock::now() >= *run.stopsAt) {
                how = "stopped";
            } else if (!run.lasts && millisecondsSince(run.began) >= run.worksMs) {
                how = run.fails ? "failed" : "done";
            }
            if (how.empty()) {
                ++at;
                continue;
            }
            endLocked(at->first, run, how);
            at = m_runs.erase(at);
        }
        if (m_ends.size() > before) {
            m_ended.notify_all();
        }
    }
}

void Minion::beat()
{
    auto next = Clock::now();
    bool wasUp = true;
    while (!m_isStopped) {
        const bool isUp = m_isUp && m_record.milliseconds() >= m_registersAt;
        if (isUp && (Clock::now() >= next || !wasUp)) {
            const std::lock_guard lock(m_mutex);
            const json entry{
                    {"service", m_settings.service},
                    {"address", "127.0.0.1:" + std::to_string(m_port)},
                    {"zone", m_settings.zone},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_remaining_ms", 0},
                    {"capacity",
                     {{"cpu", m_settings.cpu}, {"mem_mb", m_settings.memoryMb}, {"gpu", 0}}},
                    {"labels", m_settings.labels},
                    {"machine", m_settings.machine},
                    {"born", m_born},
                    {"clock_ms", clock()},
                    {"sequence", ++m_sequence}};
            m_store.put("servers/" + m_settings.id, entry.dump());
            next = Clock::now() + heartbeat;
        }
        if (!m_isUp && Clock::now() - m_crashedAt > 3 * heartbeat
            && !m_store.get("servers/" + m_settings.id).empty()) {
            m_store.remove("servers/" + m_settings.id);
        }
        wasUp = isUp;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace review
