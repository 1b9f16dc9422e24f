// A small deployment: the stand-ins of the platform and the project's own entries, each a process
// of its own, started with the command of the deploy file.
#pragma once

#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <random>

namespace lab {

struct Entry
{
    std::string name;
    std::string ip;
    // Where it reaches the store.
    std::string storeIp;
    std::string settings;
    std::string log;
    pid_t pid = 0;
    // Times that the process has ended by itself or for its memory.
    int ends = 0;
    int peakMb = 0;
};

class Fleet
{
public:
    // caseFolder: where record.txt is written.
    Fleet(asio::io_context &context, const std::string &root, const std::string &caseFolder)
        : context(context)
        , journal(caseFolder + "/record.txt")
        , m_root(root)
    {
        char folder[] = "/tmp/cyclamenlatch-case-XXXXXX";
        m_folder = mkdtemp(folder);
        // Loopback addresses that no other run is likely to use.
        std::random_device random;
        m_net = "127." + std::to_string(20 + random() % 200) + "."
                + std::to_string(1 + random() % 250) + ".";
        store = std::make_unique<Store>(context);
    }

    ~Fleet()
    {
        for (auto &entry : entries) {
            end(entry, SIGKILL);
        }
        std::filesystem::remove_all(m_folder);
    }

    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    Minion &addMinion(const std::string &service, int cpu)
    {
        MinionInfo info;
        const auto number = minions.size() + 1;
        info.id = "i-" + std::to_string(100 + number);
        info.machine = "m-" + std::to_string(100 + number);
        info.service = service;
        info.zone = zoneOf(number);
        info.ip = m_net + std::to_string(100 + number);
        info.port = 8080;
        info.cpu = cpu;
        minions.push_back(std::make_unique<Minion>(context, *store, journal, info));
        return *minions.back();
    }

    void configure(const json &configuration)
    {
        store->write("op/config", configuration.dump());
        journal.line("operator writes version "
                     + std::to_string(configuration.at("version").get<int>()) + ", acknowledged");
    }

    void addAdvice(std::function<awaitable<Response>(Request)> handler)
    {
        m_advice = std::make_unique<Server>(context, m_net + "2", storePort, std::move(handler));
    }

    void addCloud()
    {
        m_cloud = std::make_unique<Server>(
                context, m_net + "3", storePort, [this](Request request) -> awaitable<Response> {
                    co_await pause(Ms(4));
                    if (request.path != "/v1/machines") {
                        journal.line("cloud: " + request.path + " " + request.body);
                        // There is one pool: nothing to move.
                        co_return Response{400, "{}"};
                    }
                    json machines = json::array();
                    for (const auto &minion : minions) {
                        machines.push_back({{"machine", minion->info.machine},
                                            {"pool", minion->info.service},
                                            {"state", "up"},
                                            {"zone", minion->info.zone},
                                            {"labels", {"a", "r1"}},
                                            {"capacity",
                                             {{"cpu", minion->info.cpu},
                                              {"mem_mb", minion->info.memory},
                                              {"gpu", 0}}},
                                            {"id", minion->info.id}});
                    }
                    co_return Response{200, json{{"machines", machines}}.dump()};
                });
    }

    void addEntries(std::size_t count)
    {
        for (std::size_t number = 1; number <= count; ++number) {
            Entry entry;
            entry.name = "edge-" + std::to_string(number);
            entry.ip = m_net + std::to_string(10 + number);
            entry.storeIp = m_net + std::to_string(30 + number);
            store->listen(entry.storeIp, storePort);
            entry.settings = m_folder + "/" + entry.name + ".yaml";
            entry.log = m_folder + "/" + entry.name + ".log";
            std::ofstream(entry.settings) << settingsOf(entry, zoneOf(number));
            entries.push_back(entry);
        }
        for (auto &entry : entries) {
            start(entry);
        }
    }

    // The command of deploy/system.toml, from the repository's root.
    void start(Entry &entry)
    {
        const std::string program = m_root + "/target/src/app/cyclamenlatch";
        const std::string variable = "CYCLAMENLATCH_SETTINGS=" + entry.settings;
        entry.pid = fork();
        if (entry.pid == 0) {
            // It ends with this program, whatever becomes of that.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = open(entry.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            close_range(STDERR_FILENO + 1, ~0U, 0);
            if (chdir(m_root.c_str()) != 0) {
                _exit(127);
            }
            const char *arguments[] = {program.c_str(), "serve", nullptr};
            const char *variables[] = {variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
            execve(program.c_str(), const_cast<char **>(arguments), const_cast<char **>(variables));
            _exit(127);
        }
        journal.line("started " + entry.name);
    }

    void end(Entry &entry, int signal)
    {
        if (entry.pid > 0) {
            kill(entry.pid, signal);
            waitpid(entry.pid, nullptr, 0);
            entry.pid = 0;
        }
    }

    // As the platform does: ends a process that takes more than its memory, and starts processes
    // that have ended anew after a short delay. Runs until the fleet ends.
    awaitable<void> keepUp()
    {
        while (true) {
            co_await pause(Ms(20));
            for (auto &entry : entries) {
                if (entry.pid <= 0) {
                    continue;
                }
                const auto resident = residentMb(entry);
                entry.peakMb = std::max(entry.peakMb, resident);
                int status = 0;
                if (resident > memoryMb) {
                    journal.line(entry.name + " takes " + std::to_string(resident)
                                 + " MB, over its memory_mb of " + std::to_string(memoryMb)
                                 + ": killed");
                    end(entry, SIGKILL);
                } else if (waitpid(entry.pid, &status, WNOHANG) == entry.pid) {
                    journal.line(entry.name + " has ended by itself, status "
                                 + std::to_string(status));
                    entry.pid = 0;
                } else {
                    continue;
                }
                ++entry.ends;
                asio::co_spawn(context, startLater(entry), asio::detached);
            }
        }
    }

    // Waits until every entry is ready and one owns the work.
    awaitable<bool> isUp()
    {
        for (int tries = 0; tries < 150; ++tries) {
            co_await pause(Ms(100));
            std::size_t ready = 0;
            for (const auto &entry : entries) {
                const auto answer = co_await call(entry.ip, readinessPort, "GET", "/v1/readyz", {},
                                                  "", Ms(500));
                ready += answer.status == 200 ? 1 : 0;
            }
            if (ready == entries.size() && owner() != nullptr) {
                co_return true;
            }
        }
        journal.line("the fleet did not come up");
        co_return false;
    }

    // The entry that last wrote the key of the owner under a condition, as the store sees it.
    Entry *owner()
    {
        const auto value = store->value("owner");
        for (auto &entry : entries) {
            if (value.starts_with(entry.name + "#")) {
                return &entry;
            }
        }
        return nullptr;
    }

    awaitable<Response> client(const Entry &entry, std::string method, std::string path,
                               std::string body = {}, std::string key = "key-a",
                               Ms timeout = Ms(3000), bool isQuiet = false)
    {
        std::map<std::string, std::string> headers{
                {"Host", host},
                {"Content-Type", "application/json"},
                {"Cyclamenlatch-Deadline-Ms", std::to_string(timeout.count())}};
        if (!key.empty()) {
            headers["Authorization"] = "Bearer " + key;
        }
        if (!isQuiet) {
            journal.line("client sends " + method + " " + path + " to " + entry.name
                         + (body.empty() ? "" : ": " + body));
        }
        const auto answer =
                co_await call(entry.ip, frontendPort, method, path, headers, body, timeout);
        if (!isQuiet) {
            journal.line("client got " + std::to_string(answer.status) + " " + answer.body + " for "
                         + method + " " + path + " from " + entry.name);
        }
        co_return answer;
    }

    std::string entryLog(const Entry &entry) const
    {
        std::ifstream file(entry.log);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    asio::io_context &context;
    Journal journal;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Minion>> minions;
    std::vector<Entry> entries;
    static constexpr const char *host = "pule25.example";
    // Bounds of the sites' pages.
    static constexpr int contactMs = 3000;
    static constexpr int cancelMs = 3000;
    static constexpr int configApplyMs = 2000;
    static constexpr int finishMs = 14000;

private:
    static constexpr unsigned short storePort = 8344;
    static constexpr unsigned short frontendPort = 8340;
    static constexpr unsigned short readinessPort = 8343;

    static constexpr int memoryMb = 260;

    awaitable<void> startLater(Entry &entry)
    {
        co_await pause(Ms(500));
        start(entry);
    }

    static int residentMb(const Entry &entry)
    {
        std::ifstream file("/proc/" + std::to_string(entry.pid) + "/statm");
        long total = 0;
        long resident = 0;
        file >> total >> resident;
        return static_cast<int>(resident * sysconf(_SC_PAGESIZE) / (1024 * 1024));
    }

    static std::string zoneOf(std::size_t number)
    {
        return "zone-" + std::string(1, static_cast<char>('a' + number % 3));
    }

    std::string settingsOf(const Entry &entry, const std::string &zone) const
    {
        const auto quote = [](const std::string &text) { return "\"" + text + "\""; };
        std::ostringstream text;
        text << "node_name: " << quote(entry.name) << "\nrole: \"entry\"\nmachine_class: \"edge\"\n"
             << "serves:\n  - \"edge\"\nip: " << quote(entry.ip) << "\nzone: " << quote(zone)
             << "\nregion: \"hcm\"\nlisten_addrs:\n  frontend: "
             << quote(entry.ip + ":" + std::to_string(frontendPort))
             << "\n  readiness: " << quote(entry.ip + ":" + std::to_string(readinessPort))
             << "\nephemeral_ports:\n  - 7000\n  - 7015\nbootstrap: true\n"
             << "limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n"
             << "  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\ndiscovery: \"platform\"\n"
             << "entrypoint: \"vip\"\nheartbeat_ms: 1500\n"
             << "bounds:\n  contact_ms: 3000\n  ack_ms: 4000\n  drain_ms: 2000\n  grace_s: 6\n"
             << "  config_apply_ms: 2000\n  quota_overage: 0.1\n  hold_max_ms: 10000\n"
             << "  stop_timeout_ms: 400\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n"
             << "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
             << "  remote_factor: 2\n  checkpoint_interval_s: 1\n  restore_ms: 250\n"
             << "  migrate_s: 1.5\n  maintenance_s: 2\n  fencing_enabled: true\n  lease_ms: 3000\n"
             << "commands: \"invocation\"\nrecommendation: "
             << quote(m_net + "2:" + std::to_string(storePort))
             << "\nplatform:\n  address: " << quote(entry.storeIp + ":" + std::to_string(storePort))
             << "\n  form: \"kv\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
             << "  max_value_bytes: 1048576\n  min_ttl_ms: 1000\n"
             << "cloud:\n  address: " << quote(m_net + "3:" + std::to_string(storePort))
             << "\n  rate_per_s: 64.0\n  duties: []\n  duty_per_s: 64.0\n";
        return text.str();
    }

    const std::string m_root;
    std::string m_folder;
    std::string m_net;
    std::unique_ptr<Server> m_advice;
    std::unique_ptr<Server> m_cloud;
};

// A configuration with one service and one queue.
inline json configuration(int version)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-1"},
               {"host", Fleet::host},
               {"prefix", "/puxa400/"},
               {"service", "svc"},
               {"priority", 0},
               {"max_attempts", 3},
               {"slack_factor", 1.6},
               {"target_latency_ms", 600},
               {"public", false}}}},
            {"services", {{{"name", "svc"}, {"admission_check", false}, {"standby", false}}}},
            {"limits", {{"max_body_bytes", 262144}}},
            {"tenants",
             {{{"name", "tenant-a"},
               {"api_keys", {"key-a"}},
               {"weight", 5},
               {"cap", {{"cpu", 0}, {"mem_mb", 0}, {"gpu", 0}}}}}}};
}

} // namespace lab
