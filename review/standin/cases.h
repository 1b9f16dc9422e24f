// The scripts of the cases. Each returns 0 if the rule held, 1 if it was broken, 2 if the case
// could not run.
#pragma once

#include "world.h"

namespace review {

asio::awaitable<int> longSchedule(World &world);
asio::awaitable<int> unadvisedTasks(World &world);
asio::awaitable<int> removedRoute(World &world);
asio::awaitable<int> rollingRestart(World &world);
asio::awaitable<int> upkeepAfterZoneCut(World &world);
asio::awaitable<int> quotaAfterZoneCut(World &world);
asio::awaitable<int> crashedBeforeUpkeep(World &world);
asio::awaitable<int> pendingCount(World &world);
asio::awaitable<int> otherKind(World &world);

// A small deployment: the configuration with one queue for each service, and one tenant.
Json makeConfig(int version, const std::vector<std::string> &services, std::int64_t capCpu);
// Starts the entries and waits for an owner that has adopted all minions; -1: none came.
asio::awaitable<int> startFleet(World &world, Milliseconds time = Milliseconds(10000));
// Number of the entry that the store names as the owner; -1: none.
int ownerNumber(World &world);

} // namespace review
