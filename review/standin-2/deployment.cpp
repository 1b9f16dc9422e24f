#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *program = "target/src/app/cyclamenlatch";
constexpr std::chrono::milliseconds maintenance{2000};
constexpr const char *key = "k-drivers-7f3a91c2";
constexpr const char *zones[] = {"north-quay", "victoria-quay", "kwinana"};

std::string settingsText(const std::string &name, const std::string &zone, std::uint16_t callers,
                         std::uint16_t readiness, std::uint16_t metrics, const std::string &store,
                         const std::string &cloud)
{
    const auto local = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    return "node_name: \"" + name + "\"\nrole: \"entry\"\nmachine_class: \"edge\"\n"
           + "serves: [\"edge\"]\nip: \"127.0.0.1\"\nzone: \"" + zone + "\"\nregion: \"wa-south\"\n"
           + "listen_addrs:\n  frontend: \"" + local(callers) + "\"\n  readiness: \""
           + local(readiness) + "\"\nephemeral_ports: [" + std::to_string(metrics) + ", "
           + std::to_string(metrics) + "]\n"
           + "limits: {cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4100}\n"
             "discovery: \"platform\"\nheartbeat_ms: 1500\nbounds:\n"
             "  contact_ms: 3000\n  ack_ms: 4000\n  drain_ms: 2000\n  grace_s: 6\n"
             "  config_apply_ms: 2000\n  recovery_s: 12\n  hold_max_ms: 10000\n"
             "  stop_timeout_ms: 200\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n"
             "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
             "  remote_factor: 1.5\n  notice_ms: 4500\n  migrate_s: 1.5\n  maintenance_s: 2\n"
             "  fencing_enabled: true\n  lease_ms: 3000\n  quota_overage: 0.1\n"
             "commands: \"invocation\"\nplatform:\n  address: \""
           + store
           + "\"\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
             "  max_value_bytes: 1048576\n  min_ttl_ms: 1000\ncloud:\n  address: \""
           + cloud + "\"\n  rate_per_s: 64.0\n  duties: []\n  duty_per_s: 64.0\n";
}

void sleepMs(int time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

} // namespace

std::string jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
    return text;
}

Deployment::Deployment(Record &record, std::string folder)
    : m_record(record)
    , m_folder(std::move(folder))
{
    const auto port = freePort();
    m_cloudAddress = "127.0.0.1:" + std::to_string(port);
    m_cloud = std::make_unique<HttpServer>(
            port, [this](const Request &request) { return handleMachines(request); });
}

Deployment::~Deployment()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        kill(entry);
    }
}

std::optional<Reply> Deployment::handleMachines(const Request &request)
{
    if (request.path == "/v1/machines") {
        return listMachines();
    }
    if (request.path != "/v1/machine-upkeep") {
        return Reply{409, R"({"reason":"busy"})"};
    }
    const auto name = json::parse(request.body)["machine"].get<std::string>();
    const auto token = std::stoll(request.headers.at("cyclamenlatch-fencing-token"));
    const auto holder = request.headers.at("cyclamenlatch-lease-holder");
    bool isLate = false;
    int late = 0;
    {
        const std::lock_guard lock(m_mutex);
        isLate = std::uniform_real_distribution<>(0, 1)(m_random) < m_lateShare;
        late = m_lateMs;
        m_lateOrders += isLate ? 1 : 0;
    }
    if (!isLate) {
        return beginUpkeep(name, token, holder);
    }
    m_record.line("platform: upkeep of " + name + " by " + holder + " with token "
                  + std::to_string(token) + " gets no answer and is carried out after "
                  + std::to_string(late) + " ms");
    std::thread([this, name, token, holder, late] {
        std::this_thread::sleep_for(std::chrono::milliseconds(late));
        beginUpkeep(name, token, holder);
    }).detach();
    return std::nullopt;
}

Reply Deployment::beginUpkeep(const std::string &name, std::int64_t token,
                              const std::string &holder)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t index = 0; index < m_machines.size(); ++index) {
        auto &machine = m_machines[index];
        if (machine.settings.machine != name) {
            continue;
        }
        const auto order = "platform: upkeep of " + name + " by " + holder + " with token "
                           + std::to_string(token);
        if (token < machine.fence) {
            m_record.line(order + " is refused, " + std::to_string(machine.fence) + " was seen");
            return {409, R"({"reason":"fence"})"};
        }
        machine.fence = token;
        if (machine.isDown || machine.isDone) {
            m_record.line(order + " is already done");
            return {200, "{}"};
        }
        machine.isDown = true;
        machine.isDone = true;
        int down = 0;
        for (const auto &other : m_machines) {
            down += other.isDown ? 1 : 0;
        }
        m_record.line(order + " begins; " + std::to_string(down) + " are down");
        if (down > m_mostDown.first) {
            m_mostDown = {down, m_record.milliseconds()};
        }
        m_minions[index]->crash();
        std::thread([this, index] {
            std::this_thread::sleep_for(maintenance);
            const std::lock_guard relock(m_mutex);
            auto &settings = m_machines[index].settings;
            settings.id += "b";
            m_minions[index]->startAs(settings.id);
            m_machines[index].isDown = false;
            m_record.line("platform: upkeep of " + m_machines[index].settings.machine + " ends");
        }).detach();
        return {200, "{}"};
    }
    return {400, "{}"};
}

Reply Deployment::listMachines()
{
    const std::lock_guard lock(m_mutex);
    json machines = json::array();
    for (std::size_t index = 0; index < m_machines.size(); ++index) {
        const auto &machine = m_machines[index];
        const auto &settings = machine.settings;
        const bool isUp = m_minions[index]->isUp();
        machines.push_back(
                {{"machine", settings.machine},
                 {"pool", settings.service},
                 {"state", machine.isDown ? "upkeep"
                           : isUp         ? "up"
                                          : "down"},
                 {"zone", settings.zone},
                 {"labels", settings.labels},
                 {"capacity", {{"cpu", settings.cpu}, {"mem_mb", settings.memoryMb}, {"gpu", 0}}},
                 {"id", isUp ? json(settings.id) : json(nullptr)}});
    }
    return {200, json{{"machines", machines}, {"next_page_token", nullptr}}.dump()};
}

void Deployment::requestWave(const std::vector<std::string> &machines, int cap, int durationS)
{
    m_store.put(
            "op/wave/1",
            json{{"wave", 1}, {"machines", json(machines)}, {"duration_s", durationS}, {"cap", cap}}
                    .dump());
    m_record.line("operator: a wave over " + std::to_string(machines.size()) + " machines, at most "
                  + std::to_string(cap) + " at once");
}

void Deployment::delayOrders(double share, int milliseconds)
{
    const std::lock_guard lock(m_mutex);
    m_lateShare = share;
    m_lateMs = milliseconds;
}

int Deployment::lateOrders()
{
    const std::lock_guard lock(m_mutex);
    return m_lateOrders;
}

std::pair<int, std::int64_t> Deployment::mostDown()
{
    const std::lock_guard lock(m_mutex);
    return m_mostDown;
}

Minion &Deployment::addMinion(MinionSettings settings)
{
    settings.service = "swaps";
    if (settings.zone.empty()) {
        settings.zone = zones[m_minions.size() % 3];
    }
    settings.machine = "m-" + settings.id;
    const std::lock_guard lock(m_mutex);
    m_machines.push_back({settings});
    m_minions.push_back(std::make_unique<Minion>(m_store, m_record, settings));
    return *m_minions.back();
}

std::vector<RunLog> Deployment::runs() const
{
    std::vector<RunLog> all;
    for (const auto &minion : m_minions) {
        const auto runs = minion->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

void Deployment::configure()
{
    const json config{
            {"version", 7},
            {"routes",
             {{{"name", "r-jobs"},
               {"host", "pule25.example"},
               {"prefix", "/jobs/"},
               {"kind", "non_idempotent"},
               {"timeout_ms", 3000},
               {"target_latency_ms", 600},
               {"priority", 0},
               {"service", "swaps"},
               {"max_attempts", 4},
               {"slack_factor", 1.6},
               {"public", false}},
              {{"name", "r-lasting"},
               {"host", "pule25.example"},
               {"prefix", "/lasting/"},
               {"kind", "non_idempotent"},
               {"timeout_ms", 3000},
               {"target_latency_ms", 2500},
               {"priority", 0},
               {"service", "swaps"},
               {"max_attempts", 4},
               {"slack_factor", 2.2},
               {"public", true}}}},
            {"services",
             json::array({{{"name", "swaps"}, {"admission_check", false}, {"standby", false}}})},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}},
            {"tenants", json::array({{{"name", "drivers"},
                                      {"api_keys", json::array({key})},
                                      {"weight", 48},
                                      {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}})}};
    m_store.put("op/config", config.dump());
}

void Deployment::startEntries(std::size_t count)
{
    m_entries.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        auto &entry = m_entries.emplace_back();
        entry.name = "edge-" + std::to_string(index + 1);
        entry.callers = freePort();
        entry.readiness = freePort();
        entry.settings = m_folder + "/" + entry.name + ".yaml";
        entry.log = m_folder + "/" + entry.name + ".log";
        std::ofstream(entry.settings)
                << settingsText(entry.name, zones[index % 3], entry.callers, entry.readiness,
                                freePort(), m_store.address(), m_cloudAddress);
        spawn(entry);
    }
}

void Deployment::spawn(Entry &entry)
{
    const auto settings = "CYCLAMENLATCH_SETTINGS=" + entry.settings;
    const char *path = std::getenv("PATH");
    const auto pathText = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    entry.process = ::fork();
    if (entry.process != 0) {
        m_record.line("entry " + entry.name + " is started");
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(entry.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    char *const arguments[] = {const_cast<char *>(program), const_cast<char *>("serve"), nullptr};
    char *const environment[] = {const_cast<char *>(settings.c_str()),
                                 const_cast<char *>(pathText.c_str()),
                                 const_cast<char *>("LANG=C.UTF-8"), nullptr};
    ::execve(program, arguments, environment);
    ::_exit(127);
}

void Deployment::kill(std::size_t entry)
{
    auto &process = m_entries.at(entry).process;
    if (process > 0) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
        process = 0;
        m_record.line("entry " + m_entries.at(entry).name + " is killed");
    }
}

void Deployment::startAgain(std::size_t entry)
{
    spawn(m_entries.at(entry));
}

std::size_t Deployment::owner()
{
    const auto owner = m_store.get("owner");
    std::size_t index = 0;
    while (index < m_entries.size() && !owner.starts_with(m_entries[index].name + "#")) {
        ++index;
    }
    return index;
}

bool Deployment::waitUntilReady()
{
    for (int tries = 0; tries < 200; ++tries) {
        bool isReady = owner() < m_entries.size();
        for (const auto &entry : m_entries) {
            isReady = isReady
                      && callServer("127.0.0.1:" + std::to_string(entry.readiness), "GET",
                                    "/v1/readyz", {{"Host", "pule25.example"}}, {}, 500)
                                         .status
                                 == 200;
        }
        if (isReady) {
            // Leases that were of unknown length at the start have run out.
            m_record.line("all entries are ready");
            return true;
        }
        sleepMs(50);
    }
    return false;
}

Reply Deployment::call(std::size_t entry, const std::string &method, const std::string &path,
                       const std::string &body, int timeoutMs)
{
    const auto &to = m_entries.at(entry);
    std::map<std::string, std::string> headers{
            {"Host", "pule25.example"},
            {"Content-Type", "application/json"},
            {"Cyclamenlatch-Deadline-Ms", std::to_string(timeoutMs)}};
    if (path.starts_with("/jobs/")) {
        headers["Authorization"] = std::string("Bearer ") + key;
    }
    const auto reply = callServer("127.0.0.1:" + std::to_string(to.callers), method, path, headers,
                                  body, timeoutMs);
    m_record.line("client: " + method + " " + path + " at " + to.name + " -> "
                  + std::to_string(reply.status) + " " + reply.body);
    return reply;
}

} // namespace review
