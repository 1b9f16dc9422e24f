// Digests, snapshots and this entry's own figures.
#include "report/reportservice.h"

#include "report/reportevents.h"

#include <utility>

namespace cyclamenlatch::report {

namespace {

constexpr std::chrono::milliseconds tickInterval{2000};
// Every so many ticks a digest tells all totals, also those that have not changed.
constexpr unsigned ticksPerFullDigest = 30;
// A row of a snapshot takes about a kilobyte; a datagram at most 60.
constexpr std::size_t snapshotRows = 30;
constexpr std::size_t digestRows = 500;

enum class MessageKind : std::uint8_t { Digest = 1, SnapshotRequest = 2, Snapshot = 3 };

struct ReportMessage
{
    MessageKind kind = MessageKind::Digest;
    BurnDigest digest;
    BurnSnapshot snapshot;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, digest, snapshot);
    }
};

std::vector<BurnDigest> split(BurnDigest digest)
{
    std::vector<BurnDigest> parts{{digest.source, {}}};
    for (auto &total : digest.totals) {
        if (parts.back().totals.size() == digestRows) {
            parts.push_back({digest.source, {}});
        }
        parts.back().totals.push_back(std::move(total));
    }
    return parts;
}

} // namespace

ReportService::ReportService(asio::io_context &context, membership::PeerBus &peers)
    : m_peers(peers)
    , m_timer(context)
    , m_table({peers.self().entry.value(), peers.incarnation()})
    , m_spareCountedAt(steadyNow())
{
    m_peers.subscribe(membership::PeerTopic::Report,
                      [this](const membership::PeerMessage &message) { take(message); });
}

void ReportService::setFleet(std::shared_ptr<const fleet::FleetDocument> fleet)
{
    const std::lock_guard lock(m_mutex);
    countSpareTime(steadyNow());
    countMoves(*fleet);
    m_fleet = std::move(fleet);
}

void ReportService::countMoves(const fleet::FleetDocument &fleet)
{
    if (!m_fleet) {
        return;
    }
    std::map<WorkerId, PoolId> pools;
    for (const auto &worker : m_fleet->workers) {
        pools[worker.id] = worker.pool;
    }
    for (const auto &worker : fleet.workers) {
        const auto before = pools.find(worker.id);
        m_operations.moves += before != pools.end() && before->second != worker.pool ? 1 : 0;
    }
}

void ReportService::countSpareTime(TimePoint now)
{
    constexpr double secondsPerHour = 3600;
    const auto passed = now - std::exchange(m_spareCountedAt, now);
    m_operations.spareWorkerHours += m_operations.spareWorkers * toSeconds(passed) / secondsPerHour;
    m_waveTime += m_waveRunning ? passed : Duration{};
    m_operations.spareWorkers = 0;
    if (!m_fleet) {
        return;
    }
    for (const auto &pool : m_fleet->pools) {
        for (const auto &worker : m_fleet->workers) {
            m_operations.spareWorkers += pool.spare && worker.pool == pool.id ? 1 : 0;
        }
    }
}

OperationsFigures ReportService::operations(TimePoint now)
{
    countSpareTime(now);
    m_operations.waveTime = std::chrono::duration_cast<std::chrono::seconds>(m_waveTime);
    return m_operations;
}

void ReportService::setWaveRunning(bool running)
{
    const std::lock_guard lock(m_mutex);
    countSpareTime(steadyNow());
    m_waveRunning = running;
}

void ReportService::observe(const ObservedOutcome &outcome)
{
    const std::lock_guard lock(m_mutex);
    m_table.record(outcome.key, outcome.good, wallNow());
    m_latencies[outcome.key.service].add(outcome.latency);
}

void ReportService::start()
{
    askForSnapshot();
    tick();
}

void ReportService::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    sendDigest(false);
}

void ReportService::tick()
{
    bool all = false;
    bool ask = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        all = ++m_ticks % ticksPerFullDigest == 0;
        ask = m_snapshotWanted && m_ticks > 1;
    }
    sendDigest(all);
    if (ask) {
        askForSnapshot();
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// An empty digest says that the entry lives and has seen nothing new.
void ReportService::sendDigest(bool all)
{
    BurnDigest digest;
    {
        const std::lock_guard lock(m_mutex);
        digest = m_table.makeDigest(all);
    }
    for (auto &part : split(std::move(digest))) {
        m_peers.sendToAll(membership::PeerTopic::Report,
                          membership::encode(ReportMessage{MessageKind::Digest, part, {}}));
    }
}

void ReportService::askForSnapshot()
{
    constexpr unsigned ticksToAsk = 5;
    const auto peers = m_peers.peers();
    unsigned turn = 0;
    {
        const std::lock_guard lock(m_mutex);
        turn = m_ticks;
        m_snapshotWanted = m_snapshotWanted && turn < ticksToAsk;
    }
    if (!peers.empty()) {
        // Another peer each time, since the first may be gone.
        m_peers.sendValue(peers[turn % peers.size()].entry, membership::PeerTopic::Report,
                          ReportMessage{MessageKind::SnapshotRequest, {}, {}});
    }
}

void ReportService::sendSnapshots(const EntryId &to)
{
    std::vector<BurnSnapshot> snapshots;
    {
        const std::lock_guard lock(m_mutex);
        snapshots = m_table.makeSnapshots(snapshotRows);
    }
    for (const auto &snapshot : snapshots) {
        m_peers.sendValue(to, membership::PeerTopic::Report,
                          ReportMessage{MessageKind::Snapshot, {}, snapshot});
    }
}

void ReportService::take(const membership::PeerMessage &message)
{
    const auto decoded = membership::decode<ReportMessage>(message.body);
    if (!decoded) {
        logEvent(digestUnreadable, "from {}", message.from.value());
        return;
    }
    if (decoded->kind == MessageKind::SnapshotRequest) {
        return sendSnapshots(message.from);
    }
    const std::lock_guard lock(m_mutex);
    if (decoded->kind == MessageKind::Snapshot) {
        m_snapshotWanted = false;
        return m_table.noteSnapshot(decoded->snapshot, wallNow());
    }
    m_table.noteDigest(decoded->digest, wallNow());
}

FleetReport ReportService::makeReport(const std::function<unsigned(const WorkspaceId &)> &heldBack)
{
    const std::lock_guard lock(m_mutex);
    FleetReport report;
    if (m_fleet) {
        report = report::makeReport(*m_fleet, m_table, heldBack, wallNow());
    }
    report.entry = m_peers.self().entry.value();
    report.operations = operations(steadyNow());
    for (const auto &[service, quantiles] : m_latencies) {
        report.latencies.push_back({service, quantiles.median(), quantiles.p99()});
    }
    return report;
}

} // namespace cyclamenlatch::report
