// Records of the host service while the store leaves its changes unanswered and carries them out
// late, behind later ones.
#include "control/hostservice.h"

#include "control/clock.h"
#include "control/storekeys.h"
#include "net/tests/serverthread.h"
#include "platform/configcodec.h"
#include "platform/tests/memorystore.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cyclamenlatch::control {

namespace {

using namespace std::chrono_literals;

// A host API with three hosts that need not be drained. It refuses orders for h2 while told to.
class HostApi
{
public:
    std::string address() const { return m_server.address(); }

    std::atomic<bool> isSecondBusy = true;

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond) const
    {
        net::HttpReply reply;
        if (request.path == "/v1/machines") {
            reply.body = R"({"machines":[{"machine":"h1","pool":"off","zone":"a","state":"up"},)"
                         R"({"machine":"h2","pool":"off","zone":"a","state":"up"},)"
                         R"({"machine":"h3","pool":"off","zone":"a","state":"up"}]})";
        } else if (isSecondBusy && request.body.find("h2") != std::string::npos) {
            reply.status = 409;
            reply.body = R"({"reason":"busy"})";
        }
        respond(std::move(reply));
    }

    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

// An owner's host service. Its store answers each call at once, except watches and the first
// change of the key that a test names.
class HostServiceFixture
{
public:
    HostServiceFixture()
        : m_storeClient(
                m_context,
                [this](auto call, auto completion) {
                    store.send(std::move(call), std::move(completion));
                },
                "store", m_metrics)
        , m_http(std::make_unique<net::LoopHttpClient>(m_context, net::HttpClientSettings{}))
        , m_core(scheduling::OwnerSettings{1}, bootNow(), [](const auto &) {})
        , m_ownership(m_context, m_storeClient, "entry", 0ms,
                      Ownership::Listener{[this](const auto &) { m_isOwner = true; },
                                          [this](const auto &) { m_isOwner = false; }, [] {},
                                          [](bool) {}})
    {
        m_settings.hostApiAddress = hostApi.address();
        m_settings.hostReadsPerSecond = 1000;
        m_ownership.start();
        EXPECT_TRUE(runUntil([this] { return m_isOwner; }));
        service = std::make_unique<HostService>(m_context, m_storeClient, *m_http, m_ownership,
                                                m_settings, m_core, m_work, [] {});
        scheduling::FleetRules rules;
        rules.services.push_back({"off", false, true});
        service->setRules(rules);
        service->setWaves({{1, {1, {"h1", "h2"}, 10s, 2}}});
    }
    // The service's timers need the event loop. Destroying the client completes its open calls,
    // whose handlers use the other members.
    ~HostServiceFixture()
    {
        service.reset();
        m_http.reset();
    }
    HostServiceFixture(const HostServiceFixture &) = delete;
    HostServiceFixture &operator=(const HostServiceFixture &) = delete;

    // For five seconds at most.
    bool runUntil(const std::function<bool()> &isReached)
    {
        const auto end = bootNow() + 5s;
        while (!isReached() && bootNow() < end) {
            m_context.run_one_for(5ms);
            answerCalls();
        }
        return isReached();
    }
    bool isOwner() const { return m_isOwner; }
    std::string read(const std::string &key) const
    {
        return store.contains(key) ? store.value(key) : std::string{};
    }

    platform::tests::MemoryStore store;
    HostApi hostApi;
    std::unique_ptr<HostService> service;
    // Key whose next change is left unanswered.
    std::string unansweredKey;

private:
    void answerCalls()
    {
        for (std::size_t index = 0; index < store.openCalls();) {
            if (store.isOpenWatch(index)) {
                ++index;
            } else if (!unansweredKey.empty() && store.isOpenChangeOf(index, unansweredKey)) {
                unansweredKey.clear();
                store.leaveUnanswered(index);
            } else {
                store.answer(index);
            }
        }
    }

    asio::io_context m_context;
    Metrics m_metrics;
    PlatformStoreClient m_storeClient;
    std::unique_ptr<net::LoopHttpClient> m_http;
    platform::EntrySettings m_settings;
    scheduling::OwnerCore m_core;
    WorkMeter m_work;
    bool m_isOwner = false;
    Ownership m_ownership;
};

} // namespace

// Guards against a wave that was shown as completed and is shown as running again, with hosts
// missing that have had their maintenance: an earlier record was carried out behind the last one.
TEST(HostService, waveStaysCompletedWhenAnEarlierRecordIsCarriedOutLate)
{
    HostServiceFixture fixture;
    const auto statusKey = platform::waveStatusKey(1);
    fixture.unansweredKey = statusKey;
    fixture.service->start();
    ASSERT_TRUE(fixture.runUntil([&] { return !fixture.read(statusKey).empty(); }));
    ASSERT_FALSE(platform::isWaveCompleted(fixture.read(statusKey)));
    fixture.hostApi.isSecondBusy = false;
    ASSERT_TRUE(
            fixture.runUntil([&] { return platform::isWaveCompleted(fixture.read(statusKey)); }));
    const auto record = fixture.read(waveRecordKey(1));
    ASSERT_EQ(fixture.store.lateChanges(), 1U);
    fixture.store.carryOutLate(0);
    EXPECT_TRUE(platform::isWaveCompleted(fixture.read(statusKey)));
    EXPECT_EQ(fixture.read(waveRecordKey(1)), record);
    EXPECT_TRUE(fixture.isOwner());
}

// Guards against a record of ordered hosts that lacks some, so that the next owner orders them
// before their cooldown is over.
TEST(HostService, orderedHostsStayRecordedWhenAnEarlierRecordIsCarriedOutLate)
{
    HostServiceFixture fixture;
    const std::string key(orderedHostsKey);
    fixture.unansweredKey = key;
    fixture.service->start();
    ASSERT_TRUE(fixture.runUntil([&] { return !fixture.read(key).empty(); }));
    const auto first = fixture.read(key);
    fixture.service->setWaves({{1, {1, {"h1", "h2"}, 10s, 2}}, {2, {2, {"h3"}, 10s, 1}}});
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.read(key) != first; }));
    const auto last = fixture.read(key);
    ASSERT_EQ(fixture.store.lateChanges(), 1U);
    fixture.store.carryOutLate(0);
    EXPECT_EQ(fixture.read(key), last);
    EXPECT_TRUE(fixture.isOwner());
}

// Guards against an owner that gives the ownership up, or writes no more, because a record of its
// own was carried out without an answer.
TEST(HostService, goesOnWhenARecordWithoutAnAnswerHasBeenCarriedOut)
{
    HostServiceFixture fixture;
    const auto statusKey = platform::waveStatusKey(1);
    fixture.unansweredKey = statusKey;
    fixture.service->start();
    ASSERT_TRUE(fixture.runUntil([&] { return fixture.store.lateChanges() == 1; }));
    fixture.store.carryOutLate(0);
    fixture.hostApi.isSecondBusy = false;
    EXPECT_TRUE(
            fixture.runUntil([&] { return platform::isWaveCompleted(fixture.read(statusKey)); }));
    EXPECT_TRUE(fixture.isOwner());
}

} // namespace cyclamenlatch::control
