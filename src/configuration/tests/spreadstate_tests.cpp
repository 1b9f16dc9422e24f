// The spread's decisions over a simulated network that loses, repeats and reorders messages:
// nothing reverts, and once the network is whole everything converges.
#include "configuration/spreadstate.h"

#include "configuration/confighead.h"
#include "configuration/contenthash.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::configuration {
namespace {

using membership::PeerAddress;
using store::StoreListing;
using store::StoreRevision;

constexpr TimePoint start{std::chrono::hours(1)};

PeerAddress makeAddress(unsigned index, unsigned dataCentres)
{
    return {EntryId("e-" + std::to_string(index)),
            DataCentreId("dc-" + std::to_string(index % dataCentres)), "127.0.0.1", 1};
}

struct Flight
{
    std::size_t from = 0;
    std::size_t to = 0;
    ConfigMessage message;
};

struct Network
{
    unsigned lossPercent = 0;
    unsigned repeatPercent = 0;
};

// Entries, a store and a network in one process, driven by one clock.
class Simulation
{
public:
    Simulation(unsigned entries, unsigned dataCentres, std::uint64_t seed)
        : m_random(seed)
    {
        for (unsigned index = 0; index < entries; ++index) {
            m_addresses.push_back(makeAddress(index, dataCentres));
        }
        for (unsigned index = 0; index < entries; ++index) {
            m_entries.push_back(makeEntry(index));
            m_inForce.push_back(0);
        }
    }

    void writeRevision(const std::string &document)
    {
        m_store.revision += 1;
        m_store.items = {{.key = headKey, .value = document, .revision = m_store.revision}};
    }

    void restart(std::size_t index)
    {
        m_entries[index] = makeEntry(index);
        m_inForce[index] = 0;
        ++m_incarnations[index];
    }

    void withdraw(std::size_t index, const std::string &id)
    {
        perform(index, m_entries[index].withdraw({KeyId(id)}));
    }

    void run(unsigned ticks)
    {
        for (unsigned tick = 0; tick < ticks; ++tick) {
            now += tickInterval;
            for (std::size_t index = 0; index < m_entries.size(); ++index) {
                perform(index, m_entries[index].tick(now, m_random));
            }
            answerReads();
            deliverAll();
        }
    }

    bool isEverywhere(StoreRevision revision) const
    {
        return std::all_of(m_inForce.begin(), m_inForce.end(),
                           [revision](StoreRevision inForce) { return inForce == revision; });
    }

    const SpreadState &entry(std::size_t index) const { return m_entries[index]; }

    Network network;
    bool storeIsUp = true;
    TimePoint now = start;
    // Set when an entry published a revision below the one in force there.
    bool reverted = false;

private:
    SpreadState makeEntry(std::size_t index)
    {
        SpreadState state(m_addresses[index], now);
        std::vector<PeerAddress> peers;
        for (std::size_t other = 0; other < m_addresses.size(); ++other) {
            if (other != index) {
                peers.push_back(m_addresses[other]);
            }
        }
        state.setPeers(peers);
        return state;
    }

    // Answers come after the actions of the tick that asked, as from a real store.
    void answerReads()
    {
        for (const auto index : std::exchange(m_reads, {})) {
            perform(index, storeIsUp ? m_entries[index].takeListing(m_store, now, now)
                                     : m_entries[index].failRead(now, m_random));
        }
    }

    void deliverAll()
    {
        constexpr unsigned maxDeliveries = 100000;
        for (unsigned count = 0; !m_flights.empty() && count < maxDeliveries; ++count) {
            const auto chosen =
                    uniformBelow(m_random, static_cast<std::uint32_t>(m_flights.size()));
            const auto flight = m_flights[chosen];
            if (uniformBelow(m_random, 100) >= network.repeatPercent) {
                m_flights.erase(m_flights.begin() + chosen);
            }
            if (uniformBelow(m_random, 100) < network.lossPercent) {
                continue;
            }
            perform(flight.to, m_entries[flight.to].receive(m_addresses[flight.from].entry,
                                                            m_incarnations[flight.from],
                                                            flight.message, now, m_random));
        }
    }

    void perform(std::size_t index, const SpreadActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                for (std::size_t to = 0; to < m_addresses.size(); ++to) {
                    if (m_addresses[to].entry == send->to) {
                        m_flights.push_back({index, to, send->message});
                    }
                }
            } else if (const auto *publish = std::get_if<PublishFleet>(&action)) {
                reverted = reverted || publish->revision < m_inForce[index];
                m_inForce[index] = publish->revision;
                perform(index, m_entries[index].putInForce(publish->revision));
            } else if (std::holds_alternative<ReadStore>(action)) {
                m_reads.push_back(index);
            }
        }
    }

    Random m_random;
    std::vector<PeerAddress> m_addresses;
    std::vector<SpreadState> m_entries;
    std::vector<StoreRevision> m_inForce;
    std::map<std::size_t, std::uint64_t> m_incarnations;
    std::vector<Flight> m_flights;
    // Entries that have asked the store.
    std::vector<std::size_t> m_reads;
    StoreListing m_store;
};

RC_GTEST_PROP(SpreadState, convergesAndNeverRevertsOverABadNetwork, (std::uint64_t seed))
{
    Simulation simulation(6, 3, seed);
    Random random(seed + 1);
    simulation.network = {uniformBelow(random, 60), uniformBelow(random, 30)};
    const auto changes = 1 + uniformBelow(random, 5);
    for (unsigned change = 0; change < changes; ++change) {
        // Longer than a chunk, so that pulls take several messages.
        simulation.writeRevision(std::string(40000, static_cast<char>('a' + change)));
        simulation.withdraw(uniformBelow(random, 6), "k-" + std::to_string(change));
        simulation.storeIsUp = uniformBelow(random, 3) > 0;
        simulation.run(uniformBelow(random, 20));
        if (uniformBelow(random, 3) == 0) {
            simulation.restart(uniformBelow(random, 6));
        }
        RC_ASSERT(!simulation.reverted);
    }
    simulation.network = {};
    simulation.storeIsUp = true;
    simulation.run(60);
    RC_ASSERT(!simulation.reverted);
    RC_ASSERT(simulation.isEverywhere(changes));
    for (std::size_t index = 1; index < 6; ++index) {
        RC_ASSERT(simulation.entry(index).withdrawn() == simulation.entry(0).withdrawn());
    }
}

TEST(SpreadState, startsFromPeersWhileTheStoreIsDown)
{
    Simulation simulation(3, 3, 7);
    simulation.writeRevision("pools: []");
    simulation.run(20);
    ASSERT_TRUE(simulation.isEverywhere(1));
    simulation.storeIsUp = false;
    simulation.restart(1);
    EXPECT_FALSE(simulation.entry(1).unreadyReason().empty());
    simulation.run(20);
    EXPECT_TRUE(simulation.isEverywhere(1));
    EXPECT_EQ(simulation.entry(1).unreadyReason(), "");
}

TEST(SpreadState, ignoresOldAnswersOfTheStoreRightAfterAStart)
{
    SpreadState state(makeAddress(0, 1), start);
    state.setPeers({makeAddress(1, 1)});
    Random random(1);
    const StoreListing old{4, {{.key = headKey, .value = "old", .revision = 4}}};
    for (const auto &action : state.takeListing(old, start, start)) {
        EXPECT_FALSE(std::holds_alternative<PublishFleet>(action));
    }
    Digest digest;
    digest.knownRevision = 9;
    digest.head = contentHash(ConfigHead{{contentHash("new")}}.toText());
    state.receive(EntryId("e-1"), 1, digest, start, random);
    EXPECT_EQ(state.knownRevision(), 9U);
    const StoreListing older{5, {{.key = headKey, .value = "older", .revision = 5}}};
    state.takeListing(older, start, start);
    EXPECT_EQ(state.knownRevision(), 9U);
}

TEST(SpreadState, isFreshOnlyWithEvidenceFromEveryDataCentre)
{
    Simulation simulation(3, 3, 11);
    simulation.writeRevision("pools: []");
    simulation.run(20);
    EXPECT_TRUE(simulation.entry(0).isFresh(simulation.now));
    simulation.storeIsUp = false;
    simulation.run(60);
    EXPECT_TRUE(simulation.entry(0).isFresh(simulation.now));
    simulation.network.lossPercent = 100;
    simulation.run(40);
    EXPECT_FALSE(simulation.entry(0).isFresh(simulation.now));
    simulation.network.lossPercent = 0;
    simulation.run(10);
    EXPECT_TRUE(simulation.entry(0).isFresh(simulation.now));
}

TEST(SpreadState, asksFewPeersInARoundWithoutAConfigurationAfterTheStart)
{
    constexpr unsigned entries = 96;
    constexpr unsigned dataCentres = 4;
    // One of each data centre, the relay, and eight that have not answered.
    constexpr std::size_t most = dataCentres + 1 + 8;
    SpreadState state(makeAddress(0, dataCentres), start);
    std::vector<PeerAddress> peers;
    for (unsigned index = 1; index < entries; ++index) {
        peers.push_back(makeAddress(index, dataCentres));
    }
    state.setPeers(peers);
    Random random(1);
    const auto questions = [&](TimePoint now) {
        std::set<EntryId> asked;
        for (const auto &action : state.tick(now, random)) {
            if (const auto *send = std::get_if<SendMessage>(&action)) {
                EXPECT_TRUE(asked.insert(send->to).second) << "asked twice in a round";
            }
        }
        return asked.size();
    };
    EXPECT_EQ(questions(start), entries - 1);
    const auto later = questions(start + std::chrono::seconds(2));
    EXPECT_GE(later, 8U);
    EXPECT_LE(later, most);
    for (const auto &peer : peers) {
        state.receive(peer.entry, 1, Digest{}, start + std::chrono::seconds(2), random);
    }
    EXPECT_LE(questions(start + std::chrono::seconds(3)), dataCentres + 1);
}

TEST(SpreadState, takesNoEvidenceFromAnAnswerThatWasHeldBack)
{
    SpreadState state(makeAddress(0, 2), start);
    state.setPeers({makeAddress(1, 2)});
    Random random(1);
    Digest question;
    for (const auto &action : state.tick(start, random)) {
        if (const auto *send = std::get_if<SendMessage>(&action)) {
            question = std::get<Digest>(send->message);
        }
    }
    auto answer = question;
    answer.isQuestion = false;
    const auto late = start + freshnessBound * 2;
    state.receive(EntryId("e-1"), 1, answer, late, random);
    EXPECT_FALSE(state.isFresh(late));
    EXPECT_TRUE(state.isFresh(start + freshnessBound / 2));
}

} // namespace
} // namespace cyclamenlatch::configuration
