// Spreads heartbeats by gossip and judges silence.
#include "membership/membertable.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::membership {

MemberTable::MemberTable(MemberTableSettings settings, Member self)
    : m_settings(settings)
    , m_self(std::move(self))
{}

void MemberTable::setValue(std::uint8_t topic, std::string value)
{
    m_self.values[topic] = std::move(value);
}

void MemberTable::addSeeds(const std::vector<PeerAddress> &seeds)
{
    for (const auto &seed : seeds) {
        if (seed.entry != m_self.address.entry) {
            m_seeds[seed.entry] = seed;
        }
    }
}

std::vector<OutgoingDigest> MemberTable::tick(TimePoint now, Random &random)
{
    // After a pause of this process the others were not silent: nobody listened.
    const auto gap = now - m_lastTick;
    if (m_lastTick != TimePoint{} && gap > 2 * m_settings.period) {
        for (auto &[entry, known] : m_known) {
            known.lastAdvance += gap;
        }
    }
    m_lastTick = now;
    ++m_self.heartbeat;
    forget(now);
    auto targets = addresses();
    std::vector<OutgoingDigest> outgoing;
    while (outgoing.size() < m_settings.fanOut && !targets.empty()) {
        const auto index = uniformBelow(random, static_cast<std::uint32_t>(targets.size()));
        outgoing.push_back({targets[index].entry, makeDigest(random)});
        targets.erase(targets.begin() + index);
    }
    return outgoing;
}

std::vector<OutgoingDigest> MemberTable::farewell() const
{
    std::vector<OutgoingDigest> outgoing;
    for (const auto &address : addresses()) {
        outgoing.push_back({address.entry, MemberDigest{{m_self}}});
    }
    return outgoing;
}

bool MemberTable::receive(const MemberDigest &digest, TimePoint now)
{
    bool changed = false;
    for (const auto &member : digest.members) {
        if (member.address.entry == m_self.address.entry) {
            continue;
        }
        auto &known = m_known[member.address.entry];
        const auto age = std::pair(known.member.incarnation, known.member.heartbeat);
        if (std::pair(member.incarnation, member.heartbeat) <= age) {
            continue;
        }
        const bool wasLive = known.member.incarnation == member.incarnation
                             && now - known.lastAdvance <= silenceLimit();
        changed = changed || !wasLive || known.member.leaving != member.leaving;
        const bool left = known.member.incarnation == member.incarnation && known.member.leaving;
        known = {member, now};
        known.member.leaving = member.leaving || left;
    }
    return changed;
}

std::vector<Member> MemberTable::live(TimePoint now) const
{
    std::vector<Member> live;
    for (const auto &[entry, known] : m_known) {
        if (!known.member.leaving && now - known.lastAdvance <= silenceLimit()) {
            live.push_back(known.member);
        }
    }
    return live;
}

std::vector<PeerAddress> MemberTable::addresses() const
{
    auto addresses = m_seeds;
    for (const auto &[entry, known] : m_known) {
        addresses[entry] = known.member.address;
    }
    std::vector<PeerAddress> list;
    list.reserve(addresses.size());
    for (const auto &[entry, address] : addresses) {
        list.push_back(address);
    }
    return list;
}

Duration MemberTable::silenceLimit() const
{
    return m_settings.minSilence
           + m_settings.silencePerMember * static_cast<std::int64_t>(m_known.size());
}

// This entry first; then the newest news, which spreads as an epidemic does, and a random choice of
// the rest, so that nobody is left out for long.
MemberDigest MemberTable::makeDigest(Random &random) const
{
    MemberDigest digest;
    digest.members.push_back(m_self);
    std::vector<const Known *> others;
    for (const auto &[entry, known] : m_known) {
        others.push_back(&known);
    }
    std::shuffle(others.begin(), others.end(), random);
    const auto chosen = std::min<std::size_t>(others.size(), m_settings.digestMembers - 1);
    const auto newest = static_cast<std::ptrdiff_t>(chosen / 2);
    std::partial_sort(others.begin(), others.begin() + newest, others.end(),
                      [](const Known *left, const Known *right) {
                          return left->lastAdvance > right->lastAdvance;
                      });
    for (std::size_t index = 0; index < chosen; ++index) {
        digest.members.push_back(others[index]->member);
    }
    return digest;
}

void MemberTable::forget(TimePoint now)
{
    std::erase_if(m_known, [this, now](const auto &item) {
        return now - item.second.lastAdvance > m_settings.forgetAfter;
    });
}

} // namespace cyclamenlatch::membership
