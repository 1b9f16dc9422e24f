// Decides how configuration and withdrawn keys spread between the store and the entries, and what
// this entry has evidence of. Pure: events come in with the time and a random generator, actions
// come out.
//
// Invariants: the known revision and the revision in force never fall; a withdrawn key stays
// withdrawn; a revision is published only when every part of it has arrived with its right hash.
#pragma once

#include "configuration/spreadaction.h"
#include "global/random.h"
#include "global/time.h"
#include "membership/peeraddress.h"
#include "store/storeitem.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::configuration {

// Keyed work is admitted only while the evidence that no withdrawal was missed is this fresh.
inline constexpr std::chrono::milliseconds freshnessBound{3000};
// How often tick is to be called.
inline constexpr std::chrono::milliseconds tickInterval{100};

// What another entry is known to have.
struct PeerView
{
    membership::PeerAddress address;
    std::uint64_t incarnation = 0;
    Digest digest;
    // Nothing until a digest came.
    std::optional<TimePoint> heardAt;
    // When the peer's withdrawn keys were last known to be the same as ours, on our clock.
    std::optional<TimePoint> matchedAt;
    // Age bound of the peer's evidence from the store, on our clock.
    std::optional<TimePoint> storeEvidenceAt;
    // When our withdrawn keys were last sent to it because it lacked some.
    std::optional<TimePoint> repairedAt;
};

class SpreadState
{
public:
    SpreadState(membership::PeerAddress self, TimePoint now);

    // Replaces the set of live peers.
    void setPeers(const std::vector<membership::PeerAddress> &peers);
    SpreadActions tick(TimePoint now, Random &random);
    SpreadActions receive(const EntryId &from, std::uint64_t incarnation,
                          const ConfigMessage &message, TimePoint now, Random &random);
    // sentAt is when the store was asked. A listing that answers ReadStore{0} is whole.
    SpreadActions takeListing(const store::StoreListing &listing, TimePoint sentAt, TimePoint now);
    SpreadActions failRead(TimePoint now, Random &random);
    // Content read from the store or made here.
    SpreadActions takePart(const std::string &content, TimePoint now);
    // A head that this entry itself wrote to the store.
    SpreadActions takeHead(store::StoreRevision revision, const std::string &head, TimePoint now);
    // The shell has put the revision in force, or refused it for good.
    SpreadActions putInForce(store::StoreRevision revision);
    // Takes the withdrawal here and sends it to every peer at once.
    SpreadActions withdraw(const std::vector<KeyId> &ids);
    // The store holds these ids.
    void noteDurable(const std::vector<KeyId> &ids);

    store::StoreRevision knownRevision() const { return m_knownRevision; }
    store::StoreRevision revisionInForce() const { return m_revisionInForce; }
    const std::set<KeyId> &withdrawn() const { return m_withdrawn; }
    // Whether the peer's last digest says that it has the same withdrawn keys.
    bool hasAllWithdrawn(const PeerView &peer) const
    {
        return peer.heardAt && peer.digest.withdrawnHash == m_withdrawnHash;
    }
    bool isDurable(const KeyId &id) const { return m_durable.contains(id); }
    const std::map<EntryId, PeerView> &peers() const { return m_peers; }
    // When this entry last knew of every withdrawal, or nothing when it never did.
    std::optional<TimePoint> evidenceAt() const;
    std::optional<TimePoint> storeEvidenceAt() const { return m_storeEvidence; }
    bool isFresh(TimePoint now) const;
    bool isRelay(TimePoint now) const;
    // Why there is no configuration yet.
    std::string unreadyReason() const;

private:
    struct PullState
    {
        std::string bytes;
        TimePoint askedAt{};
        EntryId askedOf;
    };

    void takeDigest(PeerView &peer, const Digest &digest, TimePoint now, SpreadActions &actions);
    void answerPull(const EntryId &from, const Pull &pull, SpreadActions &actions) const;
    void takeChunk(const EntryId &from, const Chunk &chunk, TimePoint now, SpreadActions &actions);
    void addWithdrawn(const std::vector<KeyId> &ids, SpreadActions &actions);
    void learnHead(store::StoreRevision revision, const std::string &hash);
    void addContent(const std::string &content);
    std::vector<std::string> missingHashes() const;
    void continuePulls(TimePoint now, SpreadActions &actions, Random *random);
    void publishWhenWhole(TimePoint now, SpreadActions &actions);
    bool mayPublish(TimePoint now) const;
    void dropUnusedContent();
    void askPeers(TimePoint now, Random &random, SpreadActions &actions);
    std::set<EntryId> peersToStartFrom(TimePoint now, Random &random) const;
    void readStore(TimePoint now, SpreadActions &actions);
    void repairWithdrawn(PeerView &peer, TimePoint now, SpreadActions &actions) const;
    void sendWithdrawnTo(const EntryId &to, SpreadActions &actions) const;
    // A digest without evidence, as an acknowledgement or a push.
    Digest makeNotice() const;
    Digest makeDigest(TimePoint now) const;
    std::optional<TimePoint> jointEvidence() const;
    void noteStoreEvidence(TimePoint at);
    void tellEveryone(SpreadActions &actions) const;

    membership::PeerAddress m_self;
    TimePoint m_startedAt;
    // The newest revision heard of; its parts may still be missing.
    store::StoreRevision m_knownRevision = 0;
    std::string m_knownHead;
    store::StoreRevision m_revisionInForce = 0;
    // Published to the shell, which has not answered yet.
    store::StoreRevision m_publishedRevision = 0;
    // Heads and parts by their hash.
    std::map<std::string, std::string> m_content;
    std::map<std::string, PullState> m_pulls;
    std::set<KeyId> m_withdrawn;
    std::string m_withdrawnHash;
    std::set<KeyId> m_durable;
    std::map<EntryId, PeerView> m_peers;
    // Every data centre that ever had a peer.
    std::set<DataCentreId> m_dataCentres;
    std::optional<TimePoint> m_storeEvidence;
    // Revision up to which the store's changes were taken; 0: read it whole.
    store::StoreRevision m_readUpTo = 0;
    bool m_isReading = false;
    unsigned m_failedReads = 0;
    TimePoint m_nextRead{};
    TimePoint m_nextQuestion{};
    TimePoint m_nextStoreWithdrawn{};
};

} // namespace cyclamenlatch::configuration
