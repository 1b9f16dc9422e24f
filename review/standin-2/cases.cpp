// The cases of the review that are scripts. Exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run.
#include "deployment.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <unistd.h>

namespace review {

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

void sleepMs(int time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

void sleepUntil(Record &record, std::int64_t at)
{
    while (record.milliseconds() < at) {
        sleepMs(5);
    }
}

std::string minionId(std::size_t number)
{
    char text[16];
    std::snprintf(text, sizeof(text), "i-%04zx", number);
    return text;
}

json step(const json &fields)
{
    json made{{"count", 1}, {"cpu", 1000}, {"mem_mb", 256}, {"estimated_ms", 800}};
    made.update(fields);
    return made;
}

std::string job(const std::string &text, const std::vector<json> &steps)
{
    return json{{"spec", text}, {"phases", json(steps)}}.dump();
}

// MIXED: an unhealthy minion refuses the starts of jobs that only it may run. They have not begun,
// so the queue's `pending` has to count them.
int pendingJobs(Deployment &fleet, bool hasTrouble)
{
    constexpr int jobs = 6;
    auto &record = fleet.record();
    for (std::size_t index = 0; index < 10; ++index) {
        MinionSettings settings;
        settings.id = minionId(index);
        settings.labels = {index == 9 ? "crane" : "plain", "r1-" + std::to_string(index / 4)};
        fleet.addMinion(settings).setShedding(hasTrouble && index == 9);
    }
    fleet.configure();
    fleet.startEntries(3);
    if (!fleet.waitUntilReady()) {
        return couldNotRun;
    }
    sleepMs(1500);
    std::int64_t accepted = 0;
    for (int index = 0; index < jobs; ++index) {
        const auto path = "/jobs/" + jobId(0x5c0e7a21d94b0000ULL + index);
        const auto body = job("ms=800", {step({{"requirements", "crane"}})});
        if (fleet.call(index % 3, "POST", path, body).status != 200) {
            return couldNotRun;
        }
        accepted = record.milliseconds();
    }
    // visible_ms + 2 s after the last one was accepted.
    sleepUntil(record, accepted + 5000 + 200);
    const auto runs = fleet.runs();
    const auto begun = static_cast<int>(runs.size());
    int lowest = jobs;
    for (std::size_t entry = 0; entry < fleet.entries(); ++entry) {
        const auto reply = fleet.call(entry, "GET", "/jobs/");
        const auto body = json::parse(reply.body, nullptr, false);
        if (reply.status != 200 || !body.is_object()) {
            return couldNotRun;
        }
        lowest = std::min(lowest, body["pending"].get<int>());
    }
    const int waiting = jobs - begun;
    record.line("verdict: " + std::to_string(waiting)
                + " jobs were accepted over 5 s ago and have not begun; the lowest pending is "
                + std::to_string(lowest));
    return 2 * lowest < waiting ? broken : held;
}

// UNASKED: the writes that hand a job in get no answer and are carried out late. The client gets
// 504, gives up and cancels; the system says that no such job exists, and runs it later.
int cancelledJobs(Deployment &fleet, bool hasTrouble)
{
    constexpr int jobs = 40;
    constexpr double lostShare = 0.3;
    constexpr int lateMs = 5500;
    constexpr int cancelMs = 3000;
    constexpr int stopTimeoutMs = 200;
    constexpr int contactMs = 3000;
    auto &record = fleet.record();
    for (std::size_t index = 0; index < 6; ++index) {
        MinionSettings settings;
        settings.id = minionId(index);
        settings.labels = {"plain", "r1-" + std::to_string(index / 4)};
        fleet.addMinion(settings);
    }
    fleet.configure();
    fleet.startEntries(3);
    if (!fleet.waitUntilReady()) {
        return couldNotRun;
    }
    sleepMs(1500);
    // When the last late write was carried out.
    std::atomic<std::int64_t> lastLate{record.milliseconds()};
    if (hasTrouble) {
        auto random = std::make_shared<std::mt19937>(7);
        fleet.store().setLateHook([&record, &lastLate, random](const json &) {
            const bool isLost = std::uniform_real_distribution<>(0, 1)(*random) < lostShare;
            if (isLost) {
                record.line("store: a write gets no answer and is carried out after 5500 ms");
                lastLate = record.milliseconds() + lateMs;
            }
            return isLost ? lateMs : -1;
        });
    }
    std::vector<std::thread> clients;
    std::mutex mutex;
    // By task, when the system answered the cancelling.
    std::map<std::string, std::int64_t> cancelled;
    for (int index = 0; index < jobs; ++index) {
        clients.emplace_back([&, index] {
            const auto id = jobId(0x5c0e7a21d94b1000ULL + index);
            const auto path = "/jobs/" + id;
            const auto answer =
                    fleet.call(index % 3, "POST", path, job("ms=15000", {step(json::object())}));
            if (answer.status >= 200 && answer.status < 300) {
                return;
            }
            const auto cancel = fleet.call((index + 1) % 3, "DELETE", path);
            if (cancel.status == 200 || cancel.status == 410) {
                const std::lock_guard lock(mutex);
                cancelled[id + ".0.0.0"] = record.milliseconds();
            }
        });
        sleepMs(50);
    }
    for (auto &client : clients) {
        client.join();
    }
    fleet.store().setLateHook({});
    record.line("store: answers every write again");
    // A calm stretch: contact_ms, then cancel_ms and stop_timeout_ms.
    sleepUntil(record, lastLate + contactMs + cancelMs + stopTimeoutMs + 300);
    int late = 0;
    for (const auto &run : fleet.runs()) {
        const auto found = cancelled.find(run.task);
        if (found == cancelled.end()) {
            continue;
        }
        const bool isStartedLate = run.beganMs > found->second + cancelMs;
        const bool isRunning = run.endedMs < 0;
        late += isStartedLate || isRunning ? 1 : 0;
        record.line("verdict: " + run.task + " was started "
                    + std::to_string(run.beganMs - found->second)
                    + " ms after its cancelling was acknowledged, "
                    + (isRunning ? "and runs on " + std::to_string(record.milliseconds() - lastLate)
                                           + " ms after the last disruption"
                                 : "and has ended"));
    }
    record.line("verdict: " + std::to_string(late) + " of " + std::to_string(cancelled.size())
                + " cancelled jobs were started after cancel_ms or run on");
    return late > 0 ? broken : held;
}

// LOST: a minion goes down and up and down; the tasks that last on it come back too late.
int lastingTask(Deployment &fleet, bool hasTrouble)
{
    auto &record = fleet.record();
    Minion *first = nullptr;
    for (std::size_t index = 0; index < 10; ++index) {
        MinionSettings settings;
        settings.id = minionId(index);
        settings.labels = {"plain", "r1-" + std::to_string(index / 4)};
        auto &minion = fleet.addMinion(settings);
        first = first == nullptr ? &minion : first;
    }
    fleet.configure();
    fleet.startEntries(3);
    if (!fleet.waitUntilReady()) {
        return couldNotRun;
    }
    // Long enough for every minion to be known as one that holds no unknown lease.
    sleepMs(12000);
    const auto id = jobId(0x5c0e7a21d94b2000ULL);
    const auto lasts = step({{"long_running", true}, {"cpu", 2600}, {"mem_mb", 18000}});
    if (fleet.call(0, "POST", "/lasting/" + id, job("lasts", {lasts})).status != 200) {
        return couldNotRun;
    }
    const auto task = id + ".0.0.0";
    const auto isRunning = [&](const std::string &minion) {
        const auto runs = fleet.runs();
        return std::any_of(runs.begin(), runs.end(), [&](const RunLog &run) {
            return run.task == task && run.endedMs < 0 && (minion.empty() || run.minion == minion);
        });
    };
    sleepMs(3000);
    if (!isRunning(first->id())) {
        record.line("the task does not run on the first minion");
        return couldNotRun;
    }
    if (hasTrouble) {
        first->crash();
        sleepMs(700);
        first->startAgain();
        for (int tries = 0; tries < 300 && !isRunning({}); ++tries) {
            sleepMs(5);
        }
        if (!isRunning(first->id())) {
            record.line("the task did not come back on the first minion");
            return couldNotRun;
        }
        sleepMs(700);
        first->crash();
    }
    const auto lost = record.milliseconds();
    sleepMs(13000);
    auto back = record.milliseconds();
    std::int64_t lastEnd = lost;
    for (const auto &run : fleet.runs()) {
        if (run.task != task) {
            continue;
        }
        if (run.beganMs >= lost || run.endedMs < 0) {
            back = std::min(back, std::max(run.beganMs, lost));
        }
    }
    record.line("verdict: nothing of the job ran for " + std::to_string(back - lastEnd) + " ms");
    // 3 s, from 6 s after its last run.
    return back - lastEnd >= 9000 ? broken : held;
}

// LIMIT: an order for upkeep gets no answer, its holder is killed, and the platform carries the
// order out later, beside those of the next holder.
int lateUpkeep(Deployment &fleet, bool hasTrouble)
{
    constexpr int lateMs = 5500;
    auto &record = fleet.record();
    std::vector<std::string> machines;
    for (std::size_t index = 0; index < 12; ++index) {
        MinionSettings settings;
        settings.id = minionId(index);
        settings.labels = {"plain", "r1-" + std::to_string(index / 4)};
        fleet.addMinion(settings);
        machines.push_back("m-" + settings.id);
    }
    fleet.configure();
    fleet.startEntries(3);
    if (!fleet.waitUntilReady()) {
        return couldNotRun;
    }
    sleepMs(12000);
    std::atomic<bool> isOver{false};
    std::thread clients([&] {
        for (int index = 0; !isOver; ++index) {
            const auto path = "/jobs/" + jobId(0x5c0e7a21d94b7000ULL + index);
            fleet.call(index % 3, "POST", path,
                       job("ms=800", {step({{"count", 6}, {"cpu", 900}})}));
            sleepMs(200);
        }
    });
    sleepMs(1000);
    fleet.requestWave(machines, 1, 40);
    sleepMs(3000);
    if (hasTrouble) {
        fleet.delayOrders(1, lateMs);
        // Until an order was left without an answer.
        for (int tries = 0; tries < 2000 && fleet.lateOrders() == 0; ++tries) {
            sleepMs(5);
        }
        sleepMs(300);
        fleet.delayOrders(0, 0);
        const auto owner = fleet.owner();
        if (fleet.lateOrders() == 0 || owner == fleet.entries()) {
            isOver = true;
            clients.join();
            return couldNotRun;
        }
        fleet.kill(owner);
        sleepMs(500);
        fleet.startAgain(owner);
    }
    sleepMs(14000);
    isOver = true;
    clients.join();
    const auto [most, when] = fleet.mostDown();
    record.line("verdict: " + std::to_string(most) + " machines were down for the wave at once, at "
                + std::to_string(when) + " ms; its cap is 1");
    return most > 1 ? broken : held;
}

// TWICE: calls to a minion get no answer and are carried out late, by the next one on its address.
int lateCalls(Deployment &fleet, bool hasTrouble)
{
    constexpr int startLateMs = 2000;
    constexpr int holdLateMs = 2400;
    constexpr int earlierTasks = 5;
    auto &record = fleet.record();
    Minion *crane = nullptr;
    for (std::size_t index = 0; index < 10; ++index) {
        MinionSettings settings;
        settings.id = minionId(index);
        settings.labels = {index == 9 ? "crane" : "plain", "r1-" + std::to_string(index / 4)};
        crane = &fleet.addMinion(settings);
    }
    fleet.configure();
    fleet.startEntries(3);
    if (!fleet.waitUntilReady()) {
        return couldNotRun;
    }
    sleepMs(12000);
    const json needsCrane{{"requirements", "crane"}, {"estimated_ms", 200}};
    auto wide = needsCrane;
    wide["count"] = earlierTasks;
    if (fleet.call(0, "POST", "/jobs/" + jobId(0x5c0e7a21d94b8000ULL), job("ms=200", {step(wide)}))
                .status
        != 200) {
        return couldNotRun;
    }
    sleepMs(4000);
    const auto id = jobId(0x5c0e7a21d94b8001ULL);
    const auto submit = [&] {
        return fleet.call(1, "POST", "/jobs/" + id, job("ms=200", {step(needsCrane)})).status
               == 200;
    };
    if (hasTrouble) {
        crane->delayCalls(startLateMs, holdLateMs);
        for (int tries = 0; tries < 600 && crane->delayedHolds() == 0; ++tries) {
            sleepMs(5);
        }
        if (!submit()) {
            return couldNotRun;
        }
        for (int tries = 0; tries < 200 && crane->delayedStarts() == 0; ++tries) {
            sleepMs(5);
        }
        if (crane->delayedHolds() == 0 || crane->delayedStarts() == 0) {
            record.line("no call was left without an answer");
            return couldNotRun;
        }
        const auto sent = record.milliseconds();
        crane->delayCalls(0, 0);
        sleepUntil(record, sent + 200);
        crane->crash();
        sleepUntil(record, sent + 1900);
        crane->startAgain();
    } else if (!submit()) {
        return couldNotRun;
    }
    sleepMs(9000);
    std::int64_t noted = -1;
    int after = 0;
    for (const auto &run : crane->runs()) {
        if (run.task != id + ".0.0.0") {
            continue;
        }
        after += noted >= 0 ? 1 : 0;
        if (run.how == "done" && run.notedMs >= 0) {
            noted = std::max(noted, run.notedMs);
        }
    }
    record.line("verdict: " + std::to_string(after)
                + " starts of the task after it had ended done and the end was taken note of");
    return after > 0 ? broken : held;
}

// TWICE: the start of a task that lasts gets no answer, and the next minion on its address carries
// it out while the task already runs elsewhere.
int twoRuns(Deployment &fleet, bool hasTrouble)
{
    constexpr int downMs = 5000;
    constexpr int startLateMs = 5100;
    auto &record = fleet.record();
    Minion *first = nullptr;
    for (std::size_t index = 0; index < 10; ++index) {
        MinionSettings settings;
        settings.id = minionId(index);
        settings.labels = {"plain", "r1-" + std::to_string(index / 4)};
        auto &minion = fleet.addMinion(settings);
        first = first == nullptr ? &minion : first;
    }
    fleet.configure();
    fleet.startEntries(3);
    if (!fleet.waitUntilReady()) {
        return couldNotRun;
    }
    sleepMs(12000);
    const auto id = jobId(0x5c0e7a21d94b9000ULL);
    const auto lasts = step({{"long_running", true}, {"cpu", 2600}, {"mem_mb", 18000}});
    if (hasTrouble) {
        first->delayCalls(startLateMs, 0);
    }
    if (fleet.call(0, "POST", "/lasting/" + id, job("lasts", {lasts})).status != 200) {
        return couldNotRun;
    }
    if (hasTrouble) {
        for (int tries = 0; tries < 400 && first->delayedStarts() == 0; ++tries) {
            sleepMs(5);
        }
        if (first->delayedStarts() == 0) {
            record.line("no start was left without an answer");
            return couldNotRun;
        }
        const auto sent = record.milliseconds();
        first->crash();
        first->delayCalls(0, 0);
        sleepUntil(record, sent + downMs);
        first->startAgain(500);
    }
    sleepMs(8000);
    std::vector<RunLog> runs;
    for (const auto &run : fleet.runs()) {
        if (run.task == id + ".0.0.0") {
            runs.push_back(run);
        }
    }
    std::int64_t together = 0;
    for (const auto &one : runs) {
        for (const auto &other : runs) {
            const bool isLater = one.minion != other.minion && other.beganMs >= one.beganMs;
            const auto oneEnd = one.endedMs < 0 ? record.milliseconds() : one.endedMs;
            const auto otherEnd = other.endedMs < 0 ? record.milliseconds() : other.endedMs;
            if (isLater) {
                together = std::max(together, std::min(oneEnd, otherEnd) - other.beganMs);
            }
        }
    }
    record.line("verdict: two runs of the task were at work at the same time for "
                + std::to_string(together) + " ms");
    return together > 0 ? broken : held;
}

struct Case
{
    const char *name;
    int (*run)(Deployment &fleet, bool hasTrouble);
};

constexpr Case cases[] = {{"pending", pendingJobs}, {"cancelled", cancelledJobs},
                          {"lasting", lastingTask}, {"upkeep", lateUpkeep},
                          {"late", lateCalls},      {"tworuns", twoRuns}};

} // namespace

int runCase(const std::string &name, const std::string &folder, const std::string &recordPath)
{
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    for (const auto &item : cases) {
        if (name == item.name) {
            Record record(recordPath);
            record.line("case " + name + (hasTrouble ? "" : ", without the disruption"));
            int verdict = couldNotRun;
            {
                auto *fleet = new Deployment(record, folder);
                verdict = item.run(*fleet, hasTrouble);
                for (std::size_t entry = 0; entry < fleet->entries(); ++entry) {
                    fleet->kill(entry);
                }
            }
            record.line("verdict: " + std::to_string(verdict));
            // Threads that serve connections still use the stand-ins.
            std::fflush(nullptr);
            ::_exit(verdict);
        }
    }
    std::fprintf(stderr, "unknown case %s\n", name.c_str());
    return couldNotRun;
}

} // namespace review

int main(int count, char **arguments)
{
    if (count != 4) {
        std::fprintf(stderr, "usage: cases NAME FOLDER RECORD\n");
        return 2;
    }
    return review::runCase(arguments[1], arguments[2], arguments[3]);
}
