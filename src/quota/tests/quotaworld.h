// Several entries, the store and the network between them, in virtual time. Every message and
// store answer may be lost, repeated, delayed and reordered; entries are paused, killed, restarted
// and stopped. Used by the tests of the quota agents.
#pragma once

#include "quota/quotaagent.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::quota {

inline constexpr Duration worldStep = std::chrono::milliseconds(50);
inline constexpr Duration worldLongestWork = std::chrono::seconds(3);
inline constexpr const char *worldWorkspace = "drivers";

class QuotaWorld
{
public:
    QuotaWorld(unsigned entries, unsigned dataCentres, std::uint64_t seed)
        : m_random(seed)
        , m_dataCentres(dataCentres)
        , m_entries(entries)
    {
        for (unsigned index = 0; index < entries; ++index) {
            start(index);
        }
    }

    // Chance in percent that a message is lost, and that it is repeated.
    unsigned lossPercent = 0;
    unsigned repeatPercent = 0;
    unsigned maxDelaySteps = 1;
    // Chance in percent that the answer to a write is lost after it took effect.
    unsigned loseAnswerPercent = 0;
    bool storeDown = false;
    // Data centres that cannot reach the others.
    std::set<unsigned> cut;

    void setLimit(unsigned limit)
    {
        m_limit = limit;
        ++m_fleetRevision;
    }

    void start(unsigned index)
    {
        auto &entry = m_entries[index];
        if (entry.agent) {
            return;
        }
        QuotaAgentSettings settings;
        settings.self = {EntryId("e-" + std::to_string(index)), ++m_incarnation};
        settings.dataCentre = dataCentreOf(index);
        settings.address = "127.0.0.1:" + std::to_string(index);
        settings.longestWork = worldLongestWork;
        settings.host = {"h-" + std::to_string(index), m_replacements[index]};
        entry = Entry{};
        entry.agent = std::make_unique<QuotaAgent>(settings);
    }

    // The process ends at once; its work goes on for up to the longest time.
    void kill(unsigned index)
    {
        auto &entry = m_entries[index];
        if (!entry.agent) {
            return;
        }
        m_orphans.push_back({running(index), m_now + worldLongestWork});
        entry.agent.reset();
    }

    // The platform gives the entry's address to another host; the process ends with the old one.
    void replaceHost(unsigned index)
    {
        kill(index);
        ++m_replacements[index];
    }

    // Tells the entry what an operator says, which is true only of entries that don't run.
    Result<GoneNote> say(unsigned to, const GoneSubject &subject)
    {
        return m_entries[to].agent->takeOperatorsWord(subject);
    }

    // Every entry sees the platform's list as it was this many replacements ago.
    void showHosts(std::uint64_t lag = 0)
    {
        std::vector<store::HostStatus> hosts;
        for (const auto &[index, count] : m_replacements) {
            store::HostStatus host;
            host.worker = WorkerId("h-" + std::to_string(index));
            host.replacements = count - std::min(lag, count);
            hosts.push_back(host);
        }
        for (auto &entry : m_entries) {
            if (entry.agent && !entry.paused) {
                entry.agent->takeHostList(hosts);
            }
        }
    }

    void pause(unsigned index, bool paused) { m_entries[index].paused = paused; }
    void leave(unsigned index) { m_entries[index].leaving = true; }

    // The entry keeps this much work running where it can.
    void demand(unsigned index, unsigned units) { m_entries[index].demand = units; }

    void step()
    {
        m_now += worldStep;
        deliverMessages();
        answerWrites();
        for (unsigned index = 0; index < m_entries.size(); ++index) {
            if (m_entries[index].agent && !m_entries[index].paused) {
                stepEntry(index);
            }
        }
        std::erase_if(m_orphans, [this](const Orphans &orphans) { return orphans.end <= m_now; });
    }

    void run(Duration time)
    {
        for (Duration passed{}; passed < time; passed += worldStep) {
            step();
        }
    }

    unsigned running(unsigned index) const
    {
        const auto &agent = m_entries[index].agent;
        return agent ? agent->node().use(limitOf(WorkspaceId(worldWorkspace))).running : 0;
    }

    unsigned held(unsigned index) const
    {
        const auto &agent = m_entries[index].agent;
        return agent ? agent->node().use(limitOf(WorkspaceId(worldWorkspace))).held : 0;
    }

    // All work running, that of dead and paused entries included.
    unsigned totalRunning() const
    {
        unsigned total = 0;
        for (unsigned index = 0; index < m_entries.size(); ++index) {
            total += running(index);
        }
        for (const auto &orphans : m_orphans) {
            total += orphans.units;
        }
        return total;
    }

    // The ledger as the store holds it.
    const QuotaLedger &ledger() const { return m_ledger; }

    bool alive(unsigned index) const { return m_entries[index].agent != nullptr; }
    unsigned entries() const { return static_cast<unsigned>(m_entries.size()); }
    std::uint64_t writes() const { return m_writes; }
    // Work started so far.
    std::uint64_t starts() const { return m_starts; }

private:
    struct Entry
    {
        std::unique_ptr<QuotaAgent> agent;
        bool paused = false;
        bool leaving = false;
        unsigned demand = 0;
    };
    struct Orphans
    {
        unsigned units = 0;
        TimePoint end;
    };
    struct Datagram
    {
        unsigned from = 0;
        QuotaHolder sender;
        QuotaHolder to;
        QuotaMessage message;
        TimePoint due;
    };
    struct Write
    {
        QuotaHolder writer;
        unsigned index = 0;
        store::StoreWrite write;
        TimePoint due;
    };

    DataCentreId dataCentreOf(unsigned index) const
    {
        return DataCentreId("dc-" + std::to_string(index % m_dataCentres));
    }

    bool chance(unsigned percent) { return uniformBelow(m_random, 100) < percent; }

    bool reachable(unsigned left, unsigned right) const
    {
        const auto a = left % m_dataCentres;
        const auto b = right % m_dataCentres;
        return a == b || (!cut.contains(a) && !cut.contains(b));
    }

    bool storeReachable(unsigned index) const
    {
        return !storeDown && !cut.contains(index % m_dataCentres);
    }

    TimePoint someTimeLater()
    {
        return m_now + worldStep * (1 + uniformBelow(m_random, maxDelaySteps));
    }

    void stepEntry(unsigned index)
    {
        auto &entry = m_entries[index];
        auto &agent = *entry.agent;
        FleetLimits limits;
        limits.revision = m_fleetRevision;
        limits.dataCentres = m_dataCentres;
        limits.units[worldWorkspace] = m_limit;
        agent.setFleet(limits);
        if (storeReachable(index) && chance(70)) {
            for (const auto &[key, item] : m_store) {
                agent.takeItem(item, m_now);
            }
            agent.setListed();
        }
        setLive(index);
        work(index);
        if (entry.leaving) {
            agent.leave();
        }
        auto actions = agent.tick(m_now, m_random);
        for (auto &outgoing : actions.messages) {
            send(index, std::move(outgoing));
        }
        for (auto &write : actions.writes) {
            m_pendingWrites.push_back(
                    {agent.node().self(), index, std::move(write), someTimeLater()});
        }
        if (entry.leaving && agent.hasLeft()) {
            entry.agent.reset();
        }
    }

    // Ends some work at random and starts what the demand asks for.
    void work(unsigned index)
    {
        auto &entry = m_entries[index];
        auto &node = entry.agent->node();
        const auto resource = limitOf(WorkspaceId(worldWorkspace));
        const auto target = entry.leaving ? 0 : entry.demand;
        for (auto count = node.use(resource).running; count > 0; --count) {
            if (chance(20) || count > target) {
                node.release(resource);
            }
        }
        while (node.use(resource).running < target && node.tryAcquire(resource)) {
            ++m_starts;
        }
    }

    void setLive(unsigned self)
    {
        std::vector<QuotaPeer> live;
        for (unsigned index = 0; index < m_entries.size(); ++index) {
            const auto &entry = m_entries[index];
            const bool serving = entry.agent && !entry.paused && !entry.leaving;
            if (index != self && serving && reachable(self, index)) {
                live.push_back({entry.agent->node().self(), dataCentreOf(index)});
            }
        }
        m_entries[self].agent->setLive(std::move(live));
    }

    void send(unsigned from, QuotaOutgoing outgoing)
    {
        const auto sender = m_entries[from].agent->node().self();
        const unsigned copies = chance(lossPercent) ? 0 : chance(repeatPercent) ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy) {
            m_datagrams.push_back({from, sender, outgoing.to, outgoing.message, someTimeLater()});
        }
    }

    void deliverMessages()
    {
        auto datagrams = std::exchange(m_datagrams, {});
        for (auto &datagram : datagrams) {
            if (datagram.due > m_now) {
                m_datagrams.push_back(std::move(datagram));
                continue;
            }
            for (unsigned index = 0; index < m_entries.size(); ++index) {
                auto &entry = m_entries[index];
                const bool addressed =
                        entry.agent && entry.agent->node().self().entry == datagram.to.entry;
                if (addressed && !entry.paused && reachable(datagram.from, index)) {
                    entry.agent->receive(datagram.sender, datagram.message, m_now);
                } else if (addressed && entry.paused) {
                    // The socket's buffer keeps it until the process wakes up.
                    datagram.due = someTimeLater();
                    m_datagrams.push_back(datagram);
                }
            }
        }
    }

    void answerWrites()
    {
        auto writes = std::exchange(m_pendingWrites, {});
        for (auto &pending : writes) {
            auto &entry = m_entries[pending.index];
            const bool writerLives = entry.agent && entry.agent->node().self() == pending.writer;
            if (pending.due > m_now || (writerLives && entry.paused)) {
                m_pendingWrites.push_back(std::move(pending));
                continue;
            }
            const bool reached = storeReachable(pending.index);
            const auto revision = reached ? apply(pending.write) : 0;
            if (!writerLives) {
                continue;
            }
            const bool lost = !reached || chance(loseAnswerPercent);
            const auto result = lost           ? WriteResult::Unknown
                                : revision > 0 ? WriteResult::Done
                                               : WriteResult::NotDone;
            entry.agent->takeWriteResult(pending.write, result, revision, m_now, m_random);
        }
    }

    // Returns the new revision, or 0 when the key has another one than expected.
    store::StoreRevision apply(const store::StoreWrite &write)
    {
        auto &item = m_store[write.key];
        ++m_writes;
        if (item.revision != write.expected) {
            return 0;
        }
        item.key = write.key;
        item.value = write.value;
        item.revision = ++m_revision;
        if (write.key == std::string(ledgerPrefix) + worldWorkspace) {
            m_ledger = ledgerFromJson(write.value).value_or(QuotaLedger{});
        }
        return m_revision;
    }

    Random m_random;
    unsigned m_dataCentres;
    std::vector<Entry> m_entries;
    // By the index of the host's entry.
    std::map<unsigned, std::uint64_t> m_replacements;
    TimePoint m_now{};
    unsigned m_limit = 0;
    std::uint64_t m_fleetRevision = 0;
    std::uint64_t m_incarnation = 0;
    std::vector<Orphans> m_orphans;
    std::deque<Datagram> m_datagrams;
    std::deque<Write> m_pendingWrites;
    std::map<std::string, store::StoreItem> m_store;
    // Read from the store's item when that changes, which is far less often than it is looked at.
    QuotaLedger m_ledger;
    store::StoreRevision m_revision = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_starts = 0;
};

} // namespace cyclamenlatch::quota
