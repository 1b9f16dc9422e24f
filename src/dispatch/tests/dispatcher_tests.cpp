// Outcomes over real connections to minions that refuse or reset connections, truncate or mix up
// answers, answer late or fall silent: each outcome is correct, and non-idempotent work starts at
// most once.
#include "dispatch/dispatcher.h"
#include "dispatch/tests/rawminion.h"
#include "net/workerthreads.h"

#include <gtest/gtest.h>

#include <condition_variable>

namespace cyclamenlatch::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::answer;
using testing::fieldOf;
using testing::RawMinion;
using testing::readRequest;
using testing::send;
using testing::serveCorrectly;
using testing::Socket;

class DispatcherTest : public ::testing::Test
{
protected:
    // Stops the threads first: no timer may fire after the dispatcher is destroyed.
    ~DispatcherTest() override { m_threads.stop(); }

    void useMinions(const std::vector<std::string> &addresses, bool idempotent)
    {
        fleet::FleetDocument fleet;
        fleet.services.push_back({ServiceId("swaps"), PoolId("swaps"), 1});
        fleet::Queue queue;
        queue.id = QueueId("swaps");
        queue.service = ServiceId("swaps");
        queue.idempotent = idempotent;
        fleet.queues.push_back(queue);
        for (const auto &address : addresses) {
            fleet::Worker worker;
            worker.id = WorkerId("w-" + std::to_string(fleet.workers.size()));
            worker.pool = PoolId("swaps");
            worker.minionAddress = address;
            fleet.workers.push_back(worker);
        }
        m_dispatcher.setFleet(std::make_shared<const fleet::FleetDocument>(fleet));
    }

    DispatchAnswer run(Duration timeout = seconds(20))
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<DispatchAnswer> received;
        DispatchRequest request;
        request.requestId = "same-for-all";
        request.queue = QueueId("swaps");
        request.workspace = WorkspaceId("drivers");
        request.body = "swap 4 for 7";
        request.deadline = steadyNow() + timeout;
        m_dispatcher.submit(std::move(request), [&](DispatchAnswer answer) {
            const std::lock_guard lock(mutex);
            received = std::move(answer);
            changed.notify_one();
        });
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return received.has_value(); });
        return *received;
    }

    static DispatchSettings settings()
    {
        DispatchSettings settings;
        settings.minProbeDelay = milliseconds(300);
        return settings;
    }

    net::WorkerThreads m_threads{1};
    Dispatcher m_dispatcher{m_threads.context(), m_http, settings(), {}, 7};
    // Declared last, so that its completions end before the dispatcher is destroyed.
    net::HttpClient m_http;
    // Returns an address on which nothing listens. Its port stays bound, so that no other process
    // listens there and no connection gets it as its own.
    std::string refusedAddress()
    {
        auto &reserved = m_reserved.emplace_back(m_threads.context(), asio::ip::tcp::v4());
        reserved.bind({asio::ip::address_v4::loopback(), 0});
        return "127.0.0.1:" + std::to_string(reserved.local_endpoint().port());
    }

private:
    std::vector<asio::ip::tcp::socket> m_reserved;
};

TEST_F(DispatcherTest, relaysCompleteAnswer)
{
    RawMinion minion(
            [](Socket &socket, int, RawMinion &self) { serveCorrectly(socket, self, "done"); });
    useMinions({minion.address()}, false);
    const auto received = run();
    EXPECT_EQ(received.outcome, Outcome::Completed);
    EXPECT_EQ(received.body, "done");
    EXPECT_EQ(m_dispatcher.inFlight(WorkerId("w-0")), 0U);
    EXPECT_EQ(m_dispatcher.connectionsOpen(WorkerId("w-0")), 1U);
    m_dispatcher.closeIdleConnections(WorkerId("w-0"));
    while (m_dispatcher.connectionsOpen(WorkerId("w-0")) > 0) {
        std::this_thread::yield();
    }
    EXPECT_EQ(run().outcome, Outcome::Completed) << "on a new connection";
}

TEST_F(DispatcherTest, refusedConnectionIsNotRun)
{
    useMinions({refusedAddress()}, false);
    const auto received = run(seconds(2));
    EXPECT_EQ(received.outcome, Outcome::NotRun);
    EXPECT_GT(received.retryAfter.count(), 0);
}

TEST_F(DispatcherTest, refusedConnectionIsRetriedOnAnotherMinion)
{
    RawMinion minion(
            [](Socket &socket, int, RawMinion &self) { serveCorrectly(socket, self, "done"); });
    useMinions({refusedAddress(), minion.address()}, false);
    for (int round = 0; round < 8; ++round) {
        EXPECT_EQ(run().outcome, Outcome::Completed);
    }
    EXPECT_EQ(minion.runs(), 8);
}

TEST_F(DispatcherTest, resetBeforeFirstByteIsUnknownAndNotRepeated)
{
    RawMinion minion([](Socket &socket, int, RawMinion &self) {
        readRequest(socket);
        self.noteRun();
        self.reset(socket);
    });
    useMinions({minion.address()}, false);
    EXPECT_EQ(run().outcome, Outcome::Unknown);
    EXPECT_EQ(minion.runs(), 1);
}

TEST_F(DispatcherTest, resetOfReusedConnectionIsUnknownAndNotRepeated)
{
    RawMinion minion([](Socket &socket, int, RawMinion &self) {
        const auto first = readRequest(socket);
        if (first.empty()) {
            // libcurl opens a new connection to resend the request, and is stopped before it sends
            // the first byte.
            return;
        }
        self.noteRun();
        send(socket, answer(fieldOf(first, "Request-Id"), "done"));
        if (!readRequest(socket).empty()) {
            self.noteRun();
        }
        self.reset(socket);
    });
    useMinions({minion.address()}, false);
    EXPECT_EQ(run().outcome, Outcome::Completed);
    EXPECT_EQ(run().outcome, Outcome::Unknown);
    EXPECT_EQ(minion.runs(), 2);
}

TEST_F(DispatcherTest, truncatedAnswerIsUnknownAndNotRelayed)
{
    RawMinion minion([](Socket &socket, int, RawMinion &self) {
        const auto request = readRequest(socket);
        self.noteRun();
        auto fullAnswer = answer(fieldOf(request, "Request-Id"), "a long answer");
        fullAnswer.resize(fullAnswer.size() - 5);
        send(socket, fullAnswer);
    });
    useMinions({minion.address()}, false);
    const auto received = run();
    EXPECT_EQ(received.outcome, Outcome::Unknown);
    EXPECT_TRUE(received.body.empty());
    EXPECT_EQ(minion.runs(), 1);
}

TEST_F(DispatcherTest, answerWithoutLengthIsUnknown)
{
    RawMinion minion([](Socket &socket, int, RawMinion &) {
        const auto request = readRequest(socket);
        send(socket, "HTTP/1.1 200 x\r\nRequest-Id: " + fieldOf(request, "Request-Id")
                             + "\r\nConnection: close\r\n\r\nhalf an ans");
    });
    useMinions({minion.address()}, false);
    const auto received = run();
    EXPECT_EQ(received.outcome, Outcome::Unknown);
    EXPECT_TRUE(received.body.empty());
}

TEST_F(DispatcherTest, answerToAnotherRequestIsUnknownAndItsConnectionIsClosed)
{
    // All callers use the same Request-Id; the minion answers with the id of another call.
    std::atomic<int> connections = 0;
    RawMinion minion([&](Socket &socket, int connection, RawMinion &self) {
        connections = connection + 1;
        if (connection > 0) {
            return serveCorrectly(socket, self, "mine");
        }
        readRequest(socket);
        send(socket, answer("another-1-1", "of another"));
        readRequest(socket);
    });
    useMinions({minion.address()}, false);
    const auto wrongAnswer = run();
    EXPECT_EQ(wrongAnswer.outcome, Outcome::Unknown);
    EXPECT_TRUE(wrongAnswer.body.empty());
    EXPECT_EQ(run().body, "mine");
    EXPECT_EQ(connections, 2);
}

TEST_F(DispatcherTest, lateAnswerIsNotTakenForTheNextRequest)
{
    RawMinion minion([](Socket &socket, int connection, RawMinion &self) {
        if (connection > 0) {
            return serveCorrectly(socket, self, "second");
        }
        const auto request = readRequest(socket);
        // Waits until the caller has timed out and closed the connection.
        readRequest(socket);
        send(socket, answer(fieldOf(request, "Request-Id"), "first, late"));
    });
    useMinions({minion.address()}, false);
    EXPECT_EQ(run(seconds(1)).outcome, Outcome::Unknown);
    EXPECT_EQ(run().body, "second");
}

TEST_F(DispatcherTest, silentConnectionIsAbortedWhenANewOneWorks)
{
    RawMinion minion([](Socket &socket, int connection, RawMinion &self) {
        if (connection > 0) {
            return serveCorrectly(socket, self, "alive");
        }
        readRequest(socket);
        self.noteRun();
        readRequest(socket);
    });
    useMinions({minion.address()}, false);
    const auto begin = steadyNow();
    EXPECT_EQ(run(seconds(50)).outcome, Outcome::Unknown);
    EXPECT_LT(steadyNow() - begin, seconds(40)) << "well before the deadline";
    EXPECT_EQ(minion.runs(), 1);
}

// The work runs until the second probe has arrived.
TEST_F(DispatcherTest, slowRequestOnALiveConnectionIsNotAborted)
{
    for (const std::string running : {"yes", ""}) {
        std::mutex mutex;
        std::condition_variable changed;
        int probes = 0;
        RawMinion minion([&](Socket &socket, int connection, RawMinion &self) {
            const auto request = readRequest(socket);
            if (connection > 0) {
                {
                    const std::lock_guard lock(mutex);
                    ++probes;
                    changed.notify_all();
                }
                return send(socket, testing::probeAnswer(running));
            }
            self.noteRun();
            {
                std::unique_lock lock(mutex);
                changed.wait(lock, [&] { return probes >= 2; });
            }
            send(socket, answer(fieldOf(request, "Request-Id"), "slow"));
            readRequest(socket);
        });
        useMinions({minion.address()}, false);
        EXPECT_EQ(run(seconds(50)).body, "slow") << running;
        EXPECT_EQ(minion.runs(), 1);
    }
}

TEST_F(DispatcherTest, idempotentRequestIsRetriedAfterSilentConnection)
{
    for (const std::string running : {"no", ""}) {
        RawMinion minion([&](Socket &socket, int connection, RawMinion &self) {
            if (connection > 0) {
                return serveCorrectly(socket, self, "alive", running);
            }
            readRequest(socket);
            readRequest(socket);
        });
        useMinions({minion.address()}, true);
        const auto received = run(seconds(50));
        EXPECT_EQ(received.outcome, Outcome::Completed);
        EXPECT_EQ(received.body, "alive");
    }
}

TEST_F(DispatcherTest, idempotentRequestIsRetriedAfterServerError)
{
    RawMinion failing([](Socket &socket, int, RawMinion &self) {
        for (auto request = readRequest(socket); !request.empty(); request = readRequest(socket)) {
            self.noteRun();
            send(socket, answer(fieldOf(request, "Request-Id"), "broken", 500));
        }
    });
    RawMinion healthy(
            [](Socket &socket, int, RawMinion &self) { serveCorrectly(socket, self, "done"); });
    useMinions({failing.address(), healthy.address()}, true);
    for (int round = 0; round < 8; ++round) {
        EXPECT_EQ(run().body, "done");
    }
    EXPECT_EQ(healthy.runs(), 8);
}

TEST_F(DispatcherTest, queuedRequestOfDisconnectedCallerIsDropped)
{
    std::mutex mutex;
    std::condition_variable changed;
    bool release = false;
    RawMinion minion([&](Socket &socket, int, RawMinion &self) {
        for (auto request = readRequest(socket); !request.empty(); request = readRequest(socket)) {
            if (!request.starts_with("POST /run")) {
                continue;
            }
            self.noteRun();
            {
                std::unique_lock lock(mutex);
                changed.wait(lock, [&] { return release; });
            }
            send(socket, answer(fieldOf(request, "Request-Id"), "done"));
        }
    });
    useMinions({minion.address()}, false);
    const unsigned slots = 8;
    std::vector<DispatchAnswer> answers;
    Ticket last = 0;
    for (unsigned index = 0; index <= slots; ++index) {
        DispatchRequest request;
        request.queue = QueueId("swaps");
        request.deadline = steadyNow() + seconds(50);
        last = m_dispatcher.submit(std::move(request), [&](DispatchAnswer answer) {
            const std::lock_guard lock(mutex);
            answers.push_back(std::move(answer));
            changed.notify_all();
        });
    }
    EXPECT_EQ(m_dispatcher.queued(), 1U);
    m_dispatcher.cancel(last);
    EXPECT_EQ(m_dispatcher.queued(), 0U);
    std::unique_lock lock(mutex);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].outcome, Outcome::NotRun);
    release = true;
    changed.notify_all();
    changed.wait(lock, [&] { return answers.size() == slots + 1; });
    EXPECT_EQ(minion.runs(), static_cast<int>(slots));
}

} // namespace
} // namespace cyclamenlatch::dispatch
