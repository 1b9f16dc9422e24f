// ROUTE: a minion crashes and comes back under its id as another kind. Until its entry in the store
// tells so, the owner goes on with the labels of the life before.
#include "cases.h"

#include <cstdio>

namespace review {

asio::awaitable<int> otherKind(World &world)
{
    world.addEntries({"z1", "z2", "z3"});
    for (int number = 1; number <= 6; ++number) {
        world.addMinion({"i-" + std::to_string(number),
                         "s1",
                         "z" + std::to_string(number % 3 + 1),
                         "m-" + std::to_string(number),
                         {number == 6 ? "b" : "a", "r-" + std::to_string(number)}});
    }
    bool isBroken = false;
    world.onStart = [&](const Start &start) {
        if (start.spec == "needs b" && start.minion->spec().labels.front() != "b") {
            isBroken = true;
            world.note("ROUTE broken: the task requires the label b, the minion has "
                       + Json(start.minion->spec().labels).dump());
        }
    };
    world.putConfig(makeConfig(1, {"s1"}, 0));
    if (co_await startFleet(world) < 0) {
        co_return 2;
    }
    auto &minion = *world.minions.back();
    auto &entry = world.entry(0);
    const std::string job = R"({"spec":"needs b","phases":[{"count":1,"cpu":1000,"mem_mb":100,)"
                            R"("estimated_ms":500,"requirements":"b"}]})";
    int number = 0;
    const auto submit = [&]() -> asio::awaitable<void> {
        char id[17];
        std::snprintf(id, sizeof(id), "%016x", 0xe0 + ++number);
        co_await world.ask(entry, "POST", std::string("/s1/") + id, job);
    };
    co_await submit();
    if (!co_await world.until([&] { return !world.starts.empty(); }, Milliseconds(5000))) {
        co_return 2;
    }
    co_await world.sleep(Milliseconds(1000));
    minion.crash();
    co_await world.sleep(Milliseconds(1500));
    // Comes back under the same id, at the same address, and registers with its first beat.
    if (!isCalm()) {
        minion.mutableSpec().labels.front() = "a";
    }
    minion.start(Milliseconds(1400));
    for (int count = 0; count < 20; ++count) {
        co_await submit();
        co_await world.sleep(Milliseconds(100));
    }
    co_await world.sleep(Milliseconds(2000));
    co_return isBroken ? 1 : 0;
}

} // namespace review
