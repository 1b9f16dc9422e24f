// The demand on one pool over all entries.
#pragma once

namespace cyclamenlatch::capacity {

struct PoolLoad
{
    // Requests per second, over the last seconds and over minutes.
    double arrivalRate = 0;
    double longArrivalRate = 0;
    // Requests that wait.
    double queued = 0;
    // Seconds that a request runs; 0 when not known.
    double runTime = 0;
};

} // namespace cyclamenlatch::capacity
