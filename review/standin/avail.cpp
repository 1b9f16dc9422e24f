// AVAIL: the owner's zone is cut off during a wave of upkeep. The next owner can't reach the
// minions of that zone, so it does not know what runs there, and takes their machines down all the
// same.
#include "cases.h"

#include <algorithm>
#include <set>

namespace review {

asio::awaitable<int> upkeepAfterZoneCut(World &world)
{
    constexpr std::size_t maySkip = 1;
    world.addEntries({"z1", "z2", "z3"});
    world.work = [](const auto &, const auto &, auto) {
        return Work{Milliseconds(0), false, true};
    };
    int number = 0;
    for (const std::string zone : {"z1", "z2", "z3"}) {
        for (int index = 0; index < 6; ++index) {
            ++number;
            world.addMinion({"i-" + std::to_string(number),
                             "s1",
                             zone,
                             "m-" + std::to_string(number),
                             {"a", "rack-" + zone}});
        }
    }
    // Tasks that an order ended and that are not at work again.
    std::set<std::string> away;
    bool isBroken = false;
    world.onEndedByOrder = [&](const std::string &task, const std::string &order) {
        if (away.size() >= maySkip && !isBroken) {
            isBroken = true;
            world.note("AVAIL broken: " + order + " ends " + task + ", which is at work, while "
                       + std::to_string(away.size()) + " others of its step are away; may_skip is "
                       + std::to_string(maySkip));
        }
        away.insert(task);
    };
    world.onStart = [&](const Start &start) { away.erase(start.task); };
    world.putConfig(makeConfig(1, {"s1"}, 0));
    const int owner = co_await startFleet(world);
    if (owner < 0) {
        co_return 2;
    }
    const auto zone = world.entry(owner).zone();
    auto &other = world.entry((owner + 1) % 3);
    const Json job{{"spec", "serve"},
                   {"phases",
                    {{{"count", 12},
                      {"cpu", 2000},
                      {"mem_mb", 100},
                      {"long_running", true},
                      {"affinity", "rack-" + zone},
                      {"anti_affinity", 2},
                      {"may_skip", maySkip}}}}};
    const auto accepted = co_await world.ask(other, "POST", "/s1/00000000000000f1", job.dump());
    const bool isRunning =
            co_await world.until([&] { return world.starts.size() == 12; }, Milliseconds(5000));
    if (!accepted.answer || !isRunning) {
        world.note("the job does not run");
        co_return 2;
    }
    co_await world.sleep(Milliseconds(4000));
    Json machines = Json::array();
    for (const auto &minion : world.minions) {
        if (minion->spec().zone == zone) {
            machines.push_back(minion->spec().machine);
        }
    }
    const Json wave{{"wave", 1}, {"machines", machines}, {"duration_s", 12}, {"cap", 2}};
    world.note("operator: wave " + wave.dump());
    world.store.put("op/wave/1", wave.dump());
    // The wave takes longer than it has: its machines are emptied one task at a time.
    co_await world.sleep(Milliseconds(11000));
    if (!isCalm()) {
        world.cutZone(zone, true);
    }
    co_await world.sleep(Milliseconds(6000));
    if (!isCalm()) {
        world.cutZone(zone, false);
    }
    co_await world.sleep(Milliseconds(20000));
    co_return isBroken ? 1 : 0;
}

} // namespace review
