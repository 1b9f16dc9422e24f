// Carries the agent's messages and writes, and feeds it what comes back.
#include "quota/quotatrader.h"

#include "quota/quotaevents.h"

#include <thread>
#include <utility>

namespace cyclamenlatch::quota {

namespace {

constexpr std::chrono::milliseconds tickInterval{50};
constexpr std::chrono::milliseconds watchWait{10000};
constexpr std::chrono::milliseconds watchRetryDelay{500};
constexpr std::chrono::milliseconds leavePollInterval{20};

WriteResult resultOf(const Result<store::StoreRevision> &revision)
{
    if (revision) {
        return WriteResult::Done;
    }
    return revision.error().kind == ErrorKind::Conflict ? WriteResult::NotDone
                                                        : WriteResult::Unknown;
}

} // namespace

QuotaTrader::QuotaTrader(asio::io_context &context, membership::PeerBus &bus,
                         store::StoreClient &store, QuotaTable &table, std::uint64_t seed)
    : m_bus(bus)
    , m_store(store)
    , m_table(table)
    , m_timer(context)
    , m_watchRetry(context)
    , m_random(seed)
{
    m_bus.subscribe(membership::PeerTopic::Quota,
                    [this](const membership::PeerMessage &message) { receive(message); });
}

void QuotaTrader::start()
{
    list();
    scheduleTick();
}

void QuotaTrader::setFleet(const fleet::FleetDocument &fleet, store::StoreRevision revision)
{
    FleetLimits limits;
    limits.revision = revision;
    limits.dataCentres = static_cast<unsigned>(fleet.dataCentres.size());
    for (const auto &workspace : fleet.workspaces) {
        limits.units[workspace.id.value()] = workspace.limit;
    }
    m_table.update([&limits](QuotaAgent &agent) { agent.setFleet(std::move(limits)); });
    for (const auto &worker : fleet.workers) {
        m_table.setHeld(slotsOf(worker.id), worker.slots);
    }
}

void QuotaTrader::setLive(const std::vector<membership::Member> &live)
{
    std::vector<QuotaPeer> peers;
    peers.reserve(live.size());
    for (const auto &member : live) {
        peers.push_back({{member.address.entry, member.incarnation}, member.address.dataCentre});
    }
    m_table.update([&peers](QuotaAgent &agent) { agent.setLive(std::move(peers)); });
}

void QuotaTrader::leave(TimePoint deadline)
{
    m_table.update([](QuotaAgent &agent) { agent.leave(); });
    const auto hasLeft = [](const QuotaAgent &agent) { return agent.hasLeft(); };
    while (!m_table.inspect(hasLeft) && steadyNow() < deadline) {
        std::this_thread::sleep_for(leavePollInterval);
    }
    const auto kept = m_table.inspect([](const QuotaAgent &agent) {
        return agent.node().heldInTotal() + agent.node().inTransit();
    });
    logEvent(quotaLeft, "{} units not returned", kept);
}

void QuotaTrader::stop()
{
    m_stopped = true;
    const std::lock_guard lock(m_mutex);
    m_timer.cancel();
    m_watchRetry.cancel();
}

void QuotaTrader::scheduleTick()
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void QuotaTrader::tick()
{
    const auto now = steadyNow();
    m_table.expire(now);
    QuotaActions actions;
    m_table.update([&](QuotaAgent &agent) { actions = agent.tick(now, m_random); });
    for (const auto &outgoing : actions.messages) {
        m_bus.sendValue(outgoing.to.entry, membership::PeerTopic::Quota, outgoing.message);
    }
    for (const auto &pending : actions.writes) {
        write(pending);
    }
    reportState();
    scheduleTick();
}

void QuotaTrader::list()
{
    m_store.list(quotaPrefix, [this](const Result<store::StoreListing> &listing) {
        if (listing) {
            takeListing(listing.value());
            return watch(listing.value().revision);
        }
        retryLater([this] { list(); });
    });
}

void QuotaTrader::watch(store::StoreRevision after)
{
    if (m_stopped) {
        return;
    }
    m_store.watch(quotaPrefix, after, watchWait,
                  [this, after](const Result<store::StoreListing> &listing) {
                      if (listing) {
                          takeListing(listing.value());
                          return watch(listing.value().revision);
                      }
                      retryLater([this, after] { watch(after); });
                  });
}

void QuotaTrader::retryLater(std::function<void()> action)
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    m_watchRetry.expires_after(watchRetryDelay);
    m_watchRetry.async_wait([action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

void QuotaTrader::takeListing(const store::StoreListing &listing)
{
    const auto now = steadyNow();
    m_table.update([&](QuotaAgent &agent) {
        for (const auto &item : listing.items) {
            agent.takeItem(item, now);
        }
        agent.setListed();
    });
}

void QuotaTrader::write(const store::StoreWrite &write)
{
    m_store.compareAndSwap(write, [this, write](const Result<store::StoreRevision> &revision) {
        takeWriteResult(write, revision);
    });
}

void QuotaTrader::takeWriteResult(const store::StoreWrite &write,
                                  const Result<store::StoreRevision> &revision)
{
    m_table.update([&](QuotaAgent &agent) {
        agent.takeWriteResult(write, resultOf(revision), revision ? revision.value() : 0,
                              steadyNow(), m_random);
    });
    if (!revision && !m_stopped) {
        readBack(write.key);
    }
}

void QuotaTrader::readBack(const std::string &key)
{
    m_store.get(key, [this](const Result<std::optional<store::StoreItem>> &item) {
        if (item && item.value()) {
            m_table.update([&](QuotaAgent &agent) { agent.takeItem(*item.value(), steadyNow()); });
        }
    });
}

void QuotaTrader::receive(const membership::PeerMessage &message)
{
    const auto body = membership::decode<QuotaMessage>(message.body);
    if (!body) {
        return;
    }
    m_table.update([&](QuotaAgent &agent) {
        agent.receive({message.from, message.incarnation}, *body, steadyNow());
    });
}

void QuotaTrader::reportState()
{
    const auto registered =
            m_table.inspect([](const QuotaAgent &agent) { return agent.registered(); });
    const auto revoked =
            m_table.inspect([](const QuotaAgent &agent) { return agent.node().revoked(); });
    if (registered && !std::exchange(m_registered, registered)) {
        logEvent(quotaRegistered, "as {}", m_bus.self().entry.value());
    }
    if (revoked && !std::exchange(m_revoked, revoked)) {
        logEvent(quotaRevoked, "as {}", m_bus.self().entry.value());
    }
}

} // namespace cyclamenlatch::quota
