// ONE: a rolling restart, one entry each 1.1 s, during a wave of upkeep. The third owner orders a
// machine that the first one ordered less than lease_ms before.
#include "cases.h"

#include <csignal>

namespace review {

asio::awaitable<int> rollingRestart(World &world)
{
    constexpr std::int64_t leaseMs = 3000;
    constexpr Milliseconds gap{1100};
    world.addEntries({"z1", "z2", "z3"});
    for (int number = 1; number <= 14; ++number) {
        const bool isSpare = number > 8;
        world.addMinion({"i-" + std::to_string(number),
                         isSpare       ? "spare"
                         : number <= 6 ? "s1"
                                       : "s2",
                         "z" + std::to_string(number % 3 + 1),
                         "m-" + std::to_string(number),
                         {"a", "r-" + std::to_string(number)}},
                        isSpare);
    }
    struct Order
    {
        std::int64_t at = 0;
        int entry = 0;
        std::string machine;
    };
    std::vector<Order> orders;
    bool isBroken = false;
    world.onMachineOrder = [&](int entry, const std::string &machine, const std::string &) {
        for (const auto &order : orders) {
            if (order.machine == machine && order.entry != entry && world.now() - order.at < leaseMs
                && !isBroken) {
                isBroken = true;
                world.note("ONE broken: " + world.entry(entry).name() + " orders " + machine + " "
                           + std::to_string(world.now() - order.at) + " ms after "
                           + world.entry(order.entry).name() + " did; lease_ms is "
                           + std::to_string(leaseMs));
            }
        }
        orders.push_back({world.now(), entry, machine});
    };
    world.work = [](const auto &, const auto &, auto) { return Work{Milliseconds(1500)}; };
    auto config = makeConfig(1, {"s1", "s2", "spare"}, 0);
    config["services"][2]["standby"] = true;
    config["routes"].erase(2);
    world.putConfig(config);
    if (co_await startFleet(world) < 0) {
        co_return 2;
    }
    co_await world.sleep(Milliseconds(4000));
    const Json wave{
            {"wave", 1}, {"machines", {"m-1", "m-2", "m-3"}}, {"duration_s", 20}, {"cap", 1}};
    world.note("operator: wave " + wave.dump());
    world.store.put("op/wave/1", wave.dump());
    const auto before = orders.size();
    if (!co_await world.until([&] { return orders.size() > before; }, Milliseconds(5000))) {
        world.note("no order came");
        co_return 2;
    }
    // The rolling restart: first the machine that gave the last order, then the next owner.
    for (int round = 0; round < 2; ++round) {
        const int leader = ownerNumber(world);
        if (!isCalm() && leader >= 0) {
            world.entry(leader).signal(SIGTERM);
        }
        co_await world.sleep(Milliseconds(200));
        if (round == 0) {
            // More work comes for the other service, whose pool gets hosts from the spare one.
            const Json job{
                    {"spec", "work"},
                    {"phases",
                     {{{"count", 60}, {"cpu", 2000}, {"mem_mb", 100}, {"estimated_ms", 1500}}}}};
            co_await world.ask(world.entry((leader + 1) % 3), "POST", "/s2/0000000000000401",
                               job.dump());
        }
        co_await world.sleep(gap - Milliseconds(200));
    }
    for (int tenths = 0; tenths < 120; ++tenths) {
        co_await world.sleep(Milliseconds(100));
        for (const auto &entry : world.entries) {
            if (entry->hasEnded() && !isCalm()) {
                entry->start();
            }
        }
    }
    co_return isBroken ? 1 : 0;
}

} // namespace review
