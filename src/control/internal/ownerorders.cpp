// Orders to targets and calls to the advice service.
#include "control/ownerservice.h"

#include "control/clock.h"
#include "control/controlevents.h"

#include <utility>

namespace cyclamenlatch::control {

namespace {

// Targets normally answer within some milliseconds.
constexpr std::chrono::milliseconds orderTimeout{800};
// The advice service answers the calls of an entry one after the other.
constexpr int adviceTimeoutFactor = 5;

} // namespace

void OwnerService::checkClock(const std::string &id, const net::HttpCallResult &result,
                              TimePoint sentAt)
{
    const auto now = bootNow();
    const auto clock = platform::decodeOrderClock(result);
    if (!clock || !m_core.isOtherClock(id, *clock, sentAt, now)) {
        return;
    }
    logEvent(orderAnsweredByOther, "target={} clock={} expected={}", id, clock->count(),
             m_core.clockOf(id, now).value_or(std::chrono::milliseconds{}).count());
    m_core.answeredOnOtherClock(id, now);
}

template<typename Kind>
void OwnerService::sendOrder(net::HttpCall call, const Kind &order, ReplyHandler<Kind> handler)
{
    call.timeout = orderTimeout;
    call.connectTimeout = connectTimeout;
    call.isPermitted = m_ownership.makeOwnershipCheck(m_alive);
    if (call.peerCheck) {
        call.peerCheck->timeout = m_core.responseTimeout(order.targetId);
    }
    m_http.send(std::move(call), [this, order, handler, sentAt = bootNow(),
                                  alive = std::weak_ptr(m_alive)](const auto &result) {
        if (alive.expired()) {
            return;
        }
        const WorkMeter::Span span(m_work, WorkKind::Orders);
        const auto answer = platform::decodeOrderReply(result);
        // An outdated token: the call was for an earlier incarnation of the target.
        const bool isCurrent = order.token == m_core.fencingToken(order.targetId);
        if (isCurrent) {
            checkClock(order.targetId, result, sentAt);
        }
        if (answer == scheduling::OrderResult::TargetRestarted) {
            logEvent(orderNotDelivered, "target={} incarnation={}", order.targetId,
                     order.incarnation);
        }
        (m_core.*handler)(order, answer, bootNow());
        if (answer == scheduling::OrderResult::Fenced && isCurrent) {
            return m_ownership.resign("a target has seen an owner with a higher term");
        }
        if (answer != scheduling::OrderResult::Accepted) {
            schedulePlan();
        }
    });
}

void OwnerService::send(const scheduling::Order &order)
{
    struct Sender
    {
        OwnerService &service;

        void operator()(const scheduling::StartOrder &start) const
        {
            const auto *target = service.m_core.target(start.targetId);
            const auto *job = service.m_core.submission(start.task.job);
            if (target != nullptr && job != nullptr) {
                service.sendOrder(platform::startCall(*target, start, job->spec.text), start,
                                  &scheduling::OwnerCore::startAnswered);
            }
        }
        void operator()(const scheduling::StopOrder &stop) const
        {
            if (const auto *target = service.m_core.target(stop.targetId)) {
                service.sendOrder(platform::stopCall(*target, stop), stop,
                                  &scheduling::OwnerCore::stopAnswered);
            }
        }
        void operator()(const scheduling::PaceOrder &pace) const
        {
            if (const auto *target = service.m_core.target(pace.targetId)) {
                service.sendOrder(platform::paceCall(*target, pace), pace,
                                  &scheduling::OwnerCore::paceAnswered);
            }
        }
        void operator()(const scheduling::AdviseOrder &advise) const { service.advise(advise); }
    };
    std::visit(Sender{*this}, order);
}

void OwnerService::advise(const scheduling::AdviseOrder &order)
{
    auto call = platform::adviceCall(m_settings.adviceAddress, order);
    call.timeout = order.timeout * adviceTimeoutFactor + orderTimeout;
    call.connectTimeout = connectTimeout;
    m_http.send(std::move(call), [this, order, alive = std::weak_ptr(m_alive)](const auto &result) {
        if (alive.expired()) {
            return;
        }
        const auto answer = platform::decodeAdviceReply(result);
        m_core.adviceAnswered(order, answer ? std::optional(answer->approved) : std::nullopt,
                              answer ? answer->validity : std::chrono::milliseconds{}, bootNow());
        schedulePlan();
    });
}

} // namespace cyclamenlatch::control
