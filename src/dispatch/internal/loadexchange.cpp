// Sends load reports and updates the slot shares on a timer.
#include "dispatch/loadexchange.h"

#include <optional>
#include <utility>

namespace cyclamenlatch::dispatch {

namespace {

constexpr std::chrono::milliseconds tickInterval{100};

} // namespace

LoadExchange::LoadExchange(asio::io_context &context, membership::PeerBus &bus,
                           Dispatcher &dispatcher)
    : m_bus(bus)
    , m_dispatcher(dispatcher)
    , m_fleetLoad(bus.self().entry)
    , m_timer(context)
{
    m_bus.subscribe(membership::PeerTopic::Load,
                    [this](const membership::PeerMessage &message) { receive(message); });
}

void LoadExchange::start()
{
    tick();
}

void LoadExchange::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer.cancel();
}

void LoadExchange::receive(const membership::PeerMessage &message)
{
    const auto report = membership::decode<LoadReport>(message.body);
    if (!report) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_fleetLoad.receive(message.from, message.incarnation, *report, steadyNow());
}

void LoadExchange::scheduleTick()
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

void LoadExchange::tick()
{
    const auto own = m_dispatcher.load();
    const auto table = m_dispatcher.table();
    const auto peers = m_bus.peers().size();
    const auto now = steadyNow();
    SlotShares shares;
    std::vector<RemoteUse> uses;
    std::optional<LoadReport> report;
    {
        const std::lock_guard lock(m_mutex);
        if (m_fleetLoad.table() != table) {
            m_fleetLoad.setTable(table);
        }
        shares = m_fleetLoad.shares(own, now);
        uses = m_fleetLoad.takeRemoteUse();
        report = m_reporter.next(own, peers, now);
    }
    m_dispatcher.setSlotShares(table, shares);
    m_dispatcher.chargeRemote(uses);
    if (report) {
        m_bus.sendToAll(membership::PeerTopic::Load, membership::encode(*report));
    }
    scheduleTick();
}

} // namespace cyclamenlatch::dispatch
