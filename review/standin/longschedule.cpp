// LOST: a job with many occurrences. Its record of progress grows with each until the store refuses
// it, and from then on the progress of no job of any tenant is stored.
#include "cases.h"

#include <algorithm>
#include <cstdio>

namespace review {

namespace {

constexpr std::int64_t intervalMs = 40;
constexpr int phases = 20;
// At one occurrence each 40 ms this outlasts the script.
constexpr int manyTimes = 2500;
constexpr int fewTimes = 400;
constexpr Milliseconds scheduleTime{85000};
constexpr Milliseconds finish{14000};

std::string schedule(int times)
{
    Json steps = Json::array();
    for (int number = 0; number < phases; ++number) {
        steps.push_back({{"count", 1}, {"cpu", 100}, {"mem_mb", 10}, {"estimated_ms", 100}});
    }
    const auto now = std::chrono::duration_cast<Milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    return Json{{"spec", "sweep"},
                {"phases", steps},
                {"repeat_count", times},
                {"interval_ms", intervalMs},
                {"start_at_ms", now + 500}}
            .dump();
}

} // namespace

asio::awaitable<int> longSchedule(World &world)
{
    world.isBrief = true;
    world.addEntries({"z1", "z2", "z3"});
    for (int number = 1; number <= 8; ++number) {
        world.addMinion({"i-" + std::to_string(number),
                         number <= 6 ? "s1" : "s2",
                         "z" + std::to_string(number % 3 + 1),
                         "m-" + std::to_string(number),
                         {"a", "r-" + std::to_string(number)}});
    }
    world.work = [](const auto &, const auto &, auto) { return Work{Milliseconds(100)}; };
    world.putConfig(makeConfig(1, {"s1", "s2"}, 0));
    if (co_await startFleet(world) < 0) {
        co_return 2;
    }
    auto &entry = world.entry(0);
    const std::string scheduled = "/s1/0000000000000111";
    const auto accepted =
            co_await world.ask(entry, "POST", scheduled, schedule(isCalm() ? fewTimes : manyTimes));
    if (!accepted.answer || accepted.answer->status != 200) {
        co_return 2;
    }
    const auto began = world.now();
    while (world.now() - began < scheduleTime.count()) {
        co_await world.sleep(Milliseconds(5000));
        world.note("record of the scheduled job: "
                   + std::to_string(world.store.largest("state/0000000000000111"))
                   + " bytes; tasks started: " + std::to_string(world.starts.size()));
        const bool isScheduleDone = isCalm() && world.starts.size() >= fewTimes * phases;
        if (world.store.refusedForSize() > 0 || isScheduleDone) {
            break;
        }
    }
    // Ordinary jobs of the other queue, whose minions are idle.
    int done = 0;
    constexpr int jobs = 5;
    const auto path = [](int number) {
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", 0x200 + number);
        return std::string("/s2/") + id;
    };
    int taken = 0;
    for (int number = 0; number < jobs; ++number) {
        const auto answer = co_await world.ask(
                entry, "POST", path(number),
                R"({"spec":"check","phases":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":100}]})");
        taken += answer.answer && answer.answer->status == 200 ? 1 : 0;
    }
    co_await world.sleep(finish);
    for (int number = 0; number < jobs; ++number) {
        const auto shown = co_await world.ask(entry, "GET", path(number));
        done += shown.answer && shown.answer->body.find("completed") != std::string::npos ? 1 : 0;
    }
    const auto begun = std::count_if(world.starts.begin(), world.starts.end(),
                                     [](const auto &start) { return start.spec == "check"; });
    world.note(std::to_string(taken) + " jobs were accepted " + std::to_string(finish.count())
               + " ms ago; " + std::to_string(done) + " are completed, " + std::to_string(begun)
               + " of their tasks have begun; the store refused "
               + std::to_string(world.store.refusedForSize()) + " values for their size");
    if (taken != jobs) {
        co_return 2;
    }
    if (done < jobs) {
        world.note("LOST broken: accepted jobs have nothing running while their minions are idle");
        co_return 1;
    }
    co_return 0;
}

} // namespace review
