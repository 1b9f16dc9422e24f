// MIXED: the count of a queue's jobs that have not begun, while the only minion that may run them
// is unhealthy and refuses starts.
#include "cases.h"

namespace review {

asio::awaitable<int> pendingCount(World &world)
{
    constexpr int minions = 10;
    constexpr int jobs = 10;
    constexpr Milliseconds visible{3000};
    world.addEntries({"z1", "z2", "z3"});
    // One of the ten minions has the label that the jobs require.
    for (int number = 1; number <= minions; ++number) {
        world.addMinion({"i-" + std::to_string(number),
                         "s1",
                         "z" + std::to_string(number % 3 + 1),
                         "m-" + std::to_string(number),
                         {number == minions ? "b" : "a", "r-" + std::to_string(number)}});
    }
    world.putConfig(makeConfig(1, {"s1"}, 0));
    if (co_await startFleet(world) < 0) {
        co_return 2;
    }
    auto &grey = *world.minions.back();
    auto &entry = world.entry(0);
    grey.shedsStarts = !isCalm();
    const std::string job = R"({"spec":"work","phases":[{"count":1,"cpu":1000,"mem_mb":100,)"
                            R"("estimated_ms":500,"requirements":"b"}]})";
    int accepted = 0;
    for (int number = 0; number < jobs; ++number) {
        const auto answer = co_await world.ask(entry, "POST",
                                               "/s1/00000000000000d" + std::to_string(number), job);
        accepted += answer.answer && answer.answer->status == 200 ? 1 : 0;
    }
    co_await world.sleep(visible + Milliseconds(2200));
    const int waiting = jobs - static_cast<int>(world.starts.size());
    const auto shown = co_await world.ask(entry, "GET", "/s1/");
    grey.shedsStarts = false;
    if (accepted != jobs || !shown.answer || shown.answer->status != 200) {
        world.note("the count could not be asked for");
        co_return 2;
    }
    const auto pending = Json::parse(shown.answer->body).value("pending", -1);
    world.note("pending is shown as " + std::to_string(pending) + "; of the " + std::to_string(jobs)
               + " jobs that were accepted over 5 s ago " + std::to_string(waiting)
               + " have not begun");
    // All of them begin once the minion is sound again.
    co_await world.sleep(Milliseconds(2000));
    world.note(std::to_string(world.starts.size()) + " have begun in the end");
    if (2 * pending < waiting) {
        world.note("MIXED broken: under half of them are given as pending");
        co_return 1;
    }
    co_return 0;
}

} // namespace review
