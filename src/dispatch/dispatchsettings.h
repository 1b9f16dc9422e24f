// The numbers that the dispatcher's decisions rest on.
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
    // Requests that one pool's queue holds at most; deadlines bound it long before.
    std::size_t maxQueuedPerPool = 20000;
    // A request must start this many mean runs before its deadline, or it is refused.
    double runMargin = 2;
    // A connection without progress is probed after this, or after probeDelayFactor times the
    // longest recent run of the queue, whichever is longer.
    Duration minProbeDelay = std::chrono::seconds(2);
    double probeDelayFactor = 3;
    // Time for an answer to arrive when a probe tells that the minion has ended the work.
    Duration answerGrace = std::chrono::milliseconds(500);
    // Time that a minion has to answer a probe.
    std::chrono::milliseconds probeTimeout{1000};
    // After an unknown outcome the workspace's unit is freed when the request's deadline and this
    // grace have passed: minions end work at the deadline that is sent with it.
    Duration unknownGrace = std::chrono::seconds(5);
    // After an unknown outcome the slot counts as used for this long.
    Duration unknownSlotHold = std::chrono::seconds(2);
    // Connections to one minion over all entries.
    unsigned connectionsPerMinion = 64;
    // Of these, kept for the health checks of a wave's leader and its forerunner.
    unsigned healthConnections = 2;
    // Entries that may live at once. The connections are divided by this number and not by that
    // of the live ones, since entries that can't hear each other must keep the bound too.
    unsigned mostEntries = 1;
    // What an idle workspace has used is forgotten after this; peers forget it earlier.
    Duration idleLoadRetention = std::chrono::minutes(2);
    // Wait before a minion whose slots are held by other entries is tried again.
    Duration slotRetry = std::chrono::milliseconds(20);
    // Distinct workers on which the same work must fail to count as the work's fault.
    unsigned workFaultWorkers = 3;
};

} // namespace cyclamenlatch::dispatch
