// Carries requests to minions: chooses one with a free slot, sends, and judges the answer.
// Lock order: m_mutex is the only lock and is never held over a call to the outside.
#pragma once

#include "dispatch/dispatchanswer.h"
#include "dispatch/dispatchrequest.h"
#include "fleet/fleetdocument.h"
#include "global/random.h"
#include "net/httpclient.h"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace cyclamenlatch::dispatch {

class Dispatcher
{
public:
    using Completion = std::function<void(DispatchAnswer)>;

    Dispatcher(net::HttpClient &http, std::uint64_t seed);

    void setFleet(std::shared_ptr<const fleet::FleetDocument> fleet);
    // Thread-safe; the completion runs exactly once, on the HTTP client's thread or this one.
    void submit(DispatchRequest request, Completion completion);

private:
    const fleet::Worker *reserveWorker(const fleet::FleetDocument &fleet,
                                       const fleet::Queue &queue);
    void release(const WorkerId &worker);

    net::HttpClient &m_http;
    std::mutex m_mutex;
    // Guarded by m_mutex; the document itself never changes.
    std::shared_ptr<const fleet::FleetDocument> m_fleet;
    // Guarded by m_mutex. Invariant: equals the number of calls in flight for each worker.
    std::unordered_map<WorkerId, unsigned> m_outstanding;
    // Guarded by m_mutex.
    Random m_random;
};

} // namespace cyclamenlatch::dispatch
