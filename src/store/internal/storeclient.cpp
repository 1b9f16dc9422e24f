// Speaks the store's HTTP protocol (docs/platform-protocol.md).
#include "store/storeclient.h"

#include "store/attempt.h"
#include "store/retrydelay.h"
#include "store/storeanswer.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <random>
#include <utility>

namespace cyclamenlatch::store {

namespace {

bool isWorthRetrying(const Error &error)
{
    return error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::Overloaded
           || error.kind == ErrorKind::Internal;
}

boost::outcome_v2::failure_type<Error> olderAnswer()
{
    return failure(ErrorKind::Unavailable, "the store answered with an older revision",
                   "wait until the store is whole again; nothing was reverted");
}

boost::outcome_v2::failure_type<Error> unresolvedWrite(const std::string &key)
{
    return failure(ErrorKind::Unknown,
                   fmt::format("the write of \"{}\" may have taken effect", key),
                   "read the key again and decide on its present value");
}

} // namespace

// A read, or a lease's call that may be repeated like one, with its retries. take judges the
// answer; it completes the operation or returns the error to retry on.
struct StoreClient::Reading
{
    template<typename Value>
    Reading(net::HttpCall readCall, TimePoint readDeadline,
            Result<Value> (*judge)(const net::HttpCallResult &),
            const std::function<void(Result<Value>)> &completion)
        : call(std::move(readCall))
        , deadline(readDeadline)
        , take([judge, completion](const net::HttpCallResult &result) -> std::optional<Error> {
            auto value = judge(result);
            if (!value) {
                return value.error();
            }
            completion(std::move(value));
            return std::nullopt;
        })
        , giveUp([completion](const Error &error) {
            completion(failure(error.kind, error.message, error.remedy));
        })
    {}

    net::HttpCall call;
    TimePoint deadline;
    // Answers older than this are refused.
    StoreRevision oldest = 0;
    unsigned failures = 0;
    std::function<std::optional<Error>(const net::HttpCallResult &)> take;
    std::function<void(Error)> giveUp;
};

// One write with its retries; the attempt's id is the same in all of them.
struct StoreClient::Writing
{
    StoreWrite write;
    std::string attempt;
    bool isRemoval = false;
    TimePoint deadline;
    unsigned failures = 0;
    // Whether one of the calls made so far may have taken effect.
    bool mayHaveHappened = false;
    WriteCompletion completion;
};

StoreClient::StoreClient(asio::io_context &context, net::HttpClient &http,
                         StoreClientSettings settings)
    : m_context(context)
    , m_http(http)
    , m_settings(std::move(settings))
    , m_budget(m_settings.budget)
    , m_random(std::random_device{}())
{}

net::HttpCall StoreClient::makeCall(std::string method, const std::string &path) const
{
    net::HttpCall call;
    call.method = std::move(method);
    call.url = m_settings.url + path;
    call.timeout = m_settings.callTimeout;
    return call;
}

TimePoint StoreClient::operationDeadline() const
{
    return steadyNow() + m_settings.operationTimeout;
}

void StoreClient::setSharers(unsigned count)
{
    const std::lock_guard lock(m_mutex);
    m_budget.setSharers(count, steadyNow());
}

std::optional<TimePoint> StoreClient::lastContact() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastContact;
}

void StoreClient::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

std::optional<Duration> StoreClient::nextDelay(unsigned failures, TimePoint deadline)
{
    if (m_stopping) {
        return std::nullopt;
    }
    Duration delay{};
    {
        const std::lock_guard lock(m_mutex);
        delay = retryDelay(failures, m_random);
    }
    if (steadyNow() + delay >= deadline) {
        return std::nullopt;
    }
    return delay;
}

void StoreClient::send(net::HttpCall call, CallCompletion completion)
{
    Duration wait{};
    {
        const std::lock_guard lock(m_mutex);
        wait = m_budget.take(steadyNow());
    }
    if (wait == Duration::zero()) {
        return sendNow(std::move(call), std::move(completion));
    }
    after(wait, [this, call = std::move(call), completion = std::move(completion)] {
        sendNow(call, completion);
    });
}

void StoreClient::sendNow(net::HttpCall call, CallCompletion completion)
{
    ++m_calls;
    m_http.send(std::move(call),
                [this, completion = std::move(completion)](const net::HttpCallResult &result) {
                    noteAnswer(result);
                    completion(result);
                });
}

void StoreClient::noteAnswer(const net::HttpCallResult &result)
{
    if (!result.reply || result.reply->status >= 429) {
        return;
    }
    noteRevision(revisionOf(result).value_or(0));
    const std::lock_guard lock(m_mutex);
    m_lastContact = steadyNow();
}

void StoreClient::noteRevision(StoreRevision revision)
{
    auto newest = m_newestRevision.load();
    while (newest < revision && !m_newestRevision.compare_exchange_weak(newest, revision)) {
    }
}

void StoreClient::read(std::shared_ptr<Reading> reading)
{
    reading->oldest = m_newestRevision;
    auto call = reading->call;
    send(std::move(call), [this, reading](const net::HttpCallResult &result) {
        const auto revision = revisionOf(result);
        std::optional<Error> error;
        if (revision && *revision < reading->oldest) {
            error = Result<void>(olderAnswer()).error();
        } else {
            error = reading->take(result);
        }
        if (!error) {
            return;
        }
        const auto delay = nextDelay(reading->failures++, reading->deadline);
        if (!delay || !isWorthRetrying(*error)) {
            return reading->giveUp(*error);
        }
        after(*delay, [this, reading] { read(reading); });
    });
}

void StoreClient::get(const std::string &key, GetCompletion completion)
{
    read(std::make_shared<Reading>(makeCall("GET", fmt::format("/v1/kv/{}", key)),
                                   operationDeadline(), judgeItem, std::move(completion)));
}

void StoreClient::list(const std::string &prefix, ListCompletion completion)
{
    read(std::make_shared<Reading>(makeCall("GET", fmt::format("/v1/kv?prefix={}", prefix)),
                                   operationDeadline(), judgeListing, std::move(completion)));
}

void StoreClient::watch(const std::string &prefix, StoreRevision after,
                        std::chrono::milliseconds wait, ListCompletion completion)
{
    auto call = makeCall("GET", fmt::format("/v1/watch?prefix={}&after={}&waitMs={}", prefix, after,
                                            wait.count()));
    call.timeout += wait;
    send(std::move(call),
         [after, completion = std::move(completion)](const net::HttpCallResult &result) {
             auto listing = judgeListing(result);
             if (listing && listing.value().revision < after) {
                 return completion(olderAnswer());
             }
             completion(std::move(listing));
         });
}

void StoreClient::compareAndSwap(StoreWrite write, WriteCompletion completion)
{
    auto writing = std::make_shared<Writing>();
    writing->write = std::move(write);
    writing->attempt = makeAttemptId();
    writing->deadline = operationDeadline();
    writing->completion = std::move(completion);
    this->write(std::move(writing));
}

void StoreClient::remove(const std::string &key, StoreRevision expected, WriteCompletion completion)
{
    auto writing = std::make_shared<Writing>();
    writing->write.key = key;
    writing->write.expected = expected;
    writing->isRemoval = true;
    writing->deadline = operationDeadline();
    writing->completion = std::move(completion);
    write(std::move(writing));
}

void StoreClient::write(std::shared_ptr<Writing> writing)
{
    const auto &write = writing->write;
    auto call = makeCall(
            writing->isRemoval ? "DELETE" : "PUT",
            fmt::format("/v1/kv/{}?expected={}&lease={}", write.key, write.expected, write.lease));
    if (!writing->isRemoval) {
        call.body = joinAttempt({writing->attempt, write.value});
    }
    send(std::move(call),
         [this, writing](const net::HttpCallResult &result) { judgeWrite(writing, result); });
}

void StoreClient::judgeWrite(const std::shared_ptr<Writing> &writing,
                             const net::HttpCallResult &result)
{
    auto revision = judgeRevision(result);
    if (revision) {
        noteRevision(revision.value());
        return writing->completion(std::move(revision));
    }
    const auto kind = revision.error().kind;
    if (kind == ErrorKind::Conflict && !writing->mayHaveHappened) {
        return writing->completion(std::move(revision));
    }
    writing->mayHaveHappened = writing->mayHaveHappened || kind == ErrorKind::Unknown;
    const auto delay = nextDelay(writing->failures++, writing->deadline);
    if (!delay) {
        return writing->mayHaveHappened ? writing->completion(unresolvedWrite(writing->write.key))
                                        : writing->completion(std::move(revision));
    }
    after(*delay,
          [this, writing] { writing->mayHaveHappened ? readBack(writing) : write(writing); });
}

void StoreClient::readBack(std::shared_ptr<Writing> writing)
{
    const auto oldest = m_newestRevision.load();
    send(makeCall("GET", fmt::format("/v1/kv/{}", writing->write.key)),
         [this, writing, oldest](const net::HttpCallResult &result) {
             if (revisionOf(result).value_or(oldest) < oldest) {
                 return judgeReadBack(writing, olderAnswer());
             }
             judgeReadBack(writing, judgeItem(result));
         });
}

void StoreClient::judgeReadBack(const std::shared_ptr<Writing> &writing,
                                const Result<std::optional<StoreItem>> &found)
{
    if (!found) {
        const auto delay = nextDelay(writing->failures++, writing->deadline);
        if (!delay) {
            return writing->completion(unresolvedWrite(writing->write.key));
        }
        return after(*delay, [this, writing] { readBack(writing); });
    }
    const auto &item = found.value();
    if (writing->isRemoval && !item) {
        return writing->completion(m_newestRevision.load());
    }
    if (!writing->isRemoval && item && item->attempt == writing->attempt) {
        noteRevision(item->revision);
        return writing->completion(item->revision);
    }
    const auto revision = item ? item->revision : 0;
    if (revision != writing->write.expected) {
        return writing->completion(unresolvedWrite(writing->write.key));
    }
    // Unchanged: the same attempt may be sent again, since only one of the two can win.
    const auto delay = nextDelay(writing->failures++, writing->deadline);
    if (!delay) {
        return writing->completion(unresolvedWrite(writing->write.key));
    }
    after(*delay, [this, writing] { write(writing); });
}

void StoreClient::grantLease(std::chrono::milliseconds timeToLive, LeaseCompletion completion)
{
    // A grant whose answer is lost lapses unused, so it may be repeated.
    read(std::make_shared<Reading>(
            makeCall("POST", fmt::format("/v1/leases?ttlMs={}", timeToLive.count())),
            operationDeadline(), judgeGrant, std::move(completion)));
}

void StoreClient::renewLease(const std::string &lease, DoneCompletion completion)
{
    read(std::make_shared<Reading>(makeCall("POST", fmt::format("/v1/leases/{}/renew", lease)),
                                   operationDeadline(), judgeRenewal, std::move(completion)));
}

void StoreClient::endLease(const std::string &lease, DoneCompletion completion)
{
    read(std::make_shared<Reading>(makeCall("DELETE", fmt::format("/v1/leases/{}", lease)),
                                   operationDeadline(), judgeLeaseEnd, std::move(completion)));
}

} // namespace cyclamenlatch::store
