// Tests of how long records of waves are kept.
#include "maintenance/recordjson.h"
#include "maintenance/waveretention.h"

#include <gtest/gtest.h>

namespace cyclamenlatch::maintenance {
namespace {

const WorkerId worker("w-1");

class FinishedWave
{
public:
    FinishedWave()
    {
        m_wave.wave = WaveId("wave-1");
        m_wave.state = WaveState::Done;
        m_wave.finished = 1000;
        add(waveKey(m_wave.wave), writeRecord(m_wave));
        addHost("w-1", HostStep::Done);
        addHost("w-2", HostStep::Done);
    }

    void addHost(const std::string &name, HostStep step)
    {
        HostRecord host;
        host.wave = m_wave.wave;
        host.worker = WorkerId(name);
        host.step = step;
        add(hostKey(host.wave, host.worker), writeRecord(host));
    }

    void add(const std::string &key, const std::string &value)
    {
        m_listing.items.push_back({key, value, "", ++m_listing.revision, false});
    }

    // Keys that are removed, in order, until nothing is left to remove.
    std::vector<std::string> removeAll(RecordTime now, std::size_t most)
    {
        std::vector<std::string> keys;
        for (;;) {
            MaintenanceRecords records;
            records.take(m_listing);
            const auto removals =
                    recordsToRemove(records, now, std::chrono::milliseconds(500), most);
            EXPECT_LE(removals.size(), most);
            if (removals.empty()) {
                return keys;
            }
            for (const auto &removal : removals) {
                keys.push_back(removal.key);
                std::erase_if(m_listing.items, [&](const store::StoreItem &item) {
                    return item.key == removal.key && item.revision == removal.expected;
                });
            }
        }
    }

private:
    WaveRecord m_wave;
    store::StoreListing m_listing;
};

TEST(WaveRetention, RemovesHostsAndThenTheWave)
{
    FinishedWave wave;
    EXPECT_TRUE(wave.removeAll(1400, 1).empty()) << "too early";
    const auto removed = wave.removeAll(1600, 1);
    ASSERT_EQ(removed.size(), 3U);
    EXPECT_EQ(removed.back(), "maintenance/waves/wave-1");
}

TEST(WaveRetention, KeepsWhatStillCounts)
{
    FinishedWave withAside;
    withAside.addHost("w-3", HostStep::SetAside);
    const auto removed = withAside.removeAll(1600, 10);
    EXPECT_EQ(removed.size(), 2U);
    FinishedWave withClaim;
    LedgerRecord ledger;
    ledger.claims.push_back({worker, WaveId("wave-1")});
    withClaim.add(ledgerKey("service.s"), writeRecord(ledger));
    EXPECT_TRUE(withClaim.removeAll(1600, 10).empty());
}

TEST(WaveRetention, AWaveOfTheSameNameRebootsAnew)
{
    HostRecord host;
    host.wave = WaveId("wave-1");
    host.worker = worker;
    host.waveStarted = 5;
    auto later = host;
    later.waveStarted = 6;
    EXPECT_NE(host.rebootAttempt(), later.rebootAttempt());
    EXPECT_EQ(readHostRecord(writeRecord(host)).value(), host);
}

} // namespace
} // namespace cyclamenlatch::maintenance
