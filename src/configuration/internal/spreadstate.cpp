// The decisions of the configuration spread.
#include "configuration/spreadstate.h"

#include "configuration/confighead.h"
#include "configuration/contenthash.h"
#include "store/retrydelay.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace cyclamenlatch::configuration {

namespace {

using store::StoreRevision;

constexpr std::size_t chunkBytes = std::size_t{16} * 1024;
// Ids in one message, far below the size of a datagram.
constexpr std::size_t maxIdsPerMessage = 500;
constexpr std::chrono::milliseconds pullTimeout{200};
constexpr std::chrono::milliseconds questionInterval{500};
// After this much silence another entry of the data centre watches the store as well.
constexpr std::chrono::milliseconds relaySilence{2500};
// After a start, time for the peers to tell their revision before an older one is used.
constexpr std::chrono::milliseconds startPatience{1000};
constexpr std::chrono::milliseconds storeWithdrawnInterval{1000};
constexpr std::chrono::milliseconds oldAnswerDelay{500};
constexpr std::chrono::milliseconds repairInterval{200};
constexpr unsigned maxCountedFailures = 10;
// Peers that have not answered, asked in one round without a configuration.
constexpr std::size_t maxStartQuestions = 8;

std::string hashIds(const std::set<KeyId> &ids)
{
    std::string text;
    for (const auto &id : ids) {
        text += id.value();
        text += '\n';
    }
    return contentHash(text);
}

std::uint64_t relayRank(const membership::PeerAddress &peer)
{
    const auto text = peer.dataCentre.value() + "/" + peer.entry.value();
    return XXH64(text.data(), text.size(), 0);
}

std::vector<KeyId> readIds(const std::string &text)
{
    std::vector<KeyId> ids;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty()) {
            ids.emplace_back(line);
        }
    }
    return ids;
}

std::vector<std::string> partsOf(const std::string &head)
{
    auto parsed = ConfigHead::fromText(head);
    return parsed ? std::move(parsed->parts) : std::vector<std::string>();
}

// Keeps up to this many ids, chosen at random.
void keepSome(std::vector<EntryId> &ids, std::size_t count, Random &random)
{
    for (std::size_t place = 0; place < count && place < ids.size(); ++place) {
        const auto left = static_cast<std::uint32_t>(ids.size() - place);
        std::swap(ids[place], ids[place + uniformBelow(random, left)]);
    }
    ids.resize(std::min(count, ids.size()));
}

bool isNewer(const std::optional<TimePoint> &at, TimePoint than)
{
    return at && *at > than;
}

} // namespace

SpreadState::SpreadState(membership::PeerAddress self, TimePoint now)
    : m_self(std::move(self))
    , m_startedAt(now)
    , m_withdrawnHash(hashIds({}))
{}

void SpreadState::setPeers(const std::vector<membership::PeerAddress> &peers)
{
    std::map<EntryId, PeerView> views;
    for (const auto &peer : peers) {
        auto &view = views[peer.entry];
        const auto known = m_peers.find(peer.entry);
        if (known != m_peers.end()) {
            view = std::move(known->second);
        }
        view.address = peer;
        m_dataCentres.insert(peer.dataCentre);
    }
    m_peers = std::move(views);
}

Digest SpreadState::makeNotice() const
{
    Digest digest;
    digest.knownRevision = m_knownRevision;
    digest.head = m_knownHead;
    digest.revisionInForce = m_revisionInForce;
    digest.withdrawnCount = m_withdrawn.size();
    digest.withdrawnHash = m_withdrawnHash;
    return digest;
}

Digest SpreadState::makeDigest(TimePoint now) const
{
    auto digest = makeNotice();
    if (m_storeEvidence) {
        digest.storeEvidenceAge = toMilliseconds(now - *m_storeEvidence).count() + 1;
    }
    return digest;
}

void SpreadState::tellEveryone(SpreadActions &actions) const
{
    for (const auto &[id, peer] : m_peers) {
        actions.emplace_back(SendMessage{id, makeNotice()});
    }
}

SpreadActions SpreadState::tick(TimePoint now, Random &random)
{
    SpreadActions actions;
    if (now >= m_nextQuestion) {
        m_nextQuestion = now + questionInterval;
        askPeers(now, random, actions);
    }
    readStore(now, actions);
    continuePulls(now, actions, &random);
    publishWhenWhole(now, actions);
    for (auto &[id, peer] : m_peers) {
        repairWithdrawn(peer, now, actions);
    }
    if (m_durable.size() < m_withdrawn.size() && now >= m_nextStoreWithdrawn && isRelay(now)) {
        m_nextStoreWithdrawn = now + storeWithdrawnInterval;
        StoreWithdrawn store;
        std::set_difference(m_withdrawn.begin(), m_withdrawn.end(), m_durable.begin(),
                            m_durable.end(), std::back_inserter(store.ids));
        actions.emplace_back(std::move(store));
    }
    return actions;
}

// Asks one peer of each data centre, in its own the relay: enough to judge freshness, and anti-
// entropy for all that pushes have missed. Before any configuration is known it asks more.
void SpreadState::askPeers(TimePoint now, Random &random, SpreadActions &actions)
{
    std::map<DataCentreId, std::vector<const PeerView *>> byDataCentre;
    for (const auto &[id, peer] : m_peers) {
        byDataCentre[peer.address.dataCentre].push_back(&peer);
    }
    std::set<EntryId> asked;
    if (m_knownRevision == 0) {
        asked = peersToStartFrom(now, random);
    }
    for (const auto &[dataCentre, peers] : byDataCentre) {
        const auto chosen = uniformBelow(random, static_cast<std::uint32_t>(peers.size()));
        asked.insert(peers[chosen]->address.entry);
        if (dataCentre != m_self.dataCentre) {
            continue;
        }
        const auto *relay = *std::max_element(
                peers.begin(), peers.end(), [](const PeerView *left, const PeerView *right) {
                    return relayRank(left->address) < relayRank(right->address);
                });
        if (relayRank(relay->address) > relayRank(m_self)) {
            asked.insert(relay->address.entry);
        }
    }
    auto question = makeDigest(now);
    question.isQuestion = true;
    question.askerClock = now.time_since_epoch().count();
    for (const auto &peer : asked) {
        actions.emplace_back(SendMessage{peer, question});
    }
}

// Those that have not answered since the start: at first all, because a revision waits for their
// word; later some, because a fleet may be without a configuration or its peers for long.
std::set<EntryId> SpreadState::peersToStartFrom(TimePoint now, Random &random) const
{
    std::vector<EntryId> unheard;
    for (const auto &[id, peer] : m_peers) {
        if (!peer.heardAt) {
            unheard.push_back(id);
        }
    }
    if (now >= m_startedAt + startPatience) {
        keepSome(unheard, maxStartQuestions, random);
    }
    return {unheard.begin(), unheard.end()};
}

bool SpreadState::isRelay(TimePoint now) const
{
    const auto rank = relayRank(m_self);
    return std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &item) {
        const auto &peer = item.second;
        return peer.address.dataCentre == m_self.dataCentre && relayRank(peer.address) > rank
               && isNewer(peer.heardAt, now - relaySilence)
               && isNewer(peer.storeEvidenceAt, now - relaySilence);
    });
}

void SpreadState::readStore(TimePoint now, SpreadActions &actions)
{
    if (m_isReading || now < m_nextRead || !isRelay(now)) {
        return;
    }
    m_isReading = true;
    actions.emplace_back(ReadStore{m_readUpTo});
}

SpreadActions SpreadState::failRead(TimePoint now, Random &random)
{
    m_isReading = false;
    m_nextRead = now + store::retryDelay(m_failedReads, random);
    m_failedReads = std::min(m_failedReads + 1, maxCountedFailures);
    return {};
}

SpreadActions SpreadState::takeListing(const store::StoreListing &listing, TimePoint sentAt,
                                       TimePoint now)
{
    SpreadActions actions;
    m_isReading = false;
    m_failedReads = 0;
    m_nextRead = now;
    if (listing.revision < m_readUpTo || listing.revision < m_knownRevision) {
        // An old answer says nothing about what has happened since.
        m_nextRead = now + oldAnswerDelay;
        return actions;
    }
    m_readUpTo = listing.revision;
    for (const auto &item : listing.items) {
        if (item.deleted) {
            continue;
        }
        if (item.key.starts_with(partPrefix)) {
            // Old parts are not kept unless the head names them, see dropUnusedContent.
            addContent(item.value);
        } else if (item.key.starts_with(withdrawnPrefix)) {
            const auto ids = readIds(item.value);
            noteDurable(ids);
            addWithdrawn(ids, actions);
        }
    }
    for (const auto &item : listing.items) {
        if (item.key == headKey && !item.deleted) {
            auto more = takeHead(item.revision, item.value, now);
            std::move(more.begin(), more.end(), std::back_inserter(actions));
        }
    }
    dropUnusedContent();
    noteStoreEvidence(sentAt);
    publishWhenWhole(now, actions);
    return actions;
}

SpreadActions SpreadState::takeHead(StoreRevision revision, const std::string &head, TimePoint now)
{
    SpreadActions actions;
    if (revision <= m_knownRevision) {
        return actions;
    }
    auto text = head;
    if (!ConfigHead::fromText(head)) {
        addContent(head);
        text = ConfigHead{{contentHash(head)}}.toText();
    }
    addContent(text);
    learnHead(revision, contentHash(text));
    tellEveryone(actions);
    publishWhenWhole(now, actions);
    return actions;
}

SpreadActions SpreadState::takePart(const std::string &content, TimePoint now)
{
    SpreadActions actions;
    addContent(content);
    publishWhenWhole(now, actions);
    return actions;
}

void SpreadState::learnHead(StoreRevision revision, const std::string &hash)
{
    m_knownRevision = revision;
    m_knownHead = hash;
    m_pulls.clear();
}

void SpreadState::addContent(const std::string &content)
{
    m_content.emplace(contentHash(content), content);
}

std::vector<std::string> SpreadState::missingHashes() const
{
    if (m_knownHead.empty()) {
        return {};
    }
    const auto head = m_content.find(m_knownHead);
    if (head == m_content.end()) {
        return {m_knownHead};
    }
    std::vector<std::string> missing;
    for (const auto &part : partsOf(head->second)) {
        if (!m_content.contains(part)) {
            missing.push_back(part);
        }
    }
    return missing;
}

void SpreadState::continuePulls(TimePoint now, SpreadActions &actions, Random *random)
{
    for (const auto &hash : missingHashes()) {
        auto &pull = m_pulls[hash];
        if (pull.askedAt != TimePoint{} && now < pull.askedAt + pullTimeout) {
            continue;
        }
        std::vector<EntryId> holders;
        for (const auto &[id, peer] : m_peers) {
            if (peer.heardAt && peer.digest.head == m_knownHead) {
                holders.push_back(id);
            }
        }
        pull.askedAt = now;
        if (holders.empty()) {
            actions.emplace_back(ReadPart{hash});
            continue;
        }
        const auto chosen =
                random == nullptr
                        ? 0U
                        : uniformBelow(*random, static_cast<std::uint32_t>(holders.size()));
        pull.askedOf = holders[chosen];
        actions.emplace_back(SendMessage{pull.askedOf, Pull{hash, pull.bytes.size()}});
    }
}

bool SpreadState::mayPublish(TimePoint now) const
{
    if (m_revisionInForce > 0 || now >= m_startedAt + startPatience) {
        return true;
    }
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [](const auto &item) { return item.second.heardAt.has_value(); });
}

void SpreadState::publishWhenWhole(TimePoint now, SpreadActions &actions)
{
    if (m_knownRevision <= std::max(m_revisionInForce, m_publishedRevision) || !mayPublish(now)) {
        return;
    }
    if (!missingHashes().empty()) {
        continuePulls(now, actions, nullptr);
        return;
    }
    PublishFleet publish;
    publish.revision = m_knownRevision;
    for (const auto &part : partsOf(m_content.at(m_knownHead))) {
        publish.parts.push_back(m_content.at(part));
    }
    m_publishedRevision = m_knownRevision;
    dropUnusedContent();
    actions.emplace_back(std::move(publish));
}

void SpreadState::dropUnusedContent()
{
    const auto head = m_content.find(m_knownHead);
    if (head == m_content.end() || !missingHashes().empty()) {
        return;
    }
    std::map<std::string, std::string> used;
    used.insert(*head);
    for (const auto &part : partsOf(head->second)) {
        used.insert(*m_content.find(part));
    }
    m_content = std::move(used);
}

SpreadActions SpreadState::putInForce(StoreRevision revision)
{
    SpreadActions actions;
    m_revisionInForce = std::max(m_revisionInForce, revision);
    tellEveryone(actions);
    return actions;
}

SpreadActions SpreadState::receive(const EntryId &from, std::uint64_t incarnation,
                                   const ConfigMessage &message, TimePoint now, Random &random)
{
    SpreadActions actions;
    const auto peer = m_peers.find(from);
    if (peer == m_peers.end() || incarnation < peer->second.incarnation) {
        return actions;
    }
    if (incarnation > peer->second.incarnation) {
        const auto address = peer->second.address;
        peer->second = PeerView{.address = address, .incarnation = incarnation};
    }
    if (const auto *digest = std::get_if<Digest>(&message)) {
        takeDigest(peer->second, *digest, now, actions);
        continuePulls(now, actions, &random);
        publishWhenWhole(now, actions);
    } else if (const auto *pull = std::get_if<Pull>(&message)) {
        answerPull(from, *pull, actions);
    } else if (const auto *chunk = std::get_if<Chunk>(&message)) {
        takeChunk(from, *chunk, now, actions);
    } else if (const auto *withdrawn = std::get_if<WithdrawnKeys>(&message)) {
        addWithdrawn(withdrawn->ids, actions);
    }
    return actions;
}

void SpreadState::takeDigest(PeerView &peer, const Digest &digest, TimePoint now,
                             SpreadActions &actions)
{
    peer.heardAt = now;
    // Reordered digests must not take an acknowledgement back.
    const auto acknowledged = std::max(peer.digest.revisionInForce, digest.revisionInForce);
    peer.digest = digest;
    peer.digest.revisionInForce = acknowledged;
    if (digest.knownRevision > m_knownRevision) {
        learnHead(digest.knownRevision, digest.head);
    }
    repairWithdrawn(peer, now, actions);
    if (digest.isQuestion) {
        auto answer = makeDigest(now);
        answer.askerClock = digest.askerClock;
        actions.emplace_back(SendMessage{peer.address.entry, std::move(answer)});
        return;
    }
    if (digest.askerClock == 0) {
        return;
    }
    const TimePoint askedAt{Duration(digest.askerClock)};
    if (askedAt > now || digest.withdrawnHash != m_withdrawnHash) {
        return;
    }
    peer.matchedAt = std::max(peer.matchedAt.value_or(askedAt), askedAt);
    if (digest.storeEvidenceAge >= 0) {
        const TimePoint at = askedAt - std::chrono::milliseconds(digest.storeEvidenceAge);
        peer.storeEvidenceAt = std::max(peer.storeEvidenceAt.value_or(at), at);
        noteStoreEvidence(at);
    }
}

void SpreadState::noteStoreEvidence(TimePoint at)
{
    m_storeEvidence = std::max(m_storeEvidence.value_or(at), at);
}

void SpreadState::answerPull(const EntryId &from, const Pull &pull, SpreadActions &actions) const
{
    const auto content = m_content.find(pull.hash);
    if (content == m_content.end() || pull.offset > content->second.size()) {
        return;
    }
    Chunk chunk;
    chunk.hash = pull.hash;
    chunk.offset = pull.offset;
    chunk.total = content->second.size();
    chunk.bytes = content->second.substr(pull.offset, chunkBytes);
    actions.emplace_back(SendMessage{from, std::move(chunk)});
}

void SpreadState::takeChunk(const EntryId &from, const Chunk &chunk, TimePoint now,
                            SpreadActions &actions)
{
    const auto pull = m_pulls.find(chunk.hash);
    if (pull == m_pulls.end() || chunk.offset != pull->second.bytes.size()) {
        return;
    }
    auto &bytes = pull->second.bytes;
    bytes += chunk.bytes;
    if (bytes.size() < chunk.total && !chunk.bytes.empty()) {
        pull->second.askedAt = now;
        pull->second.askedOf = from;
        actions.emplace_back(SendMessage{from, Pull{chunk.hash, bytes.size()}});
        return;
    }
    const auto content = std::move(bytes);
    const auto hash = chunk.hash;
    m_pulls.erase(pull);
    if (contentHash(content) != hash) {
        return;
    }
    addContent(content);
    publishWhenWhole(now, actions);
}

// Sends this entry's withdrawn keys to a peer that lacks some; a peer that has more sends its own.
void SpreadState::repairWithdrawn(PeerView &peer, TimePoint now, SpreadActions &actions) const
{
    const bool lacksSome = peer.digest.withdrawnHash != m_withdrawnHash
                           && peer.digest.withdrawnCount <= m_withdrawn.size();
    if (!isNewer(peer.heardAt, now - relaySilence) || !lacksSome
        || isNewer(peer.repairedAt, now - repairInterval)) {
        return;
    }
    peer.repairedAt = now;
    sendWithdrawnTo(peer.address.entry, actions);
}

void SpreadState::sendWithdrawnTo(const EntryId &to, SpreadActions &actions) const
{
    WithdrawnKeys message;
    for (const auto &id : m_withdrawn) {
        message.ids.push_back(id);
        if (message.ids.size() == maxIdsPerMessage) {
            actions.emplace_back(SendMessage{to, std::exchange(message, {})});
        }
    }
    if (!message.ids.empty()) {
        actions.emplace_back(SendMessage{to, std::move(message)});
    }
}

void SpreadState::addWithdrawn(const std::vector<KeyId> &ids, SpreadActions &actions)
{
    const auto before = m_withdrawn.size();
    m_withdrawn.insert(ids.begin(), ids.end());
    if (m_withdrawn.size() == before) {
        return;
    }
    m_withdrawnHash = hashIds(m_withdrawn);
    actions.emplace_back(
            PublishWithdrawn{std::vector<KeyId>(m_withdrawn.begin(), m_withdrawn.end())});
    tellEveryone(actions);
}

SpreadActions SpreadState::withdraw(const std::vector<KeyId> &ids)
{
    SpreadActions actions;
    for (const auto &[id, peer] : m_peers) {
        actions.emplace_back(SendMessage{id, WithdrawnKeys{ids}});
    }
    addWithdrawn(ids, actions);
    return actions;
}

void SpreadState::noteDurable(const std::vector<KeyId> &ids)
{
    m_durable.insert(ids.begin(), ids.end());
}

std::optional<TimePoint> SpreadState::jointEvidence() const
{
    std::optional<TimePoint> joint;
    for (const auto &dataCentre : m_dataCentres) {
        std::optional<TimePoint> best;
        for (const auto &[id, peer] : m_peers) {
            if (peer.address.dataCentre == dataCentre && peer.matchedAt) {
                best = std::max(best.value_or(*peer.matchedAt), *peer.matchedAt);
            }
        }
        if (!best) {
            return std::nullopt;
        }
        joint = std::min(joint.value_or(*best), *best);
    }
    return joint;
}

std::optional<TimePoint> SpreadState::evidenceAt() const
{
    const auto joint = jointEvidence();
    if (!joint || !m_storeEvidence) {
        return joint ? joint : m_storeEvidence;
    }
    return std::max(*joint, *m_storeEvidence);
}

bool SpreadState::isFresh(TimePoint now) const
{
    const auto evidence = evidenceAt();
    return evidence && *evidence + freshnessBound > now;
}

std::string SpreadState::unreadyReason() const
{
    if (m_revisionInForce > 0) {
        return {};
    }
    if (m_knownRevision > 0 && m_publishedRevision == m_knownRevision) {
        return "the stored fleet document has mistakes; apply a corrected one";
    }
    if (m_knownRevision > 0) {
        return "the parts of the configuration are still arriving";
    }
    const auto heard = std::count_if(m_peers.begin(), m_peers.end(), [](const auto &item) {
        return item.second.heardAt.has_value();
    });
    if (m_storeEvidence) {
        return "the store holds no fleet document; apply one";
    }
    return "the platform's store has not answered, and " + std::to_string(heard) + " of "
           + std::to_string(m_peers.size()) + " peers did, without a configuration";
}

} // namespace cyclamenlatch::configuration
