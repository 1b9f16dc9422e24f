// The users' platform, its minions and machines, as the users' pages describe them, and the entries
// under test as processes. Everything runs on one event loop and the real clock.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <fstream>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

class World;

// The platform's metadata store.
class Store
{
public:
    explicit Store(World &world)
        : m_world(world)
    {}
    // A call of an entry; entry is its number.
    void handle(int entry, const Message &request, const Respond &respond);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    std::optional<std::string> value(const std::string &key) const;
    // The most bytes that a call wanted to write to the key.
    std::size_t largest(const std::string &key) const
    {
        const auto found = m_largest.find(key);
        return found == m_largest.end() ? 0 : found->second;
    }
    std::size_t refusedForSize() const { return m_tooLarge; }
    // Ends leases whose time is over and answers watches that are due.
    void tick();

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
        bool isDeleted = false;
        Item item;
        Clock::time_point at;
    };
    struct Lease
    {
        Milliseconds timeToLive{};
        Clock::time_point end;
    };
    struct Watch
    {
        int entry = 0;
        std::string prefix;
        std::uint64_t after = 0;
        Clock::time_point end;
        Respond respond;
    };
    Json itemJson(int entry, const std::string &key, const Item &item) const;
    Answer range(int entry, const Message &request) const;
    Answer transact(int entry, const Message &request);
    bool answerWatch(const Watch &watch, bool isDue);
    void answerWatches();
    void set(const std::string &key, const std::string &value, std::uint64_t lease);
    void erase(const std::string &key);
    void endLease(std::uint64_t lease);

    World &m_world;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 100;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::vector<Watch> m_watches;
    // The most bytes of each key, and the number of values that were too large.
    std::map<std::string, std::size_t> m_largest;
    std::size_t m_tooLarge = 0;
};

// What a task does, by the text of its job.
struct Work
{
    Milliseconds duration{};
    bool fails = false;
    bool lasts = false;
};

struct MinionSpec
{
    std::string id;
    std::string service;
    std::string zone;
    std::string machine;
    std::vector<std::string> labels;
    std::int64_t cpu = 16000;
    std::int64_t memory = 64000;
};

// One minion, at an address of its own for each entry, so that each path can be cut by itself.
class Minion
{
public:
    Minion(World &world, MinionSpec spec);
    // Starts a new life, with nothing known of the one before, and registers after the delay.
    void start(Milliseconds registerDelay = {});
    // Ends silently; with its entry in the store left to expire.
    // keepsConnections: what lies between the entries and the minion keeps their connections open,
    // and delivers what arrives meanwhile to the next life.
    void crash(bool keepsConnections = false);
    void cutFrom(int entry, bool isCut);
    // Requests of the entry that arrive until the time are held for up to mostHeld each (one length
    // for each connection), and then carried out by the life that is up by then.
    void holdFrom(int entry, Clock::time_point until, Milliseconds mostHeld);
    void loseAnswersTo(int entry, Clock::time_point until);
    void resetFrom(int entry) { m_servers.at(static_cast<std::size_t>(entry))->reset(); }
    // Ends what runs if the lease has expired by now.
    void expire();
    bool hasRun(const std::string &task) const { return m_runs.contains(task); }
    void beat();
    void tick();
    const MinionSpec &spec() const { return m_spec; }
    MinionSpec &mutableSpec() { return m_spec; }
    bool isUp() const { return m_isUp; }
    std::size_t runs() const { return m_runs.size(); }
    std::string addressFor(int entry) const { return m_servers.at(entry)->address(); }
    std::int64_t lastCallMs = 0;
    // Refuses all starts with 503, as an unhealthy minion may.
    bool shedsStarts = false;
    std::vector<std::string> running() const;

private:
    struct Run
    {
        std::uint32_t attempt = 0;
        std::string spec;
        Work work;
        Clock::time_point began;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t attempt = 0;
        std::string how;
        std::int64_t at = 0;
        // Leases that had lapsed in this life by then.
        std::uint64_t lapses = 0;
    };
    struct Held
    {
        Message request;
        Respond respond;
        Clock::time_point arrived;
        Clock::time_point release;
        std::int64_t bornUnix = 0;
    };
    // What lies between one entry and this minion.
    struct Path
    {
        Clock::time_point holdsUntil;
        Milliseconds mostHeld{};
        Clock::time_point losesAnswersUntil;
        std::vector<Held> held;
    };
    struct Waiting
    {
        Clock::time_point end;
        Respond respond;
    };
    void handle(int entry, const Message &request, const Respond &respond);
    void hold(Path &path, const Message &request, const Respond &respond);
    void release(int entry);
    void carryOut(int entry, const Message &request, const Respond &respond);
    void acknowledge(std::uint64_t cursor);
    void startRun(const Json &body, const Respond &respond, int entry);
    void stopRun(const Json &body, const Respond &respond);
    void extend(const Json &body);
    Answer refuse(const char *reason) const;
    Answer list() const;
    void end(const std::string &task, const std::string &how);
    void answerWaiting();
    std::int64_t clock() const;

    World &m_world;
    MinionSpec m_spec;
    std::vector<std::shared_ptr<Server>> m_servers;
    bool m_isUp = false;
    Clock::time_point m_born;
    std::int64_t m_bornUnix = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint32_t> m_over;
    std::vector<End> m_ends;
    std::vector<Waiting> m_waiting;
    std::vector<Path> m_paths;
    bool m_hasLapsed = false;
    std::uint64_t m_lapses = 0;
    std::int64_t m_clockOffset = 0;
    Clock::time_point m_registerAt;
    Clock::time_point m_nextBeat;
    Clock::time_point m_silentSince;
};

// The platform's calls for machines.
class Cloud
{
public:
    explicit Cloud(World &world)
        : m_world(world)
    {}
    void handle(int entry, const Message &request, const Respond &respond);
    void tick();
    struct Machine
    {
        std::string name;
        std::string pool;
        std::string state = "up";
        Minion *minion = nullptr;
        Clock::time_point backAt;
        std::uint64_t fence = 0;
        std::set<std::uint64_t> wavesDone;
        std::uint64_t downFor = 0;
        int lives = 1;
    };
    std::map<std::string, Machine> machines;
    // Delay of the answer to an order; the order itself is carried out at once.
    Milliseconds orderAnswerDelay{4};
    // How much older than the machines themselves their list is.
    Milliseconds listLag{0};
    // The machine loses its minion at once; after the time a new one runs there.
    void crash(const std::string &name, Milliseconds time);

private:
    Json rows() const;

    World &m_world;
    // What the list showed, and when.
    std::deque<std::pair<Clock::time_point, Json>> m_lists;
};

// An entry under test, as a process.
class Entry
{
public:
    Entry(World &world, int number, std::string zone);
    ~Entry();
    void start();
    void signal(int number);
    // Reaps the process; returns whether it has ended.
    bool hasEnded();
    // Whether the process has ended by itself, unasked.
    bool hasCrashed() const { return m_hasCrashed; }
    int number() const { return m_number; }
    const std::string &name() const { return m_name; }
    const std::string &zone() const { return m_zone; }
    const std::string &frontend() const { return m_frontend; }
    void cutFromPlatform(bool isCut);

private:
    void advise(const Message &request, const Respond &respond) const;

    World &m_world;
    int m_number;
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    std::string m_frontend;
    std::string m_readiness;
    std::string m_settingsPath;
    std::shared_ptr<Server> m_store;
    std::shared_ptr<Server> m_cloud;
    std::shared_ptr<Server> m_advice;
    int m_pid = 0;
    bool m_isAskedToEnd = false;
    bool m_hasCrashed = false;
};

struct Start
{
    std::int64_t at = 0;
    std::string task;
    std::uint32_t attempt = 0;
    Minion *minion = nullptr;
    std::string spec;
};

class World
{
public:
    World(std::string directory, const std::string &recordPath);
    ~World();
    // Runs the script until it returns; the result is the exit code.
    int run(const std::function<asio::awaitable<int>(World &)> &script);
    asio::awaitable<void> sleep(Milliseconds time);
    // A client's call to an entry, with the key of a tenant.
    asio::awaitable<CallResult> ask(Entry &entry, const std::string &method,
                                    const std::string &path, const std::string &body = {},
                                    const std::string &key = "key-a");
    // Waits until the condition holds; returns whether it did within the time.
    asio::awaitable<bool> until(std::function<bool()> condition, Milliseconds time);
    void note(const std::string &text);
    std::int64_t now() const;
    void addEntries(const std::vector<std::string> &zones);
    // isOff: its machine is in a standby pool.
    Minion &addMinion(const MinionSpec &spec, bool isOff = false);
    void putConfig(const Json &config);
    // Cuts the zone off from the other zones and from the platform; clients still reach it. The
    // platform itself still reaches the zone's machines.
    void cutZone(const std::string &zone, bool isCut);
    // The number of the entry that holds the ownership, by its last order; -1: none yet.
    int lastHolder() const { return m_lastHolder; }
    void orderedBy(int entry) { m_lastHolder = entry; }
    Entry &entry(int number) { return *entries.at(static_cast<std::size_t>(number)); }

    asio::io_context context;
    std::string directory;
    Store store;
    Cloud cloud;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::unique_ptr<Minion>> minions;
    // Leaves starts and ends of runs out of the record.
    bool isBrief = false;
    // What tasks do.
    std::function<Work(const std::string &spec, const std::string &task, std::uint32_t attempt)>
            work;
    // What the advice service allows: a step (its phase) on a minion.
    std::function<bool(const std::string &phase, const std::string &minion)> isAdvised;
    // Told of each start that a minion has begun.
    std::function<void(const Start &)> onStart;
    // Told of each order that the platform has carried out: entry, machine, call.
    std::function<void(int, const std::string &, const std::string &)> onMachineOrder;
    // Told of each task that is at work and that a stop, a move or an upkeep ends.
    std::function<void(const std::string &task, const std::string &order)> onEndedByOrder;
    // Told of each end of a run: minion, task, how.
    std::function<void(const Minion &, const std::string &, const std::string &)> onEnd;
    // Told of each end `done` that has been taken note of: task, time of the end.
    std::function<void(const std::string &, std::int64_t)> onDoneNoted;
    std::vector<Start> starts;
    // The entries' program, and the largest offset of a life's clock.
    std::string program = "target/src/app/cyclamenlatch";
    std::int64_t mostClockOffset = 0;
    // Requests that wait for a minion for longer than this are lost.
    Milliseconds mostHeld{3000};
    std::mt19937_64 random{1};
    std::int64_t draw(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(random);
    }
    struct Counts
    {
        std::uint64_t heldStarts = 0;
        std::uint64_t heldHolds = 0;
        std::uint64_t heldStops = 0;
        std::uint64_t heldLost = 0;
        std::uint64_t refusedFences = 0;
        std::uint64_t owners = 0;
    };
    Counts counts;

private:
    void tick();

    std::ofstream m_record;
    Clock::time_point m_began = Clock::now();
    asio::steady_timer m_timer;
    int m_lastHolder = -1;
    bool m_isEnding = false;
};

std::uint16_t freePort(const std::string &ip);
// Whether the script shall leave the disruption out.
bool isCalm();

} // namespace review
