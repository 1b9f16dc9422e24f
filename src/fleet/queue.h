// A queue: where callers hand in requests for one service.
#pragma once

#include "fleet/selector.h"
#include "global/ids.h"

#include <chrono>

namespace cyclamenlatch::fleet {

struct Queue
{
    QueueId id;
    ServiceId service;
    // Which of the service's workers may run the queue's requests.
    Selector selector;
    // Open queues take requests without a key.
    bool open = false;
    // Urgent requests start before others.
    bool urgent = false;
    // Whether a request may run again after an unknown outcome.
    bool idempotent = false;
    std::chrono::milliseconds timeout{30000};

    bool operator==(const Queue &) const = default;
};

} // namespace cyclamenlatch::fleet
