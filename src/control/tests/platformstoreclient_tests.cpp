// Lists over links that break: which pages are asked for again.
#include "control/platformstoreclient.h"

#include "net/tests/serverthread.h"

#include <asio/io_context.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

namespace cyclamenlatch::control {

namespace {

// A store with a list of three pages of one item each, whose pages fail as often as they are told.
class PagedStore
{
public:
    explicit PagedStore(std::map<std::string, int> failures)
        : m_failures(std::move(failures))
    {}

    std::string address() const { return m_server.address(); }
    // By the key that the page begins after. Read when no call is under way.
    const std::map<std::string, int> &asked() const { return m_asked; }

private:
    void answer(const net::HttpRequest &request, const net::HttpResponder &respond)
    {
        const auto after = request.query.find("after=");
        const auto key = after == std::string::npos
                                 ? std::string{}
                                 : request.query.substr(after + 6, request.query.find('&', after));
        ++m_asked[key];
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
    std::map<std::string, int> m_asked;
    net::tests::ServerThread m_server{
            [this](const auto &request, const auto &respond) { answer(request, respond); }};
};

platform::StoreReply list(const PagedStore &store, bool isOnce = false)
{
    asio::io_context context;
    net::LoopHttpClient client(context, net::HttpClientSettings{});
    Metrics metrics;
    PlatformStoreClient link(context, client, store.address(), metrics);
    std::optional<platform::StoreReply> answer;
    const auto take = [&](const auto &reply) { answer = reply; };
    isOnce ? link.listOnce("job", take) : link.list("job", take);
    while (!answer) {
        context.run_one();
    }
    return *answer;
}

} // namespace

// fqcc-berth-large, small twin: seven owners in turn never finished loading, since a listing of
// which one page failed began anew.
TEST(PlatformStoreClient, goesOnWithTheListWhereAPageFailed)
{
    PagedStore store({{"job/2", 2}});
    const auto reply = list(store);
    EXPECT_EQ(reply.outcome, platform::StoreOutcome::Done);
    EXPECT_EQ(reply.items.size(), 3U);
    EXPECT_EQ(reply.revision, 11U);
    const std::map<std::string, int> asked{{"", 1}, {"job/1", 1}, {"job/2", 3}};
    EXPECT_EQ(store.asked(), asked);
}

TEST(PlatformStoreClient, givesAListUpWhenAPageFailsForLong)
{
    PagedStore store({{"job/1", 1000}});
    EXPECT_EQ(list(store).outcome, platform::StoreOutcome::NotDone);
}

// A caller who asks for a queue's length is told at once that the store does not answer.
TEST(PlatformStoreClient, triesAPageOnceWhileSomebodyWaits)
{
    PagedStore store({{"job/1", 1}});
    EXPECT_EQ(list(store, true).outcome, platform::StoreOutcome::NotDone);
    EXPECT_EQ(store.asked().at("job/1"), 1);
}

} // namespace cyclamenlatch::control
