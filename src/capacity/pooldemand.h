// What is known of one pool when moves are decided.
#pragma once

#include "global/ids.h"

#include <unordered_set>
#include <vector>

namespace cyclamenlatch::capacity {

struct PoolDemand
{
    PoolId pool;
    // Workers that could be moved away, the longest in the pool first.
    std::vector<WorkerId> workers;
    // Workers lent to this pool by the spare pool, the longest lent first.
    std::vector<WorkerId> lent;
    // Seconds since the newest of them was lent.
    double sinceLent = 0;
    unsigned slotsPerWorker = 8;
    // Seconds that a request runs, as learned.
    double runTime = 0.1;
    // Requests per second, over the last seconds and over minutes.
    double arrivalRate = 0;
    double longArrivalRate = 0;
    // Requests that wait.
    double queued = 0;
    // Seconds that the present overload is expected to go on.
    double overloadRemaining = 0;
    // Spare workers that would match none of the pool's queues.
    std::unordered_set<WorkerId> unsuited;
    // Weight of the pool's users against others'.
    double weight = 1;
};

} // namespace cyclamenlatch::capacity
