// Client of the platform's key-value service. Failed calls are repeated after a jittered delay,
// within the operation's time and the data centre's call budget. Completions run on the HTTP
// client's thread or on a thread of the io_context and must not block.
//
// Writes: a lost answer is resolved by reading the key back. Kind Conflict: the write took no
// effect. Kind Unknown: it may have taken effect; read the key again and decide anew. Any other
// kind: it took no effect.
// Reads: an answer older than what this client had seen when it asked is refused and asked again.
// Lock order: m_mutex is the only lock and is never held while a completion runs.
#pragma once

#include "global/random.h"
#include "global/result.h"
#include "net/httpclient.h"
#include "store/callbudget.h"
#include "store/storeclientsettings.h"
#include "store/storeitem.h"
#include "store/storewrite.h"

#include <asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenlatch::store {

class StoreClient
{
public:
    using GetCompletion = std::function<void(Result<std::optional<StoreItem>>)>;
    using ListCompletion = std::function<void(Result<StoreListing>)>;
    using WriteCompletion = std::function<void(Result<StoreRevision>)>;
    using LeaseCompletion = std::function<void(Result<std::string>)>;
    using DoneCompletion = std::function<void(Result<void>)>;

    // Must outlive the HTTP client's calls: declare it before the HTTP client.
    StoreClient(asio::io_context &context, net::HttpClient &http, StoreClientSettings settings);

    void get(const std::string &key, GetCompletion completion);
    void list(const std::string &prefix, ListCompletion completion);
    void compareAndSwap(StoreWrite write, WriteCompletion completion);
    // Removes the key if it still has the expected revision.
    void remove(const std::string &key, StoreRevision expected, WriteCompletion completion);
    // Answers with the items under prefix changed after the revision, or with none after wait.
    // Makes one call; the caller asks again.
    void watch(const std::string &prefix, StoreRevision after, std::chrono::milliseconds wait,
               ListCompletion completion);

    // Answers with the lease's id. See HeldLease for how long it may be trusted.
    void grantLease(std::chrono::milliseconds timeToLive, LeaseCompletion completion);
    // Kind NotFound: the lease has lapsed and its keys are gone.
    void renewLease(const std::string &lease, DoneCompletion completion);
    // Ends the lease and removes its keys; one that has lapsed already is no failure.
    void endLease(const std::string &lease, DoneCompletion completion);

    // Entries of this data centre that share the call budget, this one included.
    void setSharers(unsigned count);
    // Time of the last answer from a store that was up; nothing before the first one.
    std::optional<TimePoint> lastContact() const;
    // Calls made since start, waiting watches included.
    std::uint64_t calls() const { return m_calls; }
    // Failed operations end at once from now on.
    void stop() { m_stopping = true; }

private:
    struct Reading;
    struct Writing;
    using CallCompletion = std::function<void(net::HttpCallResult)>;

    void send(net::HttpCall call, CallCompletion completion);
    void sendNow(net::HttpCall call, CallCompletion completion);
    void noteAnswer(const net::HttpCallResult &result);
    void noteRevision(StoreRevision revision);
    void after(Duration delay, std::function<void()> action);
    // Returns the delay before the next try, or nothing when the operation's time is used up.
    std::optional<Duration> nextDelay(unsigned failures, TimePoint deadline);
    TimePoint operationDeadline() const;

    void read(std::shared_ptr<Reading> reading);
    void write(std::shared_ptr<Writing> writing);
    void judgeWrite(const std::shared_ptr<Writing> &writing, const net::HttpCallResult &result);
    void readBack(std::shared_ptr<Writing> writing);
    void judgeReadBack(const std::shared_ptr<Writing> &writing,
                       const Result<std::optional<StoreItem>> &found);
    net::HttpCall makeCall(std::string method, const std::string &path) const;

    asio::io_context &m_context;
    net::HttpClient &m_http;
    const StoreClientSettings m_settings;
    std::atomic<bool> m_stopping = false;
    // Newest store revision seen.
    std::atomic<StoreRevision> m_newestRevision = 0;
    std::atomic<std::uint64_t> m_calls = 0;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    CallBudget m_budget;
    Random m_random;
    std::optional<TimePoint> m_lastContact;
};

} // namespace cyclamenlatch::store
