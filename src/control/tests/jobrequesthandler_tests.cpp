// Answers to callers while the store leaves calls unanswered and carries changes out late. Two
// entries serve one job; the order of calls and answers is drawn.
#include "control/jobrequesthandler.h"

#include "control/records.h"
#include "control/storekeys.h"
#include "platform/tests/hangingstore.h"
#include "platform/tests/memorystore.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenlatch::control {

namespace {

constexpr scheduling::JobNumber job = 0x5c0e7a21d94b36f8;
constexpr std::size_t entries = 2;
constexpr std::chrono::seconds tombstoneRetention{240};

class Fleet
{
public:
    Fleet()
    {
        scheduling::FleetRules rules;
        rules.version = 1;
        scheduling::QueueRule queue;
        queue.name = "q";
        queue.host = "h.example";
        queue.prefix = "/q/";
        queue.isPublic = true;
        rules.queues.push_back(queue);
        for (std::size_t index = 0; index < entries; ++index) {
            m_entries.push_back(std::make_unique<Entry>(store, m_context, m_metrics));
            m_entries.back()->handler.setRules(rules);
        }
    }

    // A request of a caller; 0 while it is not answered.
    struct Asked
    {
        std::string method;
        int status = 0;
        std::string retryAfter;
    };

    std::shared_ptr<Asked> ask(std::size_t entry, const std::string &method)
    {
        net::HttpRequest request;
        request.method = method;
        request.path = "/q/" + platform::formatJobId(job);
        request.headers.add("Host", "h.example");
        request.body = method == "POST" ? platform::tests::smallestJob : "";
        asked.push_back(std::make_shared<Asked>(Asked{method, 0, {}}));
        m_entries.at(entry)->handler.handle(
                std::move(request), [made = asked.back()](const net::HttpReply &reply) {
                    made->status = reply.status;
                    made->retryAfter = reply.headers.find("Retry-After").value_or("");
                });
        return asked.back();
    }
    // Leaves all calls of the request unanswered, also those that it sends again.
    std::shared_ptr<Asked> askUnanswered(std::size_t entry, const std::string &method)
    {
        auto made = ask(entry, method);
        while (store.openCalls() > 0) {
            store.isOpenChange(0) ? store.leaveUnanswered(0) : store.answer(0);
        }
        return made;
    }
    std::shared_ptr<Asked> askAnswered(std::size_t entry, const std::string &method)
    {
        auto made = ask(entry, method);
        store.answerAll();
        return made;
    }
    void carryOutAllLate()
    {
        while (store.lateChanges() > 0) {
            store.carryOutLate(0);
        }
    }
    // Whether the owner would run the job.
    bool isLive() const { return store.contains(jobKey(job)); }
    bool wasAnswered(const std::string &method, std::initializer_list<int> statuses) const
    {
        return std::any_of(asked.begin(), asked.end(), [&](const auto &made) {
            return made->method == method
                   && std::find(statuses.begin(), statuses.end(), made->status) != statuses.end();
        });
    }

    platform::tests::MemoryStore store;
    std::vector<std::shared_ptr<Asked>> asked;

private:
    struct Entry
    {
        Entry(platform::tests::MemoryStore &store, asio::io_context &context, Metrics &metrics)
            : client(
                    context,
                    [&store](auto call, auto completion) {
                        store.send(std::move(call), std::move(completion));
                    },
                    "store", metrics)
            , handler(client, metrics, tombstoneRetention)
        {}
        PlatformStoreClient client;
        JobRequestHandler handler;
    };

    asio::io_context m_context;
    Metrics m_metrics;
    std::vector<std::unique_ptr<Entry>> m_entries;
};

} // namespace

// Guards against a submission that is carried out after its caller was told that there is no such
// job: what made it fail was kept under a lease, and leases may expire while the store is down.
TEST(JobRequestHandler, lateSubmissionOfACancelledJobDoesNothingAfterAllLeasesHaveEnded)
{
    Fleet fleet;
    EXPECT_EQ(fleet.askUnanswered(0, "POST")->status, 504);
    EXPECT_EQ(fleet.askAnswered(1, "DELETE")->status, 410);
    fleet.store.endLeases();
    fleet.carryOutAllLate();
    EXPECT_FALSE(fleet.isLive());
    EXPECT_FALSE(fleet.store.contains(stateKey(job)));
    EXPECT_EQ(fleet.askAnswered(0, "GET")->status, 410);
    const auto again = fleet.askAnswered(0, "POST");
    EXPECT_EQ(again->status, 503);
    EXPECT_EQ(again->retryAfter, std::to_string(tombstoneRetention.count()));
}

// Guards against a flood of cancels of unknown ids that fills the states, all of which a new owner
// reads before it starts work.
TEST(JobRequestHandler, cancelOfAnUnknownJobWritesOneRecordApartFromTheStates)
{
    Fleet fleet;
    for (int time = 0; time < 3; ++time) {
        EXPECT_EQ(fleet.askAnswered(0, "DELETE")->status, 410);
    }
    EXPECT_EQ(fleet.store.countKeys(std::string(statePrefix)), 0U);
    EXPECT_EQ(fleet.store.countKeys(""), 1U);
    EXPECT_TRUE(fleet.store.contains(tombstoneKey(job)));
}

// Guards against a cancel that is refused as not done, 503, and carried out later: the caller takes
// the job for one that goes on.
TEST(JobRequestHandler, cancelWithoutAnAnswerIsNotCalledRefused)
{
    for (const bool isStored : {true, false}) {
        Fleet fleet;
        if (isStored) {
            EXPECT_EQ(fleet.askAnswered(0, "POST")->status, 200);
        }
        EXPECT_EQ(fleet.askUnanswered(0, "DELETE")->status, 504);
        fleet.carryOutAllLate();
        EXPECT_FALSE(fleet.isLive());
        EXPECT_EQ(fleet.store.contains(tombstoneKey(job)), !isStored);
    }
}

// Guards against untrue final answers in drawn orders of submissions, cancels, answers, late
// changes and ends of leases.
RC_GTEST_PROP(JobRequestHandler, finalAnswersStayTrueWhateverIsCarriedOutLate, ())
{
    Fleet fleet;
    auto &store = fleet.store;
    bool wasLive = false;
    const auto check = [&] {
        wasLive = wasLive || fleet.isLive();
        RC_ASSERT(!fleet.wasAnswered("DELETE", {200, 410}) || !fleet.isLive());
        RC_ASSERT(!fleet.wasAnswered("POST", {200}) || wasLive);
    };
    const auto steps = *rc::gen::inRange(5, 40);
    for (int step = 0; step < steps; ++step) {
        const auto open =
                store.openCalls() == 0 ? 0 : *rc::gen::inRange<std::size_t>(0, store.openCalls());
        switch (*rc::gen::weightedElement<int>(
                {{3, 0}, {2, 1}, {6, 2}, {5, 3}, {1, 4}, {3, 5}, {1, 6}})) {
        case 0:
            fleet.ask(*rc::gen::inRange<std::size_t>(0, entries), "POST");
            break;
        case 1:
            fleet.ask(*rc::gen::inRange<std::size_t>(0, entries), "DELETE");
            break;
        case 2:
            store.openCalls() > 0 ? store.answer(open) : void();
            break;
        case 3:
            store.openCalls() > 0 ? store.leaveUnanswered(open) : void();
            break;
        case 4:
            store.openCalls() > 0 ? store.refuse(open) : void();
            break;
        case 5:
            if (store.lateChanges() > 0) {
                store.carryOutLate(*rc::gen::inRange<std::size_t>(0, store.lateChanges()));
            }
            break;
        default:
            store.endLeases();
        }
        check();
    }
    while (store.openCalls() > 0) {
        store.answer(0);
        check();
    }
    while (store.lateChanges() > 0) {
        store.carryOutLate(*rc::gen::inRange<std::size_t>(0, store.lateChanges()));
        check();
    }
    // A refusal says that nothing was done and nothing will be.
    RC_ASSERT(!wasLive || fleet.wasAnswered("POST", {200, 504}));
    const bool isCancelled = store.contains(tombstoneKey(job)) || (wasLive && !fleet.isLive());
    RC_ASSERT(!isCancelled || fleet.wasAnswered("DELETE", {200, 410, 504}));
}

} // namespace cyclamenlatch::control
