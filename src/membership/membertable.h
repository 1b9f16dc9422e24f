// The members that one entry knows, as a pure state machine. Suspicion is local: it steers load
// and trading, and nothing irreversible may rest on it.
#pragma once

#include "global/random.h"
#include "global/time.h"
#include "membership/member.h"

#include <map>
#include <vector>

namespace cyclamenlatch::membership {

struct MemberTableSettings
{
    Duration period = std::chrono::seconds(1);
    // Peers that get a digest each period.
    unsigned fanOut = 3;
    // Members in one digest; bounds its bytes whatever the number of entries.
    unsigned digestMembers = 24;
    // Shortest silence after which a member counts as unreachable.
    Duration minSilence = std::chrono::seconds(3);
    // Silence allowed in addition for each member, since a digest names only some.
    Duration silencePerMember = std::chrono::milliseconds(200);
    // Members silent for this long are no longer sent to, unless they are seeds.
    Duration forgetAfter = std::chrono::minutes(10);
};

struct OutgoingDigest
{
    EntryId to;
    MemberDigest digest;
};

class MemberTable
{
public:
    MemberTable(MemberTableSettings settings, Member self);

    const Member &self() const { return m_self; }
    void setValue(std::uint8_t topic, std::string value);
    // Addresses to try that are not known as members yet.
    void addSeeds(const std::vector<PeerAddress> &seeds);
    void setLeaving() { m_self.leaving = true; }

    // Digests due at this time; call at each period.
    std::vector<OutgoingDigest> tick(TimePoint now, Random &random);
    // The digest for every peer when this entry leaves.
    std::vector<OutgoingDigest> farewell() const;
    // Returns whether the live members may have changed.
    bool receive(const MemberDigest &digest, TimePoint now);

    // Other members that are heard of and not leaving.
    std::vector<Member> live(TimePoint now) const;
    // Everybody a message may be sent to: members and seeds.
    std::vector<PeerAddress> addresses() const;

private:
    struct Known
    {
        Member member;
        TimePoint lastAdvance;
    };

    Duration silenceLimit() const;
    MemberDigest makeDigest(Random &random) const;
    void forget(TimePoint now);

    MemberTableSettings m_settings;
    Member m_self;
    // Without this entry. Never goes back to an earlier incarnation or heartbeat.
    std::map<EntryId, Known> m_known;
    std::map<EntryId, PeerAddress> m_seeds;
    TimePoint m_lastTick{};
};

} // namespace cyclamenlatch::membership
