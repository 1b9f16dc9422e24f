// Tests of messages with odd values: entries of another writer among those of the targets, and
// replies with numbers or texts that no sound sender gives. Whatever is odd is refused or bounded,
// and never taken for something else.
#include "platform/callercodec.h"
#include "platform/configcodec.h"
#include "platform/entrysettings.h"
#include "platform/hostcodec.h"
#include "platform/storecodec.h"
#include "platform/targetcodec.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace cyclamenlatch::platform {

namespace {

using nlohmann::json;

const json entry = json::parse(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","machine":"m-1",)"
        R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":5})");

const char *const beyond64Bits = "36893488147419103232";

// A text of the given number of nested arrays.
std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string withField(const std::string &name, const std::string &value)
{
    auto odd = entry;
    odd[name] = "@";
    auto text = odd.dump();
    text.replace(text.find(R"("@")"), 3, value);
    return text;
}

bool isUsable(const std::string &value, const std::string &id = "i-1")
{
    return decodeTarget("servers/" + id, value).has_value();
}

net::HttpCallResult makeResult(const std::string &body, int status = 200)
{
    net::HttpCallResult result;
    result.sendState = net::SendState::MaybeSent;
    result.reply = net::HttpReply{status, {}, body, false};
    return result;
}

net::HttpRequest requestWithTimeout(const std::string &value)
{
    net::HttpRequest request;
    request.headers.add("Cyclamenlatch-Deadline-Ms", value);
    return request;
}

} // namespace

TEST(OddEntries, soundEntriesAreUsed)
{
    EXPECT_TRUE(isUsable(entry.dump()));
    EXPECT_TRUE(isUsable(withField("further", "{}")));
    EXPECT_TRUE(isUsable(withField("further", nested(20))));
    EXPECT_TRUE(isUsable(withField("capacity", R"({"cpu":16000,"mem_mb":1})")));
}

// Guards against processes that end: a parsed value takes some tens of bytes for each level, so
// that one entry of the largest size could take more memory than the process may use.
TEST(OddEntries, deeplyNestedOnesNameNoTarget)
{
    for (const std::size_t depth : {50, 10'000, 500'000}) {
        EXPECT_FALSE(isUsable(nested(depth)));
        EXPECT_FALSE(isUsable(std::string(depth, '[')));
        EXPECT_FALSE(isUsable(std::string(depth, '{')));
        EXPECT_FALSE(isUsable(withField("labels", nested(depth))));
        EXPECT_FALSE(isUsable(withField("further", nested(depth))));
    }
}

// Brackets within a text are no nesting.
TEST(OddEntries, bracketsInTextsAreNotCounted)
{
    EXPECT_TRUE(isUsable(withField("further", R"("\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[")")));
    EXPECT_FALSE(isUsable(withField("further", R"("\\")" + nested(50))));
}

// Guards against a sound target's entry with a time of its start that no later one exceeds.
TEST(OddEntries, thoseWithNumbersOutOfRangeNameNoTarget)
{
    for (const char *number : {"1e999", "-1", "1e300", "9.2e18", "99999999999999999999",
                               beyond64Bits, "9223372036854775807", "18446744073709551615"}) {
        EXPECT_FALSE(isUsable(withField("born", number))) << number;
        for (const char *resource : {"cpu", "mem_mb", "gpu"}) {
            EXPECT_FALSE(
                    isUsable(withField("capacity", fmt::format(R"({{"cpu":1,"mem_mb":1,"{}":{}}})",
                                                               resource, number))))
                    << resource << number;
        }
    }
    EXPECT_FALSE(isUsable(withField("born", "1.5")));
}

TEST(OddEntries, thoseWithFieldsOfAnotherTypeNameNoTarget)
{
    for (const char *value : {"7", "null", "[]", "{}", "true", "\"\""}) {
        for (const char *name : {"service", "address", "state"}) {
            EXPECT_FALSE(isUsable(withField(name, value))) << name << value;
        }
    }
    for (const char *value : {"7", "\"a\"", "{}", "[7]", "[[\"a\"]]", "[\"a\",null]"}) {
        EXPECT_FALSE(isUsable(withField("labels", value))) << value;
    }
    for (const char *value : {"\"5\"", "[]", "true"}) {
        EXPECT_FALSE(isUsable(withField("born", value))) << value;
        EXPECT_FALSE(isUsable(withField("capacity", value))) << value;
        EXPECT_FALSE(isUsable(withField("capacity", fmt::format(R"({{"cpu":{}}})", value))));
    }
    EXPECT_FALSE(isUsable(withField("capacity", "null")));
    EXPECT_TRUE(isUsable(withField("machine", "null")));
    for (const char *value : {"7", "true", "[]"}) {
        EXPECT_FALSE(isUsable(withField("zone", value))) << value;
        EXPECT_FALSE(isUsable(withField("machine", value))) << value;
    }
}

// Guards against calls to addresses that can't be called, and against request lines and headers
// that an entry could insert.
TEST(OddEntries, thoseWithAddressesThatAreNoneNameNoTarget)
{
    for (const char *address : {"10.0.0.1",
                                "10.0.0.1:",
                                "10.0.0.1:0",
                                "10.0.0.1:65536",
                                "10.0.0.1:99999999999999999999",
                                "10.0.0.1:-1",
                                "10.0.0.1:+80",
                                "10.0.0.1: 80",
                                "10.0.0.1:80 ",
                                "10.0.0.1:80:80",
                                "10.0.0.1:80/x",
                                "10.0.0.1:80/ HTTP/1.1\\r\\nX: y",
                                "10.0.0.1:80\\u0000",
                                "10.0.0.1\\u0000:80",
                                "010.0.0.1:80",
                                "10.0.0.1\\n:80",
                                ":80",
                                "10.0.0:80",
                                "10.0.0.0.1:80",
                                "10.0.0.256:80",
                                "10.0..1:80",
                                "a.example:80",
                                "user@10.0.0.1:80"}) {
        EXPECT_FALSE(isUsable(withField("address", fmt::format("\"{}\"", address)))) << address;
    }
    EXPECT_TRUE(isUsable(withField("address", R"("255.1.0.23:65535")")));
}

TEST(OddEntries, thoseWithControlBytesNameNoTarget)
{
    for (const char *name : {"service", "zone", "machine"}) {
        EXPECT_FALSE(isUsable(withField(name, R"("a\nb")"))) << name;
        EXPECT_FALSE(isUsable(withField(name, R"("a\u0000")"))) << name;
        EXPECT_FALSE(isUsable(withField(name, R"("a\u007f")"))) << name;
    }
    EXPECT_FALSE(isUsable(withField("labels", R"(["a\rb"])")));
    for (const std::string id : {"i-1\r\nX: y", "i 1", "i-1\n", "\x7f", "i-\"1", "\xc3\xa4"}) {
        EXPECT_FALSE(isUsable(entry.dump(), id));
    }
    EXPECT_FALSE(isUsable(entry.dump(), std::string("i\0", 2)));
}

TEST(OddEntries, hugeOnesNameNoTarget)
{
    const std::string huge(std::size_t{1} << 20, 'x');
    EXPECT_FALSE(isUsable(withField("further", "\"" + huge + "\"")));
    EXPECT_FALSE(isUsable(withField("service", "\"" + huge.substr(0, 1000) + "\"")));
    EXPECT_FALSE(isUsable(withField("labels", "[\"" + huge.substr(0, 1000) + "\"]")));
    EXPECT_FALSE(isUsable(entry.dump(), huge.substr(0, 1000)));
    json labels = std::vector<std::string>(1000, "a");
    EXPECT_FALSE(isUsable(withField("labels", labels.dump())));
}

TEST(OddEntries, thoseWithoutARequiredFieldNameNoTarget)
{
    for (const char *name : {"service", "address", "state", "capacity"}) {
        auto incomplete = entry;
        incomplete.erase(name);
        EXPECT_FALSE(isUsable(incomplete.dump())) << name;
    }
}

// Guards against ends that are never recorded: a number of an end that is too high would hide all
// later ones.
TEST(OddReplies, listsWithNumbersOutOfRangeAreNotTaken)
{
    for (const char *number : {"-1", "1e300", "1e999", "18446744073709551615", beyond64Bits}) {
        const auto running = fmt::format(
                R"({{"clock_ms":1,"running":[["5c0e7a21d94b36f8.0.1.17",{},"",41]],"finished":[]}})",
                number);
        EXPECT_FALSE(decodeKeepAliveReply(makeResult(running)).report) << running;
        const auto ended = fmt::format(
                R"({{"clock_ms":1,"running":[],"finished":[[{},"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}})",
                number);
        EXPECT_FALSE(decodeKeepAliveReply(makeResult(ended)).report) << ended;
        const auto clock = fmt::format(R"({{"clock_ms":{},"running":[],"finished":[]}})", number);
        EXPECT_FALSE(decodeKeepAliveReply(makeResult(clock)).report) << clock;
        const auto born =
                fmt::format(R"({{"clock_ms":1,"born":{},"running":[],"finished":[]}})", number);
        EXPECT_FALSE(decodeKeepAliveReply(makeResult(born)).report) << born;
    }
    EXPECT_FALSE(
            decodeKeepAliveReply(
                    makeResult(
                            R"({"clock_ms":1,"running":[["5c0e7a21d94b36f8.0.1.17",4294967296,"",41]],)"
                            R"("finished":[]})"))
                    .report);
    EXPECT_FALSE(decodeKeepAliveReply(makeResult(R"({"clock_ms":1,"running":)" + nested(100'000)
                                                 + R"(,"finished":[]})"))
                         .report);
}

TEST(OddReplies, progressAndMetricsOfARunAreBounded)
{
    const auto rowOf = [](const char *percent, const char *metric) {
        const auto reply = decodeKeepAliveReply(makeResult(fmt::format(
                R"({{"clock_ms":1,"running":[["5c0e7a21d94b36f8.0.1.17",1,"",{},{}]],"finished":[]}})",
                percent, metric)));
        EXPECT_TRUE(reply.report);
        return reply.report->running.at(0);
    };
    EXPECT_EQ(rowOf("1e9", "1").percent, 100);
    EXPECT_EQ(rowOf("-5", "1").percent, 0);
    EXPECT_EQ(rowOf("99.9", "1").percent, 99);
    EXPECT_FALSE(rowOf("1", "1e300").metric.has_value());
    EXPECT_FALSE(rowOf("1", "-1").metric.has_value());
    EXPECT_EQ(rowOf("1", "130.5").metric, 130);
}

// Guards against a job whose record no longer fits into the store.
TEST(OddReplies, hugeCheckpointsAreNotKept)
{
    const auto reply = decodeKeepAliveReply(makeResult(
            fmt::format(R"({{"clock_ms":1,"running":[["5c0e7a21d94b36f8.0.1.17",1,"{0}",5]],)"
                        R"("finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"stopped","{0}"]]}})",
                        std::string(100'000, 'c'))));
    ASSERT_TRUE(reply.report);
    EXPECT_TRUE(reply.report->running.at(0).checkpoint.empty());
    EXPECT_TRUE(reply.report->ends.at(0).checkpoint.empty());
}

TEST(OddReplies, adviceIsValidForABoundedTime)
{
    for (const char *validity : {"-1", "1e300", "9223372036854775807"}) {
        const auto reply = decodeAdviceReply(makeResult(
                fmt::format(R"({{"approved":[["i-1","t"],7,["i-2"]],"valid_ms":{}}})", validity)));
        ASSERT_TRUE(reply) << validity;
        EXPECT_EQ(reply->approved.size(), 1U);
        EXPECT_EQ(reply->validity.count(), 0) << validity;
    }
    EXPECT_FALSE(decodeAdviceReply(makeResult(R"({"approved":)" + nested(100'000) + "}")));
}

// Guards against a host that counts as removed, and so as no longer down for its wave, because its
// row is odd.
TEST(OddReplies, hostsInOddRowsAreKeptAndNotUsed)
{
    const auto page = HostCodec::decodeHostPage(makeResult(
            R"({"machines":[{"machine":"m-1","pool":"s","state":"asleep","id":"i-1"},)"
            R"({"machine":"m-2","pool":"s","state":7},)"
            R"({"machine":"m-3","pool":"s","state":"up","id":"i-3\r\nX: y"},)"
            R"({"machine":"m-4","pool":"s\n","state":"up","id":"i-4"},)"
            R"({"machine":"m\n","pool":"s","state":"up"},{"pool":"s","state":"up"},7,[[]],null,)"
            R"({"machine":"m-5","pool":"s","state":"up","capacity":{"cpu":-1,"mem_mb":1e300}}]})"));
    ASSERT_TRUE(page);
    ASSERT_EQ(page->hosts.size(), 5U);
    for (std::size_t index = 0; index < 4; ++index) {
        EXPECT_EQ(page->hosts[index].state, scheduling::HostState::Down);
    }
    EXPECT_EQ(page->hosts[4].capacity.processors, 0);
    EXPECT_EQ(page->hosts[4].capacity.memoryMib, 0);
    EXPECT_FALSE(HostCodec::decodeHostPage(makeResult(R"({"machines":)" + nested(100'000) + "}")));
}

TEST(OddReplies, pageTokensAreEscaped)
{
    EXPECT_EQ(HostCodec("10.0.0.1:80").list("a&b=c \r\n").url,
              "http://10.0.0.1:80/v1/machines?page_token=a%26b%3Dc%20%0D%0A");
}

TEST(OddReplies, storeRepliesKeepRevisionsOf64Bits)
{
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(R"({"revision":18446744073709551615})")).revision,
              18446744073709551615U);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(R"({"at":-3,"lease":1e300})")).revision, 0U);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(R"({"lease":1e300})")).lease, 0U);
    EXPECT_EQ(StoreCodec::decodeReply(makeResult(R"({"items":)" + nested(100'000) + "}")).outcome,
              StoreOutcome::OutcomeUnknown);
}

TEST(OddConfigurations, haveBoundedLimits)
{
    const auto rules = decodeFleetRules(
            R"({"version":3,"routes":[7,{"name":"r","service":"s","priority":1e300,)"
            R"("max_attempts":-1,"slack_factor":-2,"target_latency_ms":9223372036854775807}],)"
            R"("tenants":[[],{"name":"t","weight":1e300,"cap":{"cpu":-5}}],"services":[null],)"
            R"("limits":{"max_body_bytes":-1,"max_header_bytes":1e300}})");
    ASSERT_TRUE(rules);
    ASSERT_EQ(rules.value().queues.size(), 1U);
    EXPECT_EQ(rules.value().queues[0].priority, 0);
    EXPECT_EQ(rules.value().queues[0].maxAttempts, 1U);
    EXPECT_EQ(rules.value().queues[0].slackFactor, 1);
    EXPECT_EQ(rules.value().queues[0].targetLatency.count(), 0);
    ASSERT_EQ(rules.value().workspaces.size(), 1U);
    EXPECT_EQ(rules.value().workspaces[0].weight, 1);
    EXPECT_TRUE(rules.value().services.empty());
    EXPECT_EQ(rules.value().limits.maxBodyBytes, scheduling::RequestLimits{}.maxBodyBytes);
    EXPECT_FALSE(decodeFleetRules(R"({"version":3,"routes":)" + nested(100'000) + "}"));
}

TEST(OddConfigurations, wavesHaveABoundedDuration)
{
    const auto wave =
            decodeWave(R"({"wave":1,"machines":["a",7],"duration_s":1e300,"cap":4294967297})");
    ASSERT_TRUE(wave);
    EXPECT_EQ(wave->duration.count(), 0);
    EXPECT_EQ(wave->maxConcurrent, 1U);
    EXPECT_FALSE(decodeWave(R"({"wave":-1,"machines":["a"]})"));
    EXPECT_FALSE(decodeWave(R"({"wave":1e300,"machines":["a"]})"));
    EXPECT_FALSE(decodeWave(R"({"wave":1,"machines":)" + nested(100'000) + "}"));
}

TEST(OddSettings, numbersThatAreNotFiniteLeaveTheDefault)
{
    const std::string settings = R"(
node_name: "edge-1"
ip: "10.1.0.23"
platform: {address: "10.200.1.7:8344"}
listen_addrs: {frontend: "10.1.0.23:8340", readiness: "10.1.0.23:8343"}
cloud: {address: "10.200.0.82:8344", rate_per_s: .inf, duty_per_s: .nan}
limits: {cpu_share: .inf, cores: .nan}
bounds: {grace_s: .inf, hold_max_ms: -5, stop_timeout_ms: .nan, lease_ms: 1e300, remote_factor: .nan}
)";
    const auto read = parseEntrySettings(settings);
    ASSERT_TRUE(read);
    const EntrySettings defaults;
    EXPECT_EQ(read.value().hostReadsPerSecond, defaults.hostReadsPerSecond);
    EXPECT_EQ(read.value().hostOrdersPerSecond, defaults.hostOrdersPerSecond);
    EXPECT_EQ(read.value().terminationGracePeriod, defaults.terminationGracePeriod);
    EXPECT_EQ(read.value().maxRunLease, defaults.maxRunLease);
    EXPECT_EQ(read.value().stopTimeout, defaults.stopTimeout);
    EXPECT_EQ(read.value().holderCooldown, defaults.holderCooldown);
    EXPECT_EQ(read.value().remoteSlowdownFactor, defaults.remoteSlowdownFactor);
    EXPECT_EQ(read.value().cores, 1);
}

TEST(OddSettings, portsAndNestingOutOfRangeAreErrors)
{
    const auto withPort = [](const std::string &port) {
        return parseEntrySettings(
                "node_name: a\nip: 10.1.0.2\nplatform: {address: \"10.0.0.1:1\"}\n"
                "listen_addrs: {frontend: \"10.1.0.2:"
                + port + "\", readiness: \"10.1.0.2:2\"}\n");
    };
    EXPECT_TRUE(withPort("8340"));
    for (const char *port : {"0", "65536", "-1", "8340x", "", " 8340"}) {
        EXPECT_FALSE(withPort(port)) << port;
    }
    EXPECT_FALSE(parseEntrySettings(nested(100'000)));
    EXPECT_FALSE(parseEntrySettings("a: " + nested(100'000)));
}

TEST(OddRequests, deeplyNestedJobsAreRefused)
{
    EXPECT_FALSE(decodeJob(R"({"phases":)" + nested(100'000) + "}"));
    EXPECT_FALSE(decodeJob(R"({"phases":[{"count":1,"after":)" + nested(100'000) + "}]}"));
    EXPECT_FALSE(decodeJob(R"({"phases":[{"count":1}],"repeat_count":1,"start_at_ms":1e300})"));
    EXPECT_FALSE(decodeJob(R"({"phases":[{"count":1}],"repeat_count":1,"start_at_ms":-1})"));
}

TEST(OddRequests, timeoutsAreWholeBoundedNumbers)
{
    EXPECT_EQ(decodeCallerTimeout(requestWithTimeout("3000"))->count(), 3000);
    EXPECT_EQ(decodeCallerTimeout(requestWithTimeout("9223372036854775807"))->count(), 86'400'000);
    for (const char *value : {"", "12abc", "-1", " 5", "1e3", "99999999999999999999"}) {
        EXPECT_FALSE(decodeCallerTimeout(requestWithTimeout(value))) << value;
    }
}

} // namespace cyclamenlatch::platform
