// Demand on one pool makes the spare pool of real processes lend a worker; judged by the leader's
// log and by the minions' own ledgers.
#include "tests/capacity/fleetprocesses.h"

namespace cyclamenlatch {
namespace {

using testing::FleetProcesses;

std::string lendingDocument(const std::vector<std::string> &minions)
{
    std::string workers;
    for (std::size_t index = 0; index < minions.size(); ++index) {
        workers += fmt::format("  - {{name: w-{0}, dataCentre: dc-a, rack: r-{0}, pool: {1}, "
                               "minion: \"{2}\", slots: 2}}\n",
                               index, index == 0 ? "swaps" : "spare", minions[index]);
    }
    return "dataCentres: [{name: dc-a}]\n"
           "pools:\n  - {name: swaps}\n  - {name: spare, spare: true, moveSeconds: 1}\n"
           "services: [{name: swaps, pool: swaps}]\n"
           "queues: [{name: q, service: swaps, open: true, timeoutMs: 20000}]\n"
           "workers:\n"
           + workers;
}

// The leader of the moves, by the lease in the store.
unsigned leaderOf(FleetProcesses &fleet)
{
    FleetProcesses::await([&] { return !fleet.stored("pool-leaders/fleet").first.empty(); });
    return fleet.stored("pool-leaders/fleet").first == "e-0" ? 0 : 1;
}

// Callers that each hand in one request after the other.
class Callers
{
public:
    Callers(std::string url, unsigned count)
        : m_url(std::move(url))
    {
        for (unsigned index = 0; index < count; ++index) {
            send();
        }
    }
    ~Callers()
    {
        m_stopping = true;
        while (m_open > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    unsigned failed() const { return m_failed; }

private:
    void send()
    {
        ++m_open;
        net::HttpCall call;
        call.method = "POST";
        call.url = m_url + "/v1/queues/q/requests";
        call.body = R"({"workMs": 100})";
        call.timeout = std::chrono::seconds(30);
        m_http.send(std::move(call), [this](const net::HttpCallResult &result) {
            const bool good = result.reply && result.reply->status == 200;
            m_failed += good ? 0 : 1;
            if (good && !m_stopping) {
                send();
            }
            --m_open;
        });
    }

    std::string m_url;
    std::atomic<bool> m_stopping = false;
    std::atomic<unsigned> m_open = 0;
    std::atomic<unsigned> m_failed = 0;
    // Declared last, so that its completions end before what they use does.
    net::HttpClient m_http{64};
};

TEST(Lending, demandOnOnePoolMakesTheSparePoolGiveAWorker)
{
    FleetProcesses fleet(2, 3, lendingDocument);
    fleet.startEntry(0);
    fleet.startEntry(1);
    const auto leader = leaderOf(fleet);
    const auto lentRuns = [&] { return fleet.ledgerOf(1, "runs") + fleet.ledgerOf(2, "runs"); };
    EXPECT_EQ(lentRuns(), 0U);
    // All through the entry that does not lead: the leader learns of the demand from its peer.
    Callers callers(fleet.url(1 - leader), 24);
    const auto decided = fleet.entry(leader).waitFor("E1504 move-decided: moved ");
    EXPECT_NE(decided.find(" from spare to swaps: expected wait saved "), std::string::npos)
            << decided;
    const auto moved = fleet.entry(leader).waitFor("E1503 worker-moved: ");
    EXPECT_NE(moved.find(" is serving in swaps, should be in swaps"), std::string::npos)
            << fleet.entry(leader).printed();
    FleetProcesses::await([&] { return lentRuns() > 0; });
    EXPECT_EQ(callers.failed(), 0U);
}

} // namespace
} // namespace cyclamenlatch
