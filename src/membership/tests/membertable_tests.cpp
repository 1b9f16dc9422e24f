// Members are learnt through others, suspected when silent, and never mistaken for an earlier life.
#include "membership/membertable.h"
#include "membership/peermessage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <set>

namespace cyclamenlatch::membership {
namespace {

Member memberOf(unsigned index, std::uint64_t incarnation = 1)
{
    Member member;
    member.address = {EntryId("e-" + std::to_string(index)), DataCentreId("dc-a"), "127.0.0.1",
                      static_cast<std::uint16_t>(7000 + index)};
    member.incarnation = incarnation;
    return member;
}

// Tables that exchange digests in virtual time; pairs in cuts lose messages in that direction.
class Gossip
{
public:
    explicit Gossip(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index) {
            m_tables.emplace_back(MemberTableSettings{}, memberOf(index));
            m_tables.back().addSeeds({memberOf(0).address});
        }
    }

    void run(unsigned periods)
    {
        for (unsigned period = 0; period < periods; ++period) {
            now += MemberTableSettings{}.period;
            for (unsigned index = 0; index < m_tables.size(); ++index) {
                if (!stopped.contains(index)) {
                    deliver(index, m_tables[index].tick(now, m_random));
                }
            }
        }
    }

    void deliver(unsigned from, const std::vector<OutgoingDigest> &digests)
    {
        for (const auto &outgoing : digests) {
            const auto to = static_cast<unsigned>(std::stoul(outgoing.to.value().substr(2)));
            if (!stopped.contains(to) && !cuts.contains({from, to})) {
                bytes += encode(outgoing.digest).size();
                m_tables[to].receive(outgoing.digest, now);
            }
        }
    }

    bool sees(unsigned from, unsigned other)
    {
        const auto live = m_tables[from].live(now);
        return std::any_of(live.begin(), live.end(), [other](const Member &member) {
            return member.address.entry == memberOf(other).address.entry;
        });
    }

    MemberTable &table(unsigned index) { return m_tables[index]; }

    TimePoint now{};
    std::set<unsigned> stopped;
    std::set<std::pair<unsigned, unsigned>> cuts;
    std::uint64_t bytes = 0;

private:
    std::deque<MemberTable> m_tables;
    Random m_random{7};
};

TEST(MemberTable, everybodyLearnsOfEverybodyFromOneSeed)
{
    constexpr unsigned entries = 96;
    constexpr unsigned periods = 40;
    constexpr double maxBytesPerSecond = 21000;
    Gossip gossip(entries);
    gossip.run(periods);
    for (unsigned period = 0; period < periods; ++period) {
        for (unsigned index = 0; index < entries; ++index) {
            ASSERT_EQ(gossip.table(index).live(gossip.now).size(), entries - 1) << index;
        }
        gossip.bytes = 0;
        gossip.run(1);
        // Sent and received.
        EXPECT_LT(2.0 * static_cast<double>(gossip.bytes) / entries, maxBytesPerSecond);
    }
}

TEST(MemberTable, silentMemberIsSuspectedAndTakenBackWhenHeard)
{
    Gossip gossip(4);
    gossip.run(5);
    gossip.stopped.insert(3);
    gossip.run(10);
    EXPECT_FALSE(gossip.sees(1, 3));
    gossip.stopped.erase(3);
    gossip.run(5);
    EXPECT_TRUE(gossip.sees(1, 3));
    EXPECT_TRUE(gossip.sees(3, 1)) << "a paused process does not suspect everybody";
}

TEST(MemberTable, asymmetricCutIsBridgedByOthers)
{
    Gossip gossip(4);
    gossip.run(5);
    gossip.cuts = {{1, 2}};
    gossip.run(20);
    EXPECT_TRUE(gossip.sees(2, 1));
    EXPECT_TRUE(gossip.sees(1, 2));
}

TEST(MemberTable, partitionSuspectsTheOtherSideOnly)
{
    Gossip gossip(4);
    gossip.run(5);
    gossip.cuts = {{0, 2}, {0, 3}, {1, 2}, {1, 3}, {2, 0}, {2, 1}, {3, 0}, {3, 1}};
    gossip.run(10);
    EXPECT_TRUE(gossip.sees(0, 1));
    EXPECT_TRUE(gossip.sees(2, 3));
    EXPECT_FALSE(gossip.sees(0, 2));
    gossip.cuts.clear();
    gossip.run(10);
    EXPECT_TRUE(gossip.sees(0, 2));
}

TEST(MemberTable, leavingIsFinalForOneLife)
{
    MemberTable table(MemberTableSettings{}, memberOf(0));
    const TimePoint now{std::chrono::seconds(1)};
    auto member = memberOf(1);
    member.heartbeat = 5;
    member.leaving = true;
    table.receive({{member}}, now);
    EXPECT_TRUE(table.live(now).empty());
    member.heartbeat = 6;
    member.leaving = false;
    table.receive({{member}}, now);
    EXPECT_TRUE(table.live(now).empty());
    table.receive({{memberOf(1, 2)}}, now);
    ASSERT_EQ(table.live(now).size(), 1U);
    member.heartbeat = 100;
    table.receive({{member}}, now);
    EXPECT_EQ(table.live(now).front().incarnation, 2U) << "an earlier life came back";
}

} // namespace
} // namespace cyclamenlatch::membership
