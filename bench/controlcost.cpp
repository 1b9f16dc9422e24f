// Measures what control costs by size, over the real components: processor time, bytes and memory
// of the peer bus with membership on loopback (real time); of spreading and quota trading (virtual
// time); of a planning pass, the fleet document, the routing table and the outcome ledger. Fits a
// straight line through the points of each figure; docs/CAPACITY.md is made of these slopes.
// Also run as bench-slopes.
#include "bench/figure.h"
#include "configuration/spreadstate.h"
#include "dispatch/outcomeledger.h"
#include "fleet/fleetyaml.h"
#include "maintenance/hostorder.h"
#include "maintenance/waveplanner.h"
#include "membership/membership.h"
#include "net/workerthreads.h"
#include "quota/quotaagent.h"
#include "routing/routingtable.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

DEFINE_uint64(seed, 1, "seed of the run");
DEFINE_int32(seconds, 4, "real seconds of the membership figures at each number of entries");
DEFINE_int32(virtual_seconds, 12, "virtual seconds of the spread and quota figures at each size");

namespace cyclamenlatch::bench {

namespace {

constexpr unsigned dataCentres = 4;
constexpr unsigned quotaEntries = 24;
constexpr unsigned unitsPerLimit = 24;
constexpr unsigned documentRepeats = 3;
constexpr unsigned passRepeats = 20;
constexpr const char *processorTarget = "<= 16 ms/s in all";
constexpr const char *bytesTarget = "<= 21000 B/s in all";
constexpr const char *memoryTarget = "<= 134217728 B in all";

double processorSeconds()
{
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(use.ru_utime) + seconds(use.ru_stime);
}

double heapBytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

DataCentreId dataCentreOf(unsigned index)
{
    return DataCentreId(fmt::format("dc-{}", index % dataCentres));
}

membership::PeerAddress addressOf(unsigned index)
{
    return {EntryId(fmt::format("e-{}", index)), dataCentreOf(index), "127.0.0.1", 0};
}

// The points of one figure over a size.
struct Series
{
    std::string figure;
    std::string unit;
    // What the size counts.
    std::string over;
    std::string target;
    std::vector<std::pair<double, double>> points;

    void add(double size, double value)
    {
        points.emplace_back(size, value);
        print({"controlcost", fmt::format("{}-at-{}-{}", figure, size, over), value, unit, 0,
               target, FLAGS_seed});
    }

    // Least squares; the residual is the root of the mean square.
    void printFit() const
    {
        const auto count = static_cast<double>(points.size());
        double sumX = 0;
        double sumY = 0;
        double sumXX = 0;
        double sumXY = 0;
        for (const auto &[x, y] : points) {
            sumX += x;
            sumY += y;
            sumXX += x * x;
            sumXY += x * y;
        }
        const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
        const double intercept = (sumY - slope * sumX) / count;
        double squares = 0;
        for (const auto &[x, y] : points) {
            squares += std::pow(y - intercept - slope * x, 2);
        }
        const nlohmann::ordered_json line{
                {"bench", "controlcost"}, {"fit", figure},
                {"over", over},           {"unit", unit},
                {"slope", slope},         {"intercept", intercept},
                {"points", points},       {"residual", std::sqrt(squares / count)},
                {"seed", FLAGS_seed},
        };
        std::cout << line.dump() << std::endl;
    }
};

// Entries with a peer bus and membership each, on loopback.
class MemberCluster
{
public:
    explicit MemberCluster(unsigned entries)
    {
        for (unsigned index = 0; index < entries; ++index) {
            auto node = std::make_unique<Node>(m_threads.context(), index);
            if (!node->bus.start()) {
                std::cerr << "cannot bind a UDP port on 127.0.0.1" << std::endl;
                std::exit(1);
            }
            m_addresses.push_back(node->bus.self());
            m_nodes.push_back(std::move(node));
        }
        for (auto &node : m_nodes) {
            // Seeds that are added before the start are not kept.
            node->membership.start();
            node->membership.addSeeds(m_addresses);
        }
    }

    ~MemberCluster()
    {
        for (auto &node : m_nodes) {
            node->membership.stop();
            node->bus.stop();
        }
        m_threads.stop();
    }
    MemberCluster(const MemberCluster &) = delete;
    MemberCluster &operator=(const MemberCluster &) = delete;

    // Sent and received, over all entries.
    double bytes() const
    {
        double sum = 0;
        for (const auto &node : m_nodes) {
            sum += static_cast<double>(node->bus.bytesSent() + node->bus.bytesReceived());
        }
        return sum;
    }

    std::size_t leastLive() const
    {
        std::size_t least = m_nodes.size();
        for (const auto &node : m_nodes) {
            least = std::min(least, node->membership.live().size());
        }
        return least;
    }

private:
    struct Node
    {
        Node(asio::io_context &context, unsigned index)
            : bus(context, {addressOf(index), "bench", {}})
            , membership(context, bus, {}, FLAGS_seed + index)
        {}

        membership::PeerBus bus;
        membership::Membership membership;
    };

    net::WorkerThreads m_threads{2};
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<membership::PeerAddress> m_addresses;
};

void measureMembership()
{
    Series processor{"membership-processor", "ms/s per entry", "entries", processorTarget, {}};
    Series bytes{"membership-bytes", "B/s per entry, both ways", "entries", bytesTarget, {}};
    Series heap{"membership-heap", "B per entry", "entries", memoryTarget, {}};
    Series resident{"membership-resident", "B per entry", "entries", memoryTarget, {}};
    for (const unsigned entries : {6U, 24U, 96U}) {
        malloc_trim(0);
        const auto heapBefore = heapBytes();
        const auto residentBefore = residentBytes();
        MemberCluster cluster(entries);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        const auto bytesBefore = cluster.bytes();
        const auto startedAt = steadyNow();
        const auto processorBefore = processorSeconds();
        std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
        const double used = processorSeconds() - processorBefore;
        const double per = toSeconds(steadyNow() - startedAt) * entries;
        processor.add(entries, 1000 * used / per);
        bytes.add(entries, (cluster.bytes() - bytesBefore) / per);
        heap.add(entries, (heapBytes() - heapBefore) / entries);
        resident.add(entries, (residentBytes() - residentBefore) / entries);
        print({"controlcost", fmt::format("least-live-at-{}-entries", entries),
               static_cast<double>(cluster.leastLive()), "entries", 0, std::to_string(entries - 1),
               FLAGS_seed});
    }
    for (const auto *series : {&processor, &bytes, &heap, &resident}) {
        series->printFit();
    }
}

// Entries' spread states in virtual time; the store answers after a second. Encodes and decodes
// each message. Without a document the entries stay as they are at a first start.
class SpreadCluster
{
public:
    SpreadCluster(unsigned entries, const std::string &document)
        : m_random(FLAGS_seed)
    {
        if (!document.empty()) {
            m_listing.items.push_back({"config/fleet", document, "", 1, false});
        }
        std::vector<membership::PeerAddress> addresses;
        for (unsigned index = 0; index < entries; ++index) {
            addresses.push_back(addressOf(index));
            m_indexes[addresses.back().entry] = index;
            m_states.emplace_back(addresses.back(), m_now);
        }
        for (unsigned index = 0; index < entries; ++index) {
            auto peers = addresses;
            peers.erase(peers.begin() + index);
            m_states[index].setPeers(peers);
        }
    }

    void run(std::chrono::seconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += configuration::tickInterval;
            while (!m_reads.empty() && m_reads.front().due <= m_now) {
                const auto read = m_reads.front();
                m_reads.pop_front();
                carryOut(read.index,
                         m_states[read.index].takeListing(read.after == 0 ? m_listing : m_noChange,
                                                          read.sentAt, m_now));
            }
            for (unsigned index = 0; index < m_states.size(); ++index) {
                carryOut(index, m_states[index].tick(m_now, m_random));
            }
            deliver();
        }
    }

    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }
    std::uint64_t storeCalls() const { return m_storeCalls; }
    // Entries with the document in force.
    std::size_t inForce() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_states.begin(), m_states.end(),
                              [](const auto &state) { return state.revisionInForce() == 1; }));
    }

private:
    struct Read
    {
        unsigned index = 0;
        store::StoreRevision after = 0;
        TimePoint sentAt;
        TimePoint due;
    };
    struct Datagram
    {
        unsigned from = 0;
        unsigned to = 0;
        std::string body;
    };

    void carryOut(unsigned index, const configuration::SpreadActions &actions)
    {
        for (const auto &action : actions) {
            if (const auto *send = std::get_if<configuration::SendMessage>(&action)) {
                auto body = membership::encode(send->message);
                ++m_messages;
                m_bytes += body.size();
                m_datagrams.push_back({index, m_indexes.at(send->to), std::move(body)});
            } else if (const auto *read = std::get_if<configuration::ReadStore>(&action)) {
                ++m_storeCalls;
                m_reads.push_back({index, read->after, m_now, m_now + std::chrono::seconds(1)});
            } else if (const auto *fleet = std::get_if<configuration::PublishFleet>(&action)) {
                carryOut(index, m_states[index].putInForce(fleet->revision));
            }
        }
    }

    void deliver()
    {
        while (!m_datagrams.empty()) {
            const auto datagram = std::move(m_datagrams.front());
            m_datagrams.pop_front();
            const auto message = membership::decode<configuration::ConfigMessage>(datagram.body);
            carryOut(datagram.to, m_states[datagram.to].receive(addressOf(datagram.from).entry, 1,
                                                                message.value(), m_now, m_random));
        }
    }

    Random m_random;
    TimePoint m_now{};
    std::vector<configuration::SpreadState> m_states;
    std::map<EntryId, unsigned> m_indexes;
    store::StoreListing m_listing{1, {}};
    const store::StoreListing m_noChange{1, {}};
    std::deque<Read> m_reads;
    std::deque<Datagram> m_datagrams;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_storeCalls = 0;
};

void measureSpread(const std::string &name, const std::string &document)
{
    Series processor{name + "-processor", "ms/s per entry", "entries", processorTarget, {}};
    Series messages{name + "-messages", "1/s sent per entry", "entries", "", {}};
    Series bytes{name + "-bytes", "B/s of bodies sent per entry", "entries", bytesTarget, {}};
    Series calls{name + "-store-calls", "1/s over all entries", "entries", "", {}};
    for (const unsigned entries : {6U, 24U, 96U}) {
        SpreadCluster cluster(entries, document);
        cluster.run(std::chrono::seconds(5));
        const auto messagesBefore = cluster.messages();
        const auto bytesBefore = cluster.bytes();
        const auto callsBefore = cluster.storeCalls();
        const auto processorBefore = processorSeconds();
        cluster.run(std::chrono::seconds(FLAGS_virtual_seconds));
        const double per = static_cast<double>(FLAGS_virtual_seconds) * entries;
        processor.add(entries, 1000 * (processorSeconds() - processorBefore) / per);
        messages.add(entries, static_cast<double>(cluster.messages() - messagesBefore) / per);
        bytes.add(entries, static_cast<double>(cluster.bytes() - bytesBefore) / per);
        calls.add(entries,
                  static_cast<double>(cluster.storeCalls() - callsBefore) / FLAGS_virtual_seconds);
        print({"controlcost", fmt::format("{}-in-force-at-{}-entries", name, entries),
               static_cast<double>(cluster.inForce()), "entries", 0,
               document.empty() ? "0" : std::to_string(entries), FLAGS_seed});
    }
    for (const auto *series : {&processor, &messages, &bytes, &calls}) {
        series->printFit();
    }
}

// Quota agents in virtual time over a store that always answers at the next step. The demand for
// each workspace's whole limit is at one entry and moves to another every 3 s.
class QuotaCluster
{
public:
    explicit QuotaCluster(unsigned workspaces)
        : m_random(FLAGS_seed)
        , m_demandAt(workspaces, 0)
    {
        std::vector<quota::QuotaPeer> peers;
        for (unsigned index = 0; index < quotaEntries; ++index) {
            quota::QuotaAgentSettings settings;
            settings.self = {addressOf(index).entry, index + 1};
            settings.dataCentre = dataCentreOf(index);
            settings.address = fmt::format("127.0.0.1:{}", index);
            peers.push_back({settings.self, settings.dataCentre});
            m_indexes[settings.self.entry] = index;
            m_agents.emplace_back(settings);
        }
        quota::FleetLimits limits{1, dataCentres, {}};
        for (unsigned workspace = 0; workspace < workspaces; ++workspace) {
            m_resources.push_back(quota::limitOf(WorkspaceId(fmt::format("ws-{}", workspace))));
            limits.units[m_resources.back().name] = unitsPerLimit;
        }
        for (unsigned index = 0; index < quotaEntries; ++index) {
            auto others = peers;
            others.erase(others.begin() + index);
            m_agents[index].setFleet(limits);
            m_agents[index].setListed();
            m_agents[index].setLive(others);
        }
    }

    void run(std::chrono::seconds time)
    {
        const auto end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(50);
            if (m_now >= m_nextMove) {
                m_nextMove = m_now + std::chrono::seconds(3);
                for (auto &at : m_demandAt) {
                    at = static_cast<unsigned>(uniformBelow(m_random, quotaEntries));
                }
            }
            work();
            deliver();
            for (unsigned index = 0; index < quotaEntries; ++index) {
                tick(index);
            }
        }
    }

    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }
    std::uint64_t writes() const { return m_writes; }

    // Part of the demand that runs.
    double running() const
    {
        double sum = 0;
        for (std::size_t workspace = 0; workspace < m_resources.size(); ++workspace) {
            const auto &node = m_agents[m_demandAt[workspace]].node();
            sum += node.use(m_resources[workspace]).running;
        }
        return sum / static_cast<double>(unitsPerLimit * m_resources.size());
    }

private:
    struct Datagram
    {
        quota::QuotaHolder from;
        unsigned to = 0;
        std::string body;
    };

    void work()
    {
        for (std::size_t workspace = 0; workspace < m_resources.size(); ++workspace) {
            const auto &resource = m_resources[workspace];
            for (unsigned index = 0; index < quotaEntries; ++index) {
                auto &node = m_agents[index].node();
                const bool wanted = m_demandAt[workspace] == index;
                while (!wanted && node.use(resource).running > 0) {
                    node.release(resource);
                }
                while (wanted && node.use(resource).running < unitsPerLimit
                       && node.tryAcquire(resource)) {
                }
            }
        }
    }

    void deliver()
    {
        for (const auto &datagram : std::exchange(m_datagrams, {})) {
            const auto message = membership::decode<quota::QuotaMessage>(datagram.body);
            m_agents[datagram.to].receive(datagram.from, message.value(), m_now);
        }
    }

    void tick(unsigned index)
    {
        auto actions = m_agents[index].tick(m_now, m_random);
        for (const auto &outgoing : actions.messages) {
            auto body = membership::encode(outgoing.message);
            ++m_messages;
            m_bytes += body.size();
            m_datagrams.push_back({m_agents[index].node().self(), m_indexes.at(outgoing.to.entry),
                                   std::move(body)});
        }
        for (const auto &write : actions.writes) {
            apply(index, write);
        }
    }

    void apply(unsigned index, const store::StoreWrite &write)
    {
        ++m_writes;
        auto &item = m_store[write.key];
        const bool done = item.revision == write.expected;
        if (done) {
            item = {write.key, write.value, "", ++m_revision, false};
        }
        const auto result = done ? quota::WriteResult::Done : quota::WriteResult::NotDone;
        m_agents[index].takeWriteResult(write, result, item.revision, m_now, m_random);
        for (auto &agent : m_agents) {
            agent.takeItem(item, m_now);
        }
    }

    Random m_random;
    TimePoint m_now{};
    TimePoint m_nextMove{};
    std::vector<quota::QuotaAgent> m_agents;
    std::map<EntryId, unsigned> m_indexes;
    std::vector<quota::QuotaResource> m_resources;
    // By workspace: the entry that wants all its units.
    std::vector<unsigned> m_demandAt;
    std::map<std::string, store::StoreItem> m_store;
    store::StoreRevision m_revision = 0;
    std::vector<Datagram> m_datagrams;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_writes = 0;
};

void measureQuota()
{
    Series processor{"quota-processor", "ms/s per entry", "workspaces", processorTarget, {}};
    Series messages{"quota-messages", "1/s sent per entry", "workspaces", "", {}};
    Series bytes{"quota-bytes", "B/s of bodies sent per entry", "workspaces", bytesTarget, {}};
    Series writes{"quota-store-writes", "1/s over all entries", "workspaces", "", {}};
    Series heap{"quota-heap", "B per entry", "workspaces", memoryTarget, {}};
    for (const unsigned workspaces : {28U, 140U, 280U}) {
        const auto heapBefore = heapBytes();
        QuotaCluster cluster(workspaces);
        cluster.run(std::chrono::seconds(12));
        const auto messagesBefore = cluster.messages();
        const auto bytesBefore = cluster.bytes();
        const auto writesBefore = cluster.writes();
        const auto processorBefore = processorSeconds();
        cluster.run(std::chrono::seconds(FLAGS_virtual_seconds));
        const double per = static_cast<double>(FLAGS_virtual_seconds) * quotaEntries;
        processor.add(workspaces, 1000 * (processorSeconds() - processorBefore) / per);
        messages.add(workspaces, static_cast<double>(cluster.messages() - messagesBefore) / per);
        bytes.add(workspaces, static_cast<double>(cluster.bytes() - bytesBefore) / per);
        writes.add(workspaces,
                   static_cast<double>(cluster.writes() - writesBefore) / FLAGS_virtual_seconds);
        heap.add(workspaces, (heapBytes() - heapBefore) / quotaEntries);
        print({"controlcost", fmt::format("quota-demand-running-at-{}-workspaces", workspaces),
               cluster.running(), "share", 1.0 / quotaEntries, "", FLAGS_seed});
    }
    for (const auto *series : {&processor, &messages, &bytes, &writes, &heap}) {
        series->printFit();
    }
}

struct FleetSize
{
    unsigned workers = 0;
    unsigned pools = 0;
    unsigned workspaces = 0;
};

constexpr FleetSize fleetSizes[] = {{50, 15, 28}, {325, 38, 70}, {1300, 150, 280}};

fleet::FleetDocument makeFleet(const FleetSize &size)
{
    fleet::FleetDocument fleet;
    for (unsigned index = 0; index < dataCentres; ++index) {
        fleet.dataCentres.push_back({dataCentreOf(index), index % 2 == 0 ? "west" : "east"});
    }
    for (unsigned index = 0; index < size.pools; ++index) {
        const auto name = fmt::format("pool-{}", index);
        fleet.pools.push_back({PoolId(name), index + 1 == size.pools});
        fleet.services.push_back({ServiceId(name), PoolId(name), 2, 0.999});
        fleet::Queue queue;
        queue.id = QueueId(name);
        queue.service = ServiceId(name);
        fleet.queues.push_back(queue);
    }
    for (unsigned index = 0; index < size.workers; ++index) {
        fleet::Worker worker;
        worker.id = WorkerId(fmt::format("w-{}", index));
        worker.dataCentre = dataCentreOf(index);
        worker.rack = RackId(fmt::format("r-{}-{}", index / 16, index % dataCentres));
        worker.pool = fleet.pools[index % size.pools].id;
        worker.minionAddress = fmt::format("10.0.{}.{}:9000", index / 250, index % 250);
        worker.labels = {{"tier", "gold"}};
        fleet.workers.push_back(worker);
    }
    for (unsigned index = 0; index < size.workspaces; ++index) {
        fleet.workspaces.push_back({WorkspaceId(fmt::format("ws-{}", index)), 1, 24, false});
    }
    return fleet;
}

void measureDocument()
{
    Series size{"document-bytes", "B", "workers", "", {}};
    Series parse{"document-read", "ms of processor per change", "workers", "", {}};
    Series build{"table-build", "ms of processor per change", "workers", "", {}};
    Series documentHeap{"document-heap", "B", "workers", memoryTarget, {}};
    Series tableHeap{"table-heap", "B", "workers", memoryTarget, {}};
    for (const auto &fleetSize : fleetSizes) {
        const auto yaml = fleet::writeFleet(makeFleet(fleetSize));
        const auto startedAt = processorSeconds();
        for (unsigned repeat = 0; repeat < documentRepeats; ++repeat) {
            fleet::readFleet(yaml);
        }
        const auto readAt = processorSeconds();
        const auto heapBefore = heapBytes();
        const auto reading = fleet::readFleet(yaml);
        const auto heapRead = heapBytes();
        for (const auto &mistake : reading.mistakes) {
            std::cerr << "mistake in the bench's document: " << mistake.toString() << std::endl;
            std::exit(1);
        }
        const auto buildAt = processorSeconds();
        for (unsigned repeat = 0; repeat < passRepeats; ++repeat) {
            const routing::RoutingTable table(reading.document);
        }
        const auto builtAt = processorSeconds();
        const auto heapBeforeTable = heapBytes();
        const routing::RoutingTable table(reading.document);
        size.add(fleetSize.workers, static_cast<double>(yaml.size()));
        parse.add(fleetSize.workers, 1000 * (readAt - startedAt) / documentRepeats);
        build.add(fleetSize.workers, 1000 * (builtAt - buildAt) / passRepeats);
        documentHeap.add(fleetSize.workers, heapRead - heapBefore);
        tableHeap.add(fleetSize.workers, heapBytes() - heapBeforeTable);
    }
    for (const auto *series : {&size, &parse, &build, &documentHeap, &tableHeap}) {
        series->printFit();
    }
}

// A wave over the whole fleet that has just begun: the pass that starts the most.
void measurePlanning()
{
    using namespace maintenance;
    constexpr RecordTime now = 1000000;
    Series pass{"wave-pass", "ms of processor per pass", "workers", "", {}};
    Series heap{"wave-view-heap", "B", "workers", memoryTarget, {}};
    for (const auto &size : fleetSizes) {
        const auto fleet = makeFleet(size);
        const auto heapBefore = heapBytes();
        WaveView view;
        view.dataCentre = dataCentreOf(0);
        auto &record = view.wave.record;
        record.wave = WaveId("w");
        record.settings.failuresToPause = size.workers;
        record.started = record.resumed = now;
        record.hosts = orderHosts(fleet, fleet::Selector(), record.settings);
        view.wave.revision = 1;
        view.budgets = budgetsOf(fleet, record.settings);
        for (const auto &worker : fleet.workers) {
            view.placement[worker.id] = worker.dataCentre;
        }
        const auto heapAfter = heapBytes();
        const auto startedAt = processorSeconds();
        std::size_t actions = 0;
        for (unsigned repeat = 0; repeat < passRepeats; ++repeat) {
            actions += planWave(view, now + 1).size();
        }
        pass.add(size.workers, 1000 * (processorSeconds() - startedAt) / passRepeats);
        heap.add(size.workers, heapAfter - heapBefore);
        print({"controlcost", fmt::format("wave-pass-actions-at-{}-workers", size.workers),
               static_cast<double>(actions) / passRepeats, "actions", 0, "", FLAGS_seed});
    }
    pass.printFit();
    heap.printFit();
}

void measureLedger()
{
    constexpr WallTime start{std::chrono::milliseconds(1'700'000'000'000)};
    constexpr WallTime now = start + std::chrono::seconds(10);
    Series heap{"ledger-heap", "B", "keys", memoryTarget, {}};
    Series processor{"ledger-claims", "ms of processor for all claims and reports", "keys", "", {}};
    for (const unsigned keys : {1000U, 10000U, 100000U}) {
        dispatch::OwnerRoster roster(EntryId("e-0"), 1);
        roster.setPeers({}, start);
        const auto heapBefore = heapBytes();
        const auto startedAt = processorSeconds();
        dispatch::OutcomeLedger ledger({});
        unsigned granted = 0;
        for (unsigned index = 0; index < keys; ++index) {
            const auto key = fmt::format("dc-0-{}-k{:08}", now.time_since_epoch().count(), index);
            const auto scope = "ws-0/pool-0/" + key;
            const auto attempt = fmt::format("a-{:016}", index);
            const auto answer = ledger.claim({scope, key, attempt, index, 30000}, roster, now);
            granted += answer.verdict == dispatch::ClaimVerdict::Granted ? 1 : 0;
            ledger.report({scope,
                           key,
                           attempt,
                           dispatch::Outcome::Completed,
                           {true, 200, "application/json", std::string(64, 'x')}},
                          now);
        }
        processor.add(keys, 1000 * (processorSeconds() - startedAt));
        heap.add(keys, heapBytes() - heapBefore);
        print({"controlcost", fmt::format("ledger-granted-at-{}-keys", keys),
               static_cast<double>(granted), "keys", 0, std::to_string(keys), FLAGS_seed});
    }
    heap.printFit();
    processor.printFit();
}

} // namespace

} // namespace cyclamenlatch::bench

int main(int argc, char **argv)
{
    using namespace cyclamenlatch::bench;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    print({"controlcost", "resident-at-start", residentBytes(), "B", 0, memoryTarget, FLAGS_seed});
    measureMembership();
    measureSpread("spread", cyclamenlatch::fleet::writeFleet(makeFleet(fleetSizes[0])));
    measureSpread("spread-without-document", "");
    measureQuota();
    measureDocument();
    measurePlanning();
    measureLedger();
    return 0;
}
