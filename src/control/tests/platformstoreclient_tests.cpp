// Lists of several pages over failing links: which pages are requested again.
#include "control/platformstoreclient.h"

#include "net/tests/serverthread.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

namespace cyclamenlatch::control {

namespace {

// A store with a list of three pages of one item each; each page fails a given number of times.
class PagedStore
{
public:
    explicit PagedStore(std::map<std::string, int> failures)
        : m_failures(std::move(failures))
    {}

    std::string address() const { return m_server.address(); }
    // Requests of each page, by the key after which it begins. To be read while no call is open.
    const std::map<std::string, int> &requests() const { return m_requests; }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        const auto after = request.query.find("after=");
        const auto key = after == std::string::npos
                                 ? std::string{}
                                 : request.query.substr(after + 6, request.query.find('&', after));
        ++m_requests[key];
        net::HttpReply reply;
        if (m_failures[key]-- > 0) {
            reply.status = 503;
            return respond(std::move(reply));
        }
        const int page = key.empty() ? 1 : key.back() - '0' + 1;
        reply.body =
                fmt::format(R"({{"items":[{{"key":"job/{0}","value":"","revision":{0}}}],"at":{1},)"
                            R"("has_more":{2}}})",
                            page, 10 + page, page < 3);
        respond(std::move(reply));
    }

    std::map<std::string, int> m_failures;
    std::map<std::string, int> m_requests;
    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

platform::StoreReply list(const PagedStore &store, bool isOnce = false)
{
    asio::io_context context;
    net::LoopHttpClient client(context, net::HttpClientSettings{});
    Metrics metrics;
    PlatformStoreClient storeClient(context, client, store.address(), metrics);
    std::optional<platform::StoreReply> answer;
    const auto take = [&](const auto &reply) { answer = reply; };
    isOnce ? storeClient.listOnce("job", take) : storeClient.list("job", take);
    while (!answer) {
        context.run_one();
    }
    return *answer;
}

} // namespace

// Guards against a list that starts over when one page fails: over a failing link seven owners in
// turn never finished loading.
TEST(PlatformStoreClient, resumesAListAtThePageThatFailed)
{
    PagedStore store({{"job/2", 2}});
    const auto reply = list(store);
    EXPECT_EQ(reply.outcome, platform::StoreOutcome::Done);
    EXPECT_EQ(reply.items.size(), 3U);
    EXPECT_EQ(reply.revision, 11U);
    const std::map<std::string, int> requests{{"", 1}, {"job/1", 1}, {"job/2", 3}};
    EXPECT_EQ(store.requests(), requests);
}

TEST(PlatformStoreClient, failsAListWhenAPageKeepsFailing)
{
    PagedStore store({{"job/1", 1000}});
    EXPECT_EQ(list(store).outcome, platform::StoreOutcome::NotDone);
}

// A caller that counts a queue's jobs gets an error at once when the store does not answer.
TEST(PlatformStoreClient, listOnceDoesNotRetryAPage)
{
    PagedStore store({{"job/1", 1}});
    EXPECT_EQ(list(store, true).outcome, platform::StoreOutcome::NotDone);
    EXPECT_EQ(store.requests().at("job/1"), 1);
}

} // namespace cyclamenlatch::control
