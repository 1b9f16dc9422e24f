// What the cases share.
#include "cases.h"

#include <algorithm>

namespace review {

Json makeConfig(int version, const std::vector<std::string> &services, std::int64_t capCpu)
{
    Json routes = Json::array();
    Json rules = Json::array();
    for (const auto &service : services) {
        routes.push_back({{"name", "r-" + service},
                          {"host", "jobs.example"},
                          {"prefix", "/" + service + "/"},
                          {"kind", "non_idempotent"},
                          {"timeout_ms", 3000},
                          {"target_latency_ms", 600},
                          {"priority", 0},
                          {"service", service},
                          {"max_attempts", 3},
                          {"slack_factor", 1.6},
                          {"public", false}});
        rules.push_back({{"name", service},
                         {"health_path", "/healthz"},
                         {"max_connections", 64},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"admission_check", false},
                         {"standby", false}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", rules},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants",
             {{{"name", "tenant-a"},
               {"api_keys", {"key-a"}},
               {"priority", 1},
               {"weight", 50},
               {"cap", {{"cpu", capCpu}, {"mem_mb", 0}, {"gpu", 0}}}}}}};
}

int ownerNumber(World &world)
{
    const auto owner = world.store.value("owner");
    for (const auto &entry : world.entries) {
        if (owner && owner->starts_with(entry->name() + "#")) {
            return entry->number();
        }
    }
    return -1;
}

asio::awaitable<int> startFleet(World &world, Milliseconds time)
{
    for (const auto &entry : world.entries) {
        entry->start();
    }
    const auto isUp = [&] {
        if (ownerNumber(world) < 0) {
            return false;
        }
        return std::all_of(world.minions.begin(), world.minions.end(), [](const auto &minion) {
            return !minion->isUp() || minion->lastCallMs > 0;
        });
    };
    if (!co_await world.until(isUp, time)) {
        world.note("no owner has called all minions");
        co_return -1;
    }
    // The owner records the minions before it uses them.
    co_await world.sleep(Milliseconds(1000));
    co_return ownerNumber(world);
}

} // namespace review
