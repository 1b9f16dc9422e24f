// A small deployment: the platform, minions, and the project's own entries as separate processes.
#pragma once

#include "minion.h"
#include "platform.h"

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace review {

class Deployment
{
public:
    // Starts the platform; the working folder must be the root of the repository.
    Deployment(Record &record, std::string folder);
    // Ends every process that it has started.
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    Store &store() { return m_store; }
    Record &record() { return m_record; }
    Minion &addMinion(MinionSettings settings);
    std::vector<RunLog> runs() const;
    // Writes the configuration: one service, a queue /jobs/ for tenants and a public one,
    // /lasting/.
    void configure();
    void startEntries(std::size_t count);
    // Waits until all entries are ready and all minions are in use; false: they were not in time.
    bool waitUntilReady();
    std::size_t entries() const { return m_entries.size(); }
    // The entry that owns the work now; entries() if none does.
    std::size_t owner();
    void kill(std::size_t entry);
    void startAgain(std::size_t entry);

    // A wave of upkeep over these machines, at most cap at once.
    void requestWave(const std::vector<std::string> &machines, int cap, int durationS);
    // Share of the orders to the platform that get no answer and are carried out this much later.
    void delayOrders(double share, int milliseconds);
    int lateOrders();
    // The most machines that were down for the wave at once, and when that was first so.
    std::pair<int, std::int64_t> mostDown();

    // A client's call; status 0: no answer.
    Reply call(std::size_t entry, const std::string &method, const std::string &path,
               const std::string &body = {}, int timeoutMs = 3000);

private:
    struct Entry
    {
        std::string name;
        std::string settings;
        std::string log;
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        pid_t process = 0;
    };

    struct Machine
    {
        MinionSettings settings;
        std::int64_t fence = 0;
        bool isDown = false;
        bool isDone = false;
    };

    void spawn(Entry &entry);
    std::optional<Reply> handleMachines(const Request &request);
    Reply beginUpkeep(const std::string &name, std::int64_t token, const std::string &holder);
    Reply listMachines();

    Record &m_record;
    const std::string m_folder;
    Store m_store;
    std::string m_cloudAddress;
    std::unique_ptr<HttpServer> m_cloud;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Minion>> m_minions;
    std::vector<Machine> m_machines;
    double m_lateShare = 0;
    int m_lateMs = 0;
    int m_lateOrders = 0;
    std::mt19937 m_random{11};
    std::pair<int, std::int64_t> m_mostDown{0, 0};
    std::vector<Entry> m_entries;
};

// An id of 16 hexadecimal digits.
std::string jobId(std::uint64_t number);

} // namespace review
