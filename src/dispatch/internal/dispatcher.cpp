// Sends requests to minions and frees their slots when they end.
#include "dispatch/dispatcher.h"

#include "dispatch/minionanswer.h"
#include "routing/minionchoice.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace cyclamenlatch::dispatch {

namespace {

DispatchAnswer refuse(ErrorKind kind, std::string message, std::string remedy)
{
    DispatchAnswer answer;
    answer.outcome = Outcome::NotRun;
    answer.error = Error{kind, std::move(message), std::move(remedy)};
    return answer;
}

net::HttpCall makeCall(const fleet::Worker &worker, DispatchRequest request, TimePoint now)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = fmt::format("http://{}/run", worker.minionAddress);
    call.headers.add(std::string(requestIdHeader), request.requestId);
    call.headers.add("Workspace", request.workspace.value());
    call.headers.add("Queue", request.queue.value());
    if (!request.contentType.empty()) {
        call.headers.add("Content-Type", request.contentType);
    }
    call.timeout = toMilliseconds(request.deadline - now);
    call.body = std::move(request.body);
    return call;
}

} // namespace

Dispatcher::Dispatcher(net::HttpClient &http, std::uint64_t seed)
    : m_http(http)
    , m_random(seed)
{}

void Dispatcher::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    const std::lock_guard lock(m_mutex);
    m_fleet = std::move(fleet);
}

void Dispatcher::submit(DispatchRequest request, Completion completion)
{
    std::shared_ptr<const fleet::FleetDocument> fleet;
    {
        const std::lock_guard lock(m_mutex);
        fleet = m_fleet;
    }
    const auto *queue = fleet ? fleet->findQueue(request.queue) : nullptr;
    if (queue == nullptr) {
        completion(refuse(ErrorKind::NotFound, "the queue does not exist",
                          "check the queue's name in the address"));
        return;
    }
    const auto now = steadyNow();
    if (request.deadline <= now) {
        completion(refuse(ErrorKind::Timeout, "the request's deadline has passed",
                          "allow more time in Request-Timeout-Ms"));
        return;
    }
    const auto *worker = reserveWorker(*fleet, *queue);
    if (worker == nullptr) {
        completion(refuse(ErrorKind::Overloaded, "no minion has a free slot",
                          "try again after the delay in Retry-After"));
        return;
    }
    const auto requestId = request.requestId;
    m_http.send(makeCall(*worker, std::move(request), now),
                [this, requestId, workerId = worker->id,
                 completion = std::move(completion)](net::HttpCallResult result) {
                    release(workerId);
                    completion(judgeMinionAnswer(std::move(result), requestId));
                });
}

const fleet::Worker *Dispatcher::reserveWorker(const fleet::FleetDocument &fleet,
                                               const fleet::Queue &queue)
{
    const auto *service = fleet.findService(queue.service);
    if (service == nullptr) {
        return nullptr;
    }
    const std::lock_guard lock(m_mutex);
    std::vector<routing::MinionLoad> loads;
    std::vector<const fleet::Worker *> workers;
    for (const auto &worker : fleet.workers) {
        if (worker.pool == service->pool && queue.selector.matches(worker.labels)) {
            loads.push_back({worker.id, worker.slots, m_outstanding[worker.id]});
            workers.push_back(&worker);
        }
    }
    const auto chosen = routing::chooseMinion(loads, m_random);
    if (!chosen) {
        return nullptr;
    }
    ++m_outstanding[workers[*chosen]->id];
    return workers[*chosen];
}

void Dispatcher::release(const WorkerId &worker)
{
    const std::lock_guard lock(m_mutex);
    --m_outstanding[worker];
}

} // namespace cyclamenlatch::dispatch
