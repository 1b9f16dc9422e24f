// Settings of the dispatcher and its scheduler.
#pragma once

#include "dispatch/retrybudget.h"
#include "global/time.h"
#include "routing/workerhealth.h"

#include <cstddef>

namespace cyclamenlatch::dispatch {

struct DispatchSettings
{
    RetrySettings retry;
    routing::HealthSettings health;
    // Maximum number of requests in the urgent or the normal queue of one pool. Early refusal by
    // deadline usually keeps the queues much shorter.
    std::size_t maxQueuedPerPool = 20000;
    // A request is refused unless it can start this many mean run times before its deadline.
    double runMargin = 2;
    // A call without an answer is probed after minProbeDelay, or after probeDelayFactor times the
    // longest recent run of its queue, whichever is longer.
    Duration minProbeDelay = std::chrono::seconds(2);
    double probeDelayFactor = 3;
    // Time for the answer to arrive after a probe reported that the request is not running.
    Duration answerGrace = std::chrono::milliseconds(500);
    // Time in which a minion must answer a probe.
    std::chrono::milliseconds probeTimeout{1000};
    // After an unknown outcome the workspace's unit is freed this long after the request's
    // deadline: minions end work at the deadline that is sent with it.
    Duration unknownGrace = std::chrono::seconds(5);
    // After an unknown outcome the slot counts as used for at most this long.
    Duration unknownSlotHold = std::chrono::seconds(2);
    // Maximum number of connections to one minion from all entries together.
    unsigned connectionsPerMinion = 64;
    // Number of these that are reserved for health checks by a wave's leader and its predecessor.
    unsigned healthConnections = 2;
    // Maximum number of entries that may be alive at once. The connections are divided by at least
    // this number rather than by the number of live entries, so that the bound also holds when
    // entries can't reach each other.
    unsigned mostEntries = 1;
    // The load of an idle workspace is removed after this time; peers remove it earlier.
    Duration idleLoadRetention = std::chrono::minutes(2);
    // Delay before a minion whose slots are all held by other entries is tried again.
    Duration slotRetry = std::chrono::milliseconds(20);
    // Number of distinct workers on which the same work must fail for the work to be at fault.
    unsigned workFaultWorkers = 3;
};

} // namespace cyclamenlatch::dispatch
