// One planning pass over a wave. Why each write is safe against leaders that act on an old
// reading is said at HostStep.
#include "maintenance/waveplanner.h"

#include "maintenance/recordjson.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace cyclamenlatch::maintenance {

namespace {

// Failures found this soon after a start or resume were there before, and don't pause the wave.
constexpr RecordTime settleTime = 3000;

class WavePass
{
public:
    WavePass(const WaveView &view, RecordTime now)
        : m_view(view)
        , m_wave(view.wave.record)
        , m_now(now)
        , m_running(view.wave.record.state == WaveState::Running)
    {}

    std::vector<WaveAction> run()
    {
        loadLedgers();
        noteOutages();
        countOut();
        pauseOnFailures();
        for (const auto &worker : m_wave.hosts) {
            if (isOurs(worker)) {
                advance(worker);
            }
        }
        finishWave();
        writeLedgers();
        return std::move(m_actions);
    }

private:
    struct Ledger
    {
        LedgerRecord record;
        store::StoreRevision revision = 0;
        // Workers that are out by claim, outage or observation, those taken in this pass too.
        std::set<WorkerId> out;
        // Of those, the workers that this pass takes back. They still count against steps
        // forward, because the write that takes them back may fail.
        std::size_t returning = 0;
        bool changed = false;
    };

    void loadLedgers()
    {
        m_ledgers.resize(m_view.budgets.budgets.size());
        for (std::size_t index = 0; index < m_ledgers.size(); ++index) {
            const auto found = m_view.ledgers.find(m_view.budgets.budgets[index].name);
            if (found != m_view.ledgers.end()) {
                m_ledgers[index].record = found->second.record;
                m_ledgers[index].revision = found->second.revision;
            }
        }
    }

    // Brings this data centre's outages up to date. A claimed worker is counted by its claim.
    void noteOutages()
    {
        for (auto &ledger : m_ledgers) {
            const auto removed = std::erase_if(ledger.record.outages, [&](const Outage &outage) {
                return outage.dataCentre == m_view.dataCentre
                       && !m_view.observed.unhealthy.contains(outage.worker);
            });
            ledger.changed = ledger.changed || removed > 0;
        }
        for (const auto &worker : m_view.observed.unhealthy) {
            if (!isInOurDataCentre(worker)) {
                continue;
            }
            for (const auto index : touched(worker)) {
                auto &ledger = m_ledgers[index];
                if (!ledger.record.hasClaim(worker) && !ledger.record.hasOutage(worker)) {
                    ledger.record.outages.push_back({worker, m_view.dataCentre, outageTime()});
                    ledger.changed = true;
                }
            }
        }
    }

    RecordTime outageTime() const
    {
        return m_now - m_wave.resumed < settleTime ? m_wave.resumed - 1 : m_now;
    }

    void countOut()
    {
        for (auto &ledger : m_ledgers) {
            for (const auto &claim : ledger.record.claims) {
                ledger.out.insert(claim.worker);
            }
            for (const auto &outage : ledger.record.outages) {
                ledger.out.insert(outage.worker);
            }
        }
        for (const auto &worker : m_view.observed.unhealthy) {
            for (const auto index : touched(worker)) {
                m_ledgers[index].out.insert(worker);
            }
        }
    }

    void pauseOnFailures()
    {
        if (!m_running) {
            return;
        }
        const auto failed = recentFailures();
        if (failed.empty() || failed.size() < m_wave.settings.failuresToPause) {
            return;
        }
        std::string names;
        for (const auto &worker : failed) {
            names += (names.empty() ? "" : ", ") + worker.value();
        }
        auto wave = m_wave;
        wave.state = WaveState::Paused;
        wave.reason = fmt::format("{} hosts failed within {} s: {}", failed.size(),
                                  m_wave.settings.failureWindow.count() / 1000, names);
        write(waveKey(wave.wave), writeRecord(wave), m_view.wave.revision);
        m_running = false;
        m_waveWritten = true;
    }

    std::set<WorkerId> recentFailures() const
    {
        const auto from =
                std::max(m_wave.resumed, m_now - RecordTime{m_wave.settings.failureWindow.count()});
        std::set<WorkerId> failed;
        for (const auto &ledger : m_ledgers) {
            for (const auto &outage : ledger.record.outages) {
                if (outage.since >= from && !ledger.record.hasClaim(outage.worker)) {
                    failed.insert(outage.worker);
                }
            }
        }
        for (const auto &[worker, host] : m_view.hosts) {
            if (host.record.step == HostStep::SetAside && host.record.since >= from) {
                failed.insert(worker);
            }
        }
        return failed;
    }

    void advance(const WorkerId &worker)
    {
        const auto host = hostOf(worker);
        switch (host.record.step) {
        case HostStep::Pending:
            return take(host);
        case HostStep::Claiming:
            return claim(host);
        case HostStep::Leaving:
            return leave(host);
        case HostStep::Rebooting:
            return reboot(host);
        case HostStep::SlowStart:
            return slowStart(host);
        case HostStep::Done:
            return removeClaims(worker);
        case HostStep::Releasing:
            return release(host);
        case HostStep::SetAside:
            return setAside(host);
        }
    }

    void take(const Versioned<HostRecord> &host)
    {
        const auto &worker = host.record.worker;
        if (m_wave.state == WaveState::Done) {
            return;
        }
        if (!m_view.placement.contains(worker)) {
            return moveTo(host, HostStep::SetAside, "the host has left the fleet");
        }
        if (hasAnyClaim(worker)) {
            return moveTo(host, HostStep::Releasing, "a claim was left over");
        }
        if (m_running && !isClaimedByOther(worker) && hasRoom(worker)) {
            moveTo(host, HostStep::Claiming, "");
            addClaims(worker);
        }
    }

    void claim(const Versioned<HostRecord> &host)
    {
        const auto &worker = host.record.worker;
        if (!m_running || !m_view.placement.contains(worker) || isClaimedByOther(worker)) {
            return moveTo(host, HostStep::Releasing, "");
        }
        if (hasAllStoredClaims(worker)) {
            return isOverfull(worker) ? makeRoom(host) : moveTo(host, HostStep::Leaving, "");
        }
        if (!hasRoom(worker)) {
            return takeBack(host, "another host took the place");
        }
        addClaims(worker);
    }

    void leave(const Versioned<HostRecord> &host)
    {
        const auto &worker = host.record.worker;
        if (!m_running) {
            return takeBack(host, "the wave is paused");
        }
        if (isOverfull(worker)) {
            return makeRoom(host);
        }
        const auto quiet = m_view.observed.quiet.find(worker);
        if (quiet != m_view.observed.quiet.end() && quiet->second == host.revision) {
            moveTo(host, HostStep::Rebooting, "");
        }
    }

    // The reboot is recorded before it is asked for, so that asking again, also by a leader
    // whose lease has lapsed, names the same attempt and changes nothing.
    void reboot(const Versioned<HostRecord> &host)
    {
        const bool finished = m_view.observed.finishedReboots.contains(host.record.rebootAttempt());
        if (finished && !m_view.observed.unhealthy.contains(host.record.worker)) {
            return moveTo(host, HostStep::SlowStart, "");
        }
        if (isOverdue(host)) {
            return moveTo(host, HostStep::SetAside,
                          finished ? "rebooted, but its minion does not answer"
                                   : "the platform has not finished its reboot");
        }
        if (!finished) {
            m_actions.push_back(RebootRequest{host.record.worker, host.record.rebootAttempt()});
        }
    }

    void slowStart(const Versioned<HostRecord> &host)
    {
        if (m_view.observed.unhealthy.contains(host.record.worker)) {
            if (isOverdue(host)) {
                moveTo(host, HostStep::SetAside, "the host failed after its reboot");
            }
            return;
        }
        if (m_now - host.record.since >= m_wave.settings.slowStart.count()) {
            moveTo(host, HostStep::Done, "");
        }
    }

    void release(const Versioned<HostRecord> &host)
    {
        if (hasAnyClaim(host.record.worker)) {
            return removeClaims(host.record.worker);
        }
        moveTo(host, HostStep::Pending, host.record.note);
    }

    void setAside(const Versioned<HostRecord> &host)
    {
        const auto &worker = host.record.worker;
        if (m_view.observed.finishedReboots.contains(host.record.rebootAttempt())
            && !m_view.observed.unhealthy.contains(worker)) {
            return moveTo(host, HostStep::SlowStart, "came back late");
        }
        if (m_wave.state == WaveState::Done) {
            removeClaims(worker);
        }
    }

    // Takes the host back when that is still needed after those taken back before it.
    void makeRoom(const Versioned<HostRecord> &host)
    {
        const auto &indexes = touched(host.record.worker);
        const bool needed = std::any_of(indexes.begin(), indexes.end(), [&](std::size_t index) {
            const auto &ledger = m_ledgers[index];
            return ledger.out.size() - ledger.returning > m_view.budgets.budgets[index].maxOut;
        });
        if (needed) {
            takeBack(host, "a host failed");
        }
    }

    void takeBack(const Versioned<HostRecord> &host, const std::string &note)
    {
        for (const auto index : touched(host.record.worker)) {
            auto &ledger = m_ledgers[index];
            ledger.returning += ledger.out.contains(host.record.worker) ? 1 : 0;
        }
        moveTo(host, HostStep::Releasing, note);
    }

    void finishWave()
    {
        if (m_wave.state == WaveState::Done || m_waveWritten) {
            return;
        }
        for (const auto &worker : m_wave.hosts) {
            if (!isFinal(hostOf(worker).record.step)) {
                return;
            }
        }
        auto wave = m_wave;
        wave.state = WaveState::Done;
        wave.reason.clear();
        wave.finished = m_now;
        write(waveKey(wave.wave), writeRecord(wave), m_view.wave.revision);
    }

    void writeLedgers()
    {
        for (std::size_t index = 0; index < m_ledgers.size(); ++index) {
            const auto &ledger = m_ledgers[index];
            if (ledger.changed) {
                write(ledgerKey(m_view.budgets.budgets[index].name), writeRecord(ledger.record),
                      ledger.revision);
            }
        }
    }

    void moveTo(const Versioned<HostRecord> &host, HostStep step, std::string note)
    {
        auto record = host.record;
        record.step = step;
        record.since = m_now;
        record.note = std::move(note);
        if (step == HostStep::Claiming) {
            record.started = m_now;
        }
        write(hostKey(record.wave, record.worker), writeRecord(record), host.revision);
    }

    void write(std::string key, std::string value, store::StoreRevision expected)
    {
        m_actions.push_back(store::StoreWrite{std::move(key), std::move(value), expected, ""});
    }

    void addClaims(const WorkerId &worker)
    {
        for (const auto index : touched(worker)) {
            auto &ledger = m_ledgers[index];
            ledger.out.insert(worker);
            if (!ledger.record.hasClaim(worker)) {
                ledger.record.claims.push_back({worker, m_wave.wave});
                ledger.changed = true;
            }
        }
    }

    // Looks at every ledger: budgets may have changed since the claim was entered.
    void removeClaims(const WorkerId &worker)
    {
        for (auto &ledger : m_ledgers) {
            const auto removed = std::erase(ledger.record.claims, Claim{worker, m_wave.wave});
            ledger.changed = ledger.changed || removed > 0;
        }
    }

    bool hasAnyClaim(const WorkerId &worker) const
    {
        return std::any_of(m_ledgers.begin(), m_ledgers.end(), [&](const Ledger &ledger) {
            const auto &claims = ledger.record.claims;
            return std::find(claims.begin(), claims.end(), Claim{worker, m_wave.wave})
                   != claims.end();
        });
    }

    // In the store, not only in this pass.
    bool hasAllStoredClaims(const WorkerId &worker) const
    {
        const auto &indexes = touched(worker);
        return std::all_of(indexes.begin(), indexes.end(), [&](std::size_t index) {
            const auto found = m_view.ledgers.find(m_view.budgets.budgets[index].name);
            return found != m_view.ledgers.end() && found->second.record.hasClaim(worker);
        });
    }

    bool isClaimedByOther(const WorkerId &worker) const
    {
        const auto &indexes = touched(worker);
        return std::any_of(indexes.begin(), indexes.end(), [&](std::size_t index) {
            const auto &claims = m_ledgers[index].record.claims;
            return std::any_of(claims.begin(), claims.end(), [&](const Claim &claim) {
                return claim.worker == worker && claim.wave != m_wave.wave;
            });
        });
    }

    bool hasRoom(const WorkerId &worker) const
    {
        const auto &indexes = touched(worker);
        return std::all_of(indexes.begin(), indexes.end(), [&](std::size_t index) {
            const auto &out = m_ledgers[index].out;
            const std::size_t more = out.contains(worker) ? 0 : 1;
            return out.size() + more <= m_view.budgets.budgets[index].maxOut;
        });
    }

    bool isOverfull(const WorkerId &worker) const
    {
        const auto &indexes = touched(worker);
        return std::any_of(indexes.begin(), indexes.end(), [&](std::size_t index) {
            return m_ledgers[index].out.size() > m_view.budgets.budgets[index].maxOut;
        });
    }

    bool isOverdue(const Versioned<HostRecord> &host) const
    {
        return m_now - host.record.since > m_wave.settings.rebootDeadline.count();
    }

    bool isInOurDataCentre(const WorkerId &worker) const
    {
        const auto found = m_view.placement.find(worker);
        return found != m_view.placement.end() && found->second == m_view.dataCentre;
    }

    // A host that left the fleet belongs to the data centre of its record, or to anybody.
    bool isOurs(const WorkerId &worker) const
    {
        if (m_view.placement.contains(worker)) {
            return isInOurDataCentre(worker);
        }
        const auto found = m_view.hosts.find(worker);
        return found == m_view.hosts.end() || found->second.record.dataCentre == m_view.dataCentre;
    }

    Versioned<HostRecord> hostOf(const WorkerId &worker) const
    {
        const auto found = m_view.hosts.find(worker);
        if (found != m_view.hosts.end()) {
            return found->second;
        }
        Versioned<HostRecord> host;
        host.record.wave = m_wave.wave;
        host.record.worker = worker;
        host.record.dataCentre = m_view.dataCentre;
        host.record.waveStarted = m_wave.started;
        return host;
    }

    const std::vector<std::size_t> &touched(const WorkerId &worker) const
    {
        static const std::vector<std::size_t> none;
        const auto found = m_view.budgets.touched.find(worker);
        return found == m_view.budgets.touched.end() ? none : found->second;
    }

    const WaveView &m_view;
    const WaveRecord &m_wave;
    const RecordTime m_now;
    bool m_running;
    bool m_waveWritten = false;
    // In the order of the view's budgets.
    std::vector<Ledger> m_ledgers;
    std::vector<WaveAction> m_actions;
};

} // namespace

std::vector<WaveAction> planWave(const WaveView &view, RecordTime now)
{
    return WavePass(view, now).run();
}

} // namespace cyclamenlatch::maintenance
