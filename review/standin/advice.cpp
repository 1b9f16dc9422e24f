// LOST: tasks that last wait for the one minion that the advice service allows them on, which is
// full. They keep other minions free for themselves, on which they may never run, so that the other
// jobs of the service have nothing running beside idle minions.
#include "cases.h"

#include <algorithm>
#include <cstdio>

namespace review {

namespace {

std::string jobPath(const std::string &prefix, int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(number));
    return prefix + id;
}

} // namespace

asio::awaitable<int> unadvisedTasks(World &world)
{
    constexpr int minions = 5;
    constexpr int lastingJobs = 8;
    constexpr int shortJobs = 10;
    constexpr Milliseconds finish{14000};
    // The queue's policy allows its steps on one minion, which has room for four of the eight jobs;
    // in the calm run it allows them on all.
    world.isAdvised = [](const std::string &, const std::string &minion) {
        return isCalm() || minion == "i-1";
    };
    world.work = [](const std::string &spec, const auto &, auto) {
        return Work{Milliseconds(300), false, spec == "serve"};
    };
    world.addEntries({"z1", "z2", "z3"});
    for (int number = 1; number <= minions; ++number) {
        world.addMinion({"i-" + std::to_string(number),
                         "s1",
                         "z" + std::to_string(number % 3 + 1),
                         "m-" + std::to_string(number),
                         {"a", "r-" + std::to_string(number)}});
    }
    auto config = makeConfig(1, {"s1"}, 0);
    auto advised = config["routes"][0];
    advised["name"] = "r-advised";
    advised["prefix"] = "/advised/";
    advised["recommendation"] = {{"decision_ms", 20}, {"per_worker_ms", 2}, {"valid_ms", 5000}};
    config["routes"].push_back(advised);
    world.putConfig(config);
    if (co_await startFleet(world) < 0) {
        co_return 2;
    }
    auto &entry = world.entry(0);
    int accepted = 0;
    for (int number = 1; number <= lastingJobs; ++number) {
        const auto answer = co_await world.ask(
                entry, "POST", jobPath("/advised/", 0x100 + number),
                R"({"spec":"serve","phases":[{"count":1,"cpu":4000,"mem_mb":100,"long_running":true}]})");
        accepted += answer.answer && answer.answer->status == 200 ? 1 : 0;
    }
    co_await world.sleep(Milliseconds(4000));
    for (int number = 1; number <= shortJobs; ++number) {
        const auto answer = co_await world.ask(
                entry, "POST", jobPath("/s1/", 0x200 + number),
                R"({"spec":"check","phases":[{"count":2,"cpu":1000,"mem_mb":100,"estimated_ms":300}]})");
        accepted += answer.answer && answer.answer->status == 200 ? 1 : 0;
    }
    co_await world.sleep(finish);
    int completed = 0;
    for (int number = 1; number <= shortJobs; ++number) {
        const auto shown = co_await world.ask(entry, "GET", jobPath("/s1/", 0x200 + number));
        completed += shown.answer && shown.answer->body.find("completed") != std::string::npos;
    }
    const auto begun = std::count_if(world.starts.begin(), world.starts.end(),
                                     [](const auto &start) { return start.spec == "check"; });
    std::size_t running = 0;
    for (const auto &minion : world.minions) {
        running += minion->runs();
    }
    world.note(std::to_string(shortJobs) + " short jobs were accepted "
               + std::to_string(finish.count()) + " ms ago; " + std::to_string(completed)
               + " are completed, " + std::to_string(begun) + " of their tasks have begun; "
               + std::to_string(running) + " tasks run on " + std::to_string(minions) + " minions");
    if (accepted != lastingJobs + shortJobs) {
        co_return 2;
    }
    if (completed < shortJobs) {
        world.note("LOST broken: accepted jobs have nothing running while the minions are idle");
        co_return 1;
    }
    co_return 0;
}

} // namespace review
