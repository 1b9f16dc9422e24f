// A minion, as the users' pages describe it.
//
// What a task does is told by the text of its job: "ms=800" works for 800 ms and ends done,
// "fails=100" ends failed after 100 ms, "lasts" works until it is stopped. With "saves=N" the task
// has a checkpoint of N bytes.
#pragma once

#include "platform.h"

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace review {

struct MinionSettings
{
    std::string id;
    std::string machine;
    std::string service;
    std::string zone;
    std::vector<std::string> labels;
    std::int64_t cpu = 16000;
    std::int64_t memoryMb = 65536;
};

// One run as the minion saw it.
struct RunLog
{
    std::string minion;
    std::string task;
    std::int64_t attempt = 0;
    std::int64_t beganMs = 0;
    // Negative: it has not ended.
    std::int64_t endedMs = -1;
    std::string how;
    // When a call let the minion forget the end, under a lease that had not lapsed; negative: none.
    std::int64_t notedMs = -1;
};

class Minion
{
public:
    Minion(Store &store, Record &record, MinionSettings settings);
    ~Minion();
    Minion(const Minion &) = delete;
    Minion &operator=(const Minion &) = delete;

    std::string id() const;
    // Ends at once; everything that runs ends with it. Its entry in the store is removed after
    // three heartbeats of silence.
    void crash();
    // Starts again under the same id and address: it knows nothing of before. It registers itself
    // in the store this much later.
    void startAgain(int registersAfterMs = 0);
    // A new minion joins on the machine in place of the one that ended.
    void startAs(const std::string &id);
    bool isUp() const { return m_isUp; }
    // It is unhealthy and refuses to start tasks with 503, having done nothing.
    void setShedding(bool isShedding) { m_isShedding = isShedding; }
    // From now on the calls that arrive get no answer, and whoever runs here then carries them out
    // this much later; 0: not so.
    void delayCalls(int startMs, int holdMs);
    // How many starts, and how many calls that let ends be forgotten, were left without an answer.
    int delayedStarts() const { return m_delayedStarts; }
    int delayedHolds() const { return m_delayedHolds; }
    // Every run of all incarnations.
    std::vector<RunLog> runs();

private:
    struct Run
    {
        std::int64_t attempt = 0;
        Clock::time_point began;
        int worksMs = 0;
        bool fails = false;
        bool lasts = false;
        std::string checkpoint;
        std::size_t log = 0;
        std::optional<Clock::time_point> stopsAt;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t attempt = 0;
        std::string how;
        std::string checkpoint;
        std::size_t log = 0;
    };

    void begin();
    void carryOutLater(const std::string &path, json call, int late);
    void halt(const std::string &how);
    std::optional<Reply> handle(const Request &request);
    Reply start(const json &call);
    Reply stop(const json &call);
    Reply hold(const json &call);
    json withClock(json body) const;
    std::int64_t clock() const;
    bool isFenced(const json &call);
    void grant(const json &call);
    void work();
    void endLocked(const std::string &task, const Run &run, const std::string &how);
    void beat();

    Store &m_store;
    Record &m_record;
    MinionSettings m_settings;
    const std::uint16_t m_port = freePort();
    mutable std::mutex m_mutex;
    std::condition_variable m_ended;
    std::atomic<bool> m_isUp{false};
    std::atomic<bool> m_isShedding{false};
    std::atomic<bool> m_isStopped{false};
    std::atomic<int> m_startDelayMs{0};
    std::atomic<int> m_holdDelayMs{0};
    std::atomic<int> m_delayedStarts{0};
    std::atomic<int> m_delayedHolds{0};
    std::atomic<std::int64_t> m_registersAt{0};
    std::int64_t m_born = 0;
    Clock::time_point m_bornAt;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_lastEnd = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_refusedUpTo;
    std::vector<End> m_ends;
    std::vector<RunLog> m_logs;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_worker;
    std::thread m_beater;
    Clock::time_point m_crashedAt;
};

} // namespace review
