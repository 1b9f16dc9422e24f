// QUOTA: a zone with the owner is cut off while a tenant cancels the job that runs there and hands
// in another one.
#include "cases.h"

namespace review {

namespace {

constexpr std::int64_t capCpu = 10000;
constexpr std::int64_t taskCpu = 1000;
constexpr std::int64_t allowedCpu = capCpu + capCpu / 10 + taskCpu;

std::int64_t runningCpu(const World &world)
{
    std::int64_t cpu = 0;
    for (const auto &minion : world.minions) {
        cpu += taskCpu * static_cast<std::int64_t>(minion->runs());
    }
    return cpu;
}

std::string job(const std::string &affinity)
{
    Json step{{"count", 10}, {"cpu", taskCpu}, {"mem_mb", 100}, {"estimated_ms", 20000}};
    if (!affinity.empty()) {
        step["affinity"] = affinity;
    }
    return Json{{"spec", "work"}, {"phases", {step}}}.dump();
}

} // namespace

asio::awaitable<int> quotaAfterZoneCut(World &world)
{
    const std::vector<std::string> zones{"z1", "z2", "z3"};
    world.work = [](const auto &, const auto &, auto) { return Work{Milliseconds(20000)}; };
    world.addEntries(zones);
    int number = 0;
    for (const auto &zone : zones) {
        for (int index = 0; index < 2; ++index) {
            ++number;
            world.addMinion({"i-" + std::to_string(number),
                             "s1",
                             zone,
                             "m-" + std::to_string(number),
                             {"a", "rack-" + zone}});
        }
    }
    world.putConfig(makeConfig(1, {"s1"}, capCpu));
    bool isBroken = false;
    world.onStart = [&](const Start &) {
        const auto cpu = runningCpu(world);
        if (cpu > allowedCpu && !isBroken) {
            isBroken = true;
            world.note("QUOTA broken: this start brings tenant-a to " + std::to_string(cpu)
                       + " thousandths of a core; allowed are " + std::to_string(allowedCpu));
        }
    };
    const int owner = co_await startFleet(world);
    if (owner < 0) {
        co_return 2;
    }
    const auto zone = world.entry(owner).zone();
    auto &other = world.entry((owner + 1) % 3);
    const std::string first = "/s1/00000000000000a1";
    const std::string second = "/s1/00000000000000a2";
    const auto accepted = co_await world.ask(other, "POST", first, job("rack-" + zone));
    const bool isRunning =
            co_await world.until([&] { return runningCpu(world) == capCpu; }, Milliseconds(5000));
    if (!accepted.answer || !isRunning) {
        world.note("the first job does not run");
        co_return 2;
    }
    co_await world.sleep(Milliseconds(1000));
    if (!isCalm()) {
        world.cutZone(zone, true);
    }
    co_await world.sleep(Milliseconds(200));
    const auto cancelled = co_await world.ask(other, "DELETE", first);
    if (!cancelled.answer || cancelled.answer->status != 200) {
        world.note("the first job could not be cancelled");
        co_return 2;
    }
    const auto again = co_await world.ask(other, "POST", second, job(""));
    if (!again.answer || again.answer->status != 200) {
        world.note("the second job was not accepted");
        co_return 2;
    }
    co_await world.sleep(Milliseconds(5600));
    if (!isCalm()) {
        world.cutZone(zone, false);
    }
    co_await world.sleep(Milliseconds(6000));
    world.note("at the end " + std::to_string(runningCpu(world)) + " thousandths of a core run");
    co_return isBroken ? 1 : 0;
}

} // namespace review
