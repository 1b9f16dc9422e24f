// Runs the member table on a timer and on the digests that arrive.
#include "membership/membership.h"

#include <utility>

namespace cyclamenlatch::membership {

Membership::Membership(asio::io_context &context, PeerBus &bus,
                       const std::vector<PeerAddress> &seeds, std::uint64_t seed,
                       MemberTableSettings settings)
    : m_bus(bus)
    , m_settings(settings)
    , m_timer(context)
    , m_seeds(seeds)
    , m_random(seed)
{
    m_bus.subscribe(PeerTopic::Membership,
                    [this](const PeerMessage &message) { receive(message); });
}

void Membership::setOnChange(OnChange onChange)
{
    m_onChange = std::move(onChange);
}

void Membership::start()
{
    {
        const std::lock_guard lock(m_mutex);
        Member self;
        self.address = m_bus.self();
        self.incarnation = m_bus.incarnation();
        m_table.emplace(m_settings, std::move(self));
        m_table->addSeeds(m_seeds);
    }
    tick();
}

void Membership::leave()
{
    std::vector<OutgoingDigest> farewell;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_table) {
            return;
        }
        m_table->setLeaving();
        farewell = m_table->farewell();
    }
    send(farewell);
}

void Membership::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    m_timer.cancel();
}

std::vector<Member> Membership::live() const
{
    const std::lock_guard lock(m_mutex);
    return m_table ? m_table->live(steadyNow()) : std::vector<Member>();
}

void Membership::addSeeds(const std::vector<PeerAddress> &seeds)
{
    const std::lock_guard lock(m_mutex);
    if (m_table) {
        m_table->addSeeds(seeds);
    }
}

bool Membership::setValue(PeerTopic topic, std::string value)
{
    const std::lock_guard lock(m_mutex);
    if (!m_table || value.size() > maxValueBytes) {
        return false;
    }
    m_table->setValue(static_cast<std::uint8_t>(topic), std::move(value));
    return true;
}

std::optional<std::string> Membership::valueOf(const EntryId &entry, PeerTopic topic) const
{
    for (const auto &member : live()) {
        const auto value = member.values.find(static_cast<std::uint8_t>(topic));
        if (member.address.entry == entry && value != member.values.end()) {
            return value->second;
        }
    }
    return std::nullopt;
}

void Membership::scheduleTick()
{
    const std::lock_guard lock(m_mutex);
    if (m_stopped) {
        return;
    }
    m_timer.expires_after(m_settings.period);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void Membership::tick()
{
    std::vector<OutgoingDigest> digests;
    {
        const std::lock_guard lock(m_mutex);
        digests = m_table->tick(steadyNow(), m_random);
    }
    tellChange();
    send(digests);
    scheduleTick();
}

void Membership::receive(const PeerMessage &message)
{
    const auto digest = decode<MemberDigest>(message.body);
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        changed = digest && m_table && m_table->receive(*digest, steadyNow());
    }
    if (changed) {
        tellChange();
    }
}

void Membership::send(const std::vector<OutgoingDigest> &digests)
{
    for (const auto &outgoing : digests) {
        m_bus.sendValue(outgoing.to, PeerTopic::Membership, outgoing.digest);
    }
}

void Membership::tellChange()
{
    std::vector<Member> live;
    {
        const std::lock_guard lock(m_mutex);
        live = m_table->live(steadyNow());
        m_bus.setPeers(m_table->addresses());
        std::vector<std::pair<EntryId, std::uint64_t>> now;
        now.reserve(live.size());
        for (const auto &member : live) {
            now.emplace_back(member.address.entry, member.incarnation);
        }
        if (now == m_toldLive) {
            return;
        }
        m_toldLive = std::move(now);
    }
    if (m_onChange) {
        m_onChange(live);
    }
}

} // namespace cyclamenlatch::membership
