// Tests the decoding of the platform's messages and settings, including malformed ones.
#include "platform/callercodec.h"
#include "platform/configcodec.h"
#include "platform/entrysettings.h"
#include "platform/hostcodec.h"
#include "platform/storecodec.h"
#include "platform/targetcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace cyclamenlatch::platform {

namespace {

net::HttpCallResult makeResult(int status, const std::string &body)
{
    net::HttpCallResult result;
    result.sendState = net::SendState::MaybeSent;
    result.reply = net::HttpReply{status, {}, body, false};
    return result;
}

const char *settingsText = R"(
node_name: "edge-1"
ip: "10.1.0.23"
zone: "north"
listen_addrs: {frontend: "10.1.0.23:8340", readiness: "10.1.0.23:8343"}
ephemeral_ports: [7000, 7015]
commands: "invocation"
platform: {address: "10.200.1.7:8344"}
cloud: {address: "10.200.0.82:8344", rate_per_s: 64.0}
limits: {cpu_share: 0.25, cores: 2}
bounds: {grace_s: 6, hold_max_ms: 6000, remote_factor: 1.5, maintenance_s: 2.5}
unheard_of: [1, 2]
)";

} // namespace

TEST(EntrySettings, decodesThePlatformsFile)
{
    const auto settings = parseEntrySettings(settingsText);
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings.value().callerPort, 8340);
    EXPECT_EQ(settings.value().readinessPort, 8343);
    EXPECT_EQ(settings.value().maxRunLease, std::chrono::milliseconds(6000));
    EXPECT_EQ(settings.value().maintenanceDuration, std::chrono::milliseconds(2500));
    EXPECT_DOUBLE_EQ(settings.value().hostReadsPerSecond, 64);
    EXPECT_EQ(settings.value().metricsPort, 7000);
    EXPECT_DOUBLE_EQ(settings.value().cores, 0.5);
}

TEST(EntrySettings, rejectsMissingFieldsAndUnsupportedCommands)
{
    EXPECT_FALSE(parseEntrySettings("node_name: x"));
    EXPECT_FALSE(parseEntrySettings("[1, 2"));
    std::string heartbeat = settingsText;
    heartbeat.replace(heartbeat.find("invocation"), 10, "heartbeat");
    const auto settings = parseEntrySettings(heartbeat);
    ASSERT_FALSE(settings);
    EXPECT_NE(settings.error().message.find("heartbeat"), std::string::npos);
}

TEST(JobDecoding, appliesDefaultsToOmittedFields)
{
    const auto job = decodeJob(
            R"({"spec":"text","phases":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900},)"
            R"({"count":2,"after":[0],"long_running":true,"target_ms":80,"may_skip":1}]})");
    ASSERT_TRUE(job);
    ASSERT_EQ(job.value().steps.size(), 2U);
    EXPECT_EQ(job.value().steps[0].requiredResources.processors, 500);
    EXPECT_FALSE(job.value().steps[0].isLongRunning);
    EXPECT_TRUE(job.value().steps[1].isLatencySensitive());
    EXPECT_EQ(job.value().steps[1].after, std::vector<std::uint32_t>{0});
}

TEST(JobDecoding, rejectsInvalidJobsWithARemedy)
{
    for (const char *body :
         {"", "[]", "{}", R"({"phases":[]})", R"({"phases":[{"count":0}]})",
          R"({"phases":[{"count":-1}]})", R"({"phases":[{"count":1e99}]})",
          R"({"phases":[{"count":1,"after":[0]}]})", R"({"phases":[{"count":1,"cpu":"many"}]})",
          R"({"spec":5,"phases":[{"count":1}]})",
          R"({"repeat_count":-2,"phases":[{"count":1}]})"}) {
        const auto job = decodeJob(body);
        ASSERT_FALSE(job) << body;
        EXPECT_FALSE(job.error().remedy.empty());
    }
}

TEST(Decoders, arbitraryBytesDoNotCrash)
{
    rc::check([](const std::string &bytes) {
        static_cast<void>(decodeJob(bytes));
        static_cast<void>(decodeFleetRules(bytes));
        static_cast<void>(decodeWave(bytes));
        static_cast<void>(decodeTarget("servers/i-1", bytes));
        static_cast<void>(decodeKeepAliveReply(makeResult(200, bytes)));
        static_cast<void>(HostCodec::decodeHostPage(makeResult(200, bytes)));
        static_cast<void>(StoreCodec::decodeReply(makeResult(200, bytes)));
        static_cast<void>(parseEntrySettings(bytes));
    });
}

// Starts from valid messages and replaces, removes or duplicates some of their bytes.
TEST(Decoders, corruptedMessagesDoNotCrash)
{
    const std::vector<std::string> validMessages{
            R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,130]],
                "finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","machine":"m",
                "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"born":5})",
            R"({"items":[{"key":"a","value":"bm9kZS0x","revision":7,"created":3,"lease":0}],
                "at":9,"has_more":false,"lease":4,"ttl_ms":2000})",
            R"({"machines":[{"machine":"m","pool":"s","state":"up","zone":"z","labels":["a"],
                "capacity":{"cpu":1,"mem_mb":2,"gpu":3},"id":"i-1"}],"next_page_token":"x"})",
            R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/q/","service":"s",
                "public":true,"priority":1,"max_attempts":3}],"services":[{"name":"s"}],
                "tenants":[{"name":"t","api_keys":["k"],"cap":{"cpu":5}}],"limits":{}})",
            R"({"wave":1,"machines":["a","b"],"duration_s":26.5,"cap":2})",
            R"({"approved":[["i-1","ticket"]],"valid_ms":500,"reason":"fence"})",
            R"({"spec":"text","phases":[{"count":4,"cpu":5,"after":[],"gang":true}],
                "repeat_count":2,"start_at_ms":7,"interval_ms":1})"};
    rc::check([&] {
        auto bytes = validMessages[*rc::gen::inRange<std::size_t>(0, validMessages.size())];
        const auto changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes && !bytes.empty(); ++change) {
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                bytes[at] = *rc::gen::element('"', '[', ']', '{', '}', ',', '-', '9', 'e', '.', 'x',
                                              '\xff');
                break;
            case 1:
                bytes.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
                break;
            case 2:
                bytes.insert(at, bytes.substr(at / 2, 7));
                break;
            default:
                bytes.insert(at, *rc::gen::element<std::string>("1e308", "-1", "null", "[]", "{}",
                                                                "99999999999999999999"));
            }
        }
        static_cast<void>(decodeJob(bytes));
        static_cast<void>(decodeFleetRules(bytes));
        static_cast<void>(decodeWave(bytes));
        static_cast<void>(decodeTarget("servers/i-1", bytes));
        for (const int status : {200, 409, 412}) {
            const auto result = makeResult(status, bytes);
            static_cast<void>(decodeKeepAliveReply(result));
            static_cast<void>(decodeOrderReply(result));
            static_cast<void>(decodeAdviceReply(result));
            static_cast<void>(HostCodec::decodeHostPage(result));
            static_cast<void>(HostCodec::decodeOrderReply(result));
            static_cast<void>(StoreCodec::decodeReply(result));
        }
    });
}

TEST(TargetDecoding, rejectsUnusableEntries)
{
    const std::string good =
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
            R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":5})";
    const auto target = decodeTarget("servers/i-1", good);
    ASSERT_TRUE(target);
    EXPECT_EQ(target->id, "i-1");
    EXPECT_EQ(target->rack(), "r1-3");
    EXPECT_EQ(target->incarnation, 5);
    EXPECT_FALSE(decodeTarget("servers/", good));
    EXPECT_FALSE(decodeTarget("servers/i-1", "\xff\xfe"));
    EXPECT_FALSE(decodeTarget("servers/i-1", R"({"service":"s","address":"10.0.0.1:80"})"));
    EXPECT_FALSE(decodeTarget("servers/i-1",
                              R"({"service":7,"address":"10.0.0.1:80","state":"ready"})"));
    EXPECT_FALSE(decodeTarget("servers/i-1", R"({"service":"s","address":"10.0.0.1:80",)"
                                             R"("state":"asleep","capacity":{}})"));
}

TEST(KeepAliveDecoding, decodesRunningAndEndedRuns)
{
    const auto answer = decodeKeepAliveReply(makeResult(
            200,
            R"({"clock_ms":482113,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,130]],)"
            R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));
    ASSERT_TRUE(answer.report);
    ASSERT_EQ(answer.report->running.size(), 1U);
    EXPECT_EQ(answer.report->running[0].task.index, 17U);
    EXPECT_EQ(answer.report->running[0].metric, 130);
    ASSERT_EQ(answer.report->ends.size(), 1U);
    EXPECT_EQ(answer.report->ends[0].outcome, scheduling::RunOutcome::Done);
}

// Guards against a second start of a run: a run that is missing from the list because its row is
// malformed would count as gone and be started on another target.
TEST(KeepAliveDecoding, rejectsListsWithAMalformedRow)
{
    for (const char *lists :
         {R"("running":[["5c0e7a21d94b36f8.0.1.17","two","cp",41]],"finished":[])",
          R"("running":[["5c0e7a21d94b36f8.0.1",2,"cp",41]],"finished":[])",
          R"("running":[7],"finished":[])",
          R"("running":[],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"asleep",""]])"}) {
        const auto answer = decodeKeepAliveReply(
                makeResult(200, std::string(R"({"clock_ms":1,)") + lists + "}"));
        EXPECT_FALSE(answer.report) << lists;
        EXPECT_FALSE(answer.failure.empty());
    }
}

TEST(OrderReplyDecoding, tellsRefusedOrdersFromUnknownOutcomes)
{
    using scheduling::OrderResult;
    EXPECT_EQ(decodeOrderReply(makeResult(200, "{}")), OrderResult::Accepted);
    EXPECT_EQ(decodeOrderReply(makeResult(409, R"({"reason":"room"})")),
              OrderResult::InsufficientResources);
    EXPECT_EQ(decodeOrderReply(makeResult(409, R"({"reason":"fence"})")), OrderResult::Fenced);
    EXPECT_EQ(decodeOrderReply(makeResult(421, "")), OrderResult::Refused);
    EXPECT_EQ(decodeOrderReply(makeResult(504, "")), OrderResult::OutcomeUnknown);
    net::HttpCallResult unanswered;
    unanswered.sendState = net::SendState::MaybeSent;
    EXPECT_EQ(decodeOrderReply(unanswered), OrderResult::OutcomeUnknown);
    unanswered.sendState = net::SendState::NotSent;
    EXPECT_EQ(decodeOrderReply(unanswered), OrderResult::NotSent);
}

namespace {

// The request by which a call finds out which incarnation of the target it would reach.
const char *identityRequest = R"({"fencing_token":9,"ack_cursor":0})";

} // namespace

// Guards against orders that the next incarnation of a target carries out: each call is bound to
// the one that it is for, but for keep-alives that change nothing.
TEST(TargetCalls, areBoundToTheIncarnationTheyAreFor)
{
    scheduling::TargetInfo target;
    target.id = "t1";
    target.address = "10.0.0.1:80";
    scheduling::StartOrder start;
    start.incarnation = 1000;
    start.token = 9;
    scheduling::StopOrder stop;
    stop.incarnation = 1000;
    stop.token = 9;
    scheduling::PaceOrder pace;
    pace.incarnation = 1000;
    pace.token = 9;
    scheduling::KeepAliveOrder lease;
    lease.incarnation = 1000;
    lease.token = 9;
    lease.leaseUntil = std::chrono::milliseconds(1);
    scheduling::KeepAliveOrder ends;
    ends.incarnation = 1000;
    ends.token = 9;
    ends.endsRecorded = 1;
    for (const auto &call :
         {startCall(target, start, "text"), stopCall(target, stop), paceCall(target, pace),
          keepAliveCall(target, lease), keepAliveCall(target, ends)}) {
        ASSERT_TRUE(call.peerCheck);
        EXPECT_EQ(call.peerCheck->expected, 1000);
        EXPECT_EQ(call.peerCheck->path, "/v1/hold");
        EXPECT_EQ(call.peerCheck->body, identityRequest);
    }
    scheduling::KeepAliveOrder look;
    look.incarnation = 1000;
    const auto call = keepAliveCall(target, look);
    ASSERT_TRUE(call.peerCheck);
    EXPECT_EQ(call.peerCheck->expected, 0);
}

TEST(TargetCalls, readTheIncarnationOnlyFromAListThatNamesIt)
{
    const auto call = keepAliveCall({}, {});
    const auto identify = [&](int status, const std::string &body) {
        return call.peerCheck->identify(net::HttpReply{status, {}, body, false});
    };
    EXPECT_EQ(identify(200, R"({"born":1000,"clock_ms":1})"), 1000);
    EXPECT_EQ(identify(200, R"({"clock_ms":1})"), 0);
    EXPECT_EQ(identify(200, R"({"born":-1})"), 0);
    EXPECT_EQ(identify(200, R"({"born":1e300})"), 0);
    EXPECT_EQ(identify(200, R"({"born":99999999999999999999})"), 0);
    EXPECT_EQ(identify(200, "["), 0);
    EXPECT_EQ(identify(503, R"({"born":1000})"), 0);
}

TEST(OrderReplyDecoding, tellsAnOrderThatFoundAnotherIncarnation)
{
    const auto decode = [](int status, const std::string &body) {
        net::HttpCallResult result;
        result.peerReply = net::HttpReply{status, {}, body, false};
        return decodeOrderReply(result);
    };
    using scheduling::OrderResult;
    EXPECT_EQ(decode(200, R"({"born":2000,"clock_ms":1})"), OrderResult::TargetRestarted);
    EXPECT_EQ(decode(200, R"({"clock_ms":1})"), OrderResult::NotSent);
    EXPECT_EQ(decode(409, R"({"reason":"fence"})"), OrderResult::Fenced);
    EXPECT_EQ(decode(421, ""), OrderResult::NotSent);
    EXPECT_EQ(decode(503, ""), OrderResult::NotSent);
}

// The list by which another incarnation names itself is as good as an answer.
TEST(KeepAliveDecoding, readsTheListOfAnotherIncarnation)
{
    net::HttpCallResult result;
    result.failure = "another process answers at the address";
    result.peerReply = net::HttpReply{
            200, {}, R"({"clock_ms":5,"running":[],"finished":[],"born":2000})", false};
    auto answer = decodeKeepAliveReply(result);
    ASSERT_TRUE(answer.report);
    EXPECT_EQ(answer.report->incarnation, 2000);
    result.peerReply = net::HttpReply{409, {}, R"({"reason":"fence"})", false};
    answer = decodeKeepAliveReply(result);
    EXPECT_FALSE(answer.report);
    EXPECT_TRUE(answer.isFenced);
}

TEST(StoreReplyDecoding, tellsFailuresFromUnknownOutcomes)
{
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(200, R"({"revision":412})")).revision, 412U);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(503, "")).outcome, StoreOutcome::NotDone);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(429, "")).outcome, StoreOutcome::NotDone);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(400, "")).outcome, StoreOutcome::Rejected);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(413, "")).outcome, StoreOutcome::Rejected);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(410, "")).outcome, StoreOutcome::HistoryCompacted);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(200, "{cut")).outcome,
              StoreOutcome::OutcomeUnknown);
    const auto conflict = StoreCodec::decodeReply(
            makeResult(412, R"({"items":[{"key":"a","value":"bm9kZS0x","revision":7}]})"));
    EXPECT_EQ(conflict.outcome, StoreOutcome::Conflict);
    ASSERT_EQ(conflict.items.size(), 1U);
    EXPECT_EQ(conflict.items[0].value, "node-1");
}

TEST(JobIds, roundTripAsSixteenHexadecimalDigits)
{
    EXPECT_EQ(formatJobId(*parseJobId("00000000000000ff")), "00000000000000ff");
    EXPECT_FALSE(parseJobId("ff"));
    EXPECT_FALSE(parseJobId("zzzzzzzzzzzzzzzz"));
}

} // namespace cyclamenlatch::platform
