// LIMIT: a minion crashes while its machine is being emptied for a wave. Its machine is ordered
// down when it has just come back, and is counted as back at once.
#include "cases.h"

#include <algorithm>

namespace review {

asio::awaitable<int> crashedBeforeUpkeep(World &world)
{
    constexpr int cap = 1;
    // [discovery] lag_ms of the site file.
    world.cloud.listLag = Milliseconds(800);
    world.work = [](const auto &, const auto &, auto) { return Work{Milliseconds(20000)}; };
    world.addEntries({"z1", "z2", "z3"});
    for (int number = 1; number <= 8; ++number) {
        world.addMinion({"i-" + std::to_string(number),
                         "s1",
                         "z" + std::to_string(number % 3 + 1),
                         "m-" + std::to_string(number),
                         {"a", "r-" + std::to_string(number)}});
    }
    world.putConfig(makeConfig(1, {"s1"}, 0));
    bool isBroken = false;
    world.onMachineOrder = [&](int, const std::string &machine, const std::string &path) {
        const auto down =
                std::count_if(world.cloud.machines.begin(), world.cloud.machines.end(),
                              [](const auto &item) { return item.second.state == "upkeep"; });
        const auto &state = world.cloud.machines.at(machine);
        if (path == "/v1/machine-upkeep" && state.state == "up" && !state.wavesDone.contains(1)
            && down >= cap && !isBroken) {
            isBroken = true;
            world.note("LIMIT broken: the upkeep of " + machine + " begins while "
                       + std::to_string(down) + " machines of the wave are down for theirs; cap is "
                       + std::to_string(cap));
        }
    };
    if (co_await startFleet(world) < 0) {
        co_return 2;
    }
    co_await world.sleep(Milliseconds(2000));
    const Json wave{{"wave", 1},
                    {"machines", {"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"}},
                    {"duration_s", 28},
                    {"cap", cap}};
    world.note("operator: wave " + wave.dump());
    world.store.put("op/wave/1", wave.dump());
    // One machine after the other crashes right before its turn.
    for (const std::string machine : {"m-2", "m-4", "m-6"}) {
        const auto before = "m-" + std::to_string(std::stoi(machine.substr(2)) - 1);
        co_await world.until([&] { return world.cloud.machines.at(before).wavesDone.contains(1); },
                             Milliseconds(15000));
        co_await world.sleep(Milliseconds(2500));
        if (!isCalm()) {
            world.cloud.crash(machine, Milliseconds(4200));
        }
    }
    co_await world.sleep(Milliseconds(15000));
    co_return isBroken ? 1 : 0;
}

} // namespace review
