// Timers, store calls and peer messages of the configuration spread.
#include "configuration/configuration.h"

#include "configuration/confighead.h"
#include "configuration/configurationevents.h"
#include "configuration/contenthash.h"
#include "fleet/fleetyaml.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <set>
#include <sstream>
#include <utility>

namespace cyclamenlatch::configuration {

namespace {

using membership::PeerTopic;
using store::StoreRevision;

// Well below the freshness bound, so that a quiet store still gives evidence in time.
constexpr std::chrono::milliseconds watchWait{1000};
constexpr std::size_t maxPartBytes = std::size_t{90} * 1024;
constexpr std::size_t keptRevisions = 16;
constexpr unsigned withdrawnShards = 16;
constexpr unsigned maxShardConflicts = 8;

PeerTopic topicOf(const ConfigMessage &message)
{
    return std::holds_alternative<WithdrawnKeys>(message) ? PeerTopic::KeyWithdrawal
                                                          : PeerTopic::Configuration;
}

std::string shardKey(const KeyId &id)
{
    const auto hash = contentHash(id.value());
    return fmt::format("{}{}", withdrawnPrefix,
                       std::stoul(hash.substr(0, 2), nullptr, 16) % withdrawnShards);
}

// Joins the ids to those in the text, one a line.
std::string mergeIds(const std::string &text, const std::vector<KeyId> &ids)
{
    std::set<std::string> merged;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        merged.insert(line);
    }
    for (const auto &id : ids) {
        merged.insert(id.value());
    }
    std::string result;
    for (const auto &id : merged) {
        result += id;
        result += '\n';
    }
    return result;
}

template<typename HasIt>
SpreadReport makeReport(const SpreadState &state, const membership::PeerAddress &self,
                        bool selfHasIt, const HasIt &peerHasIt)
{
    std::map<DataCentreId, DataCentreSpread> dataCentres;
    const auto count = [&dataCentres](const membership::PeerAddress &entry, bool hasIt) {
        auto &spread = dataCentres[entry.dataCentre];
        spread.dataCentre = entry.dataCentre;
        ++spread.entries;
        if (!hasIt) {
            spread.pending.push_back(entry.entry);
        }
    };
    count(self, selfHasIt);
    for (const auto &[id, peer] : state.peers()) {
        count(peer.address, peerHasIt(peer));
    }
    SpreadReport report;
    for (auto &[id, spread] : dataCentres) {
        report.dataCentres.push_back(std::move(spread));
    }
    return report;
}

} // namespace

struct Configuration::Applying
{
    std::vector<std::string> parts;
    std::size_t nextPart = 0;
    StoreRevision from = 0;
    ApplyCompletion completion;
};

struct Configuration::StoringWithdrawn
{
    std::string key;
    std::vector<KeyId> ids;
    unsigned conflicts = 0;
    DoneCompletion done;
};

Configuration::Configuration(asio::io_context &context, membership::PeerBus &peers,
                             store::StoreClient &store, ConfigurationCallbacks callbacks)
    : m_context(context)
    , m_peers(peers)
    , m_store(store)
    , m_callbacks(std::move(callbacks))
    , m_timer(context)
    , m_state(peers.self(), steadyNow())
    , m_random(std::random_device{}())
{
    const auto receive = [this](const membership::PeerMessage &message) {
        const auto decoded = membership::decode<ConfigMessage>(message.body);
        if (!decoded || m_stopping) {
            return;
        }
        act([&](SpreadState &state) {
            return state.receive(message.from, message.incarnation, *decoded, steadyNow(),
                                 m_random);
        });
    };
    m_peers.subscribe(PeerTopic::Configuration, receive);
    m_peers.subscribe(PeerTopic::KeyWithdrawal, receive);
}

void Configuration::start()
{
    act([&](SpreadState &state) {
        state.setPeers(m_peers.peers());
        return SpreadActions{};
    });
    scheduleTick();
}

void Configuration::stop()
{
    m_stopping = true;
}

void Configuration::scheduleTick()
{
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (error || m_stopping) {
            return;
        }
        const auto peers = m_peers.peers();
        const auto sharers = std::count_if(peers.begin(), peers.end(),
                                           [this](const membership::PeerAddress &peer) {
                                               return peer.dataCentre == m_peers.self().dataCentre;
                                           });
        m_store.setSharers(static_cast<unsigned>(sharers) + 1);
        act([&](SpreadState &state) {
            state.setPeers(peers);
            return state.tick(steadyNow(), m_random);
        });
        scheduleTick();
    });
}

template<typename Change>
void Configuration::act(const Change &change)
{
    SpreadActions actions;
    {
        const std::lock_guard lock(m_mutex);
        actions = change(m_state);
        m_evidence = m_state.evidenceAt().value_or(TimePoint{}).time_since_epoch().count();
    }
    carryOut(std::move(actions));
    answerWaiters();
}

void Configuration::carryOut(SpreadActions actions)
{
    for (const auto &action : actions) {
        std::visit([this](const auto &one) { carryOut(one); }, action);
    }
}

void Configuration::carryOut(const SendMessage &action)
{
    m_peers.sendValue(action.to, topicOf(action.message), action.message);
}

void Configuration::carryOut(const PublishFleet &action)
{
    asio::post(m_context, [this, action] { publish(action); });
}

void Configuration::publish(const PublishFleet &action)
{
    auto reading = fleet::readFleetParts(action.parts);
    const std::lock_guard publishing(m_publishMutex);
    if (action.revision <= current().revision) {
        return;
    }
    if (!reading.mistakes.empty()) {
        logEvent(revisionRefused, "revision {}: {}", action.revision,
                 reading.mistakes.front().toString());
        return;
    }
    FleetRevision revision;
    revision.revision = action.revision;
    revision.fleet = std::make_shared<const fleet::FleetDocument>(std::move(reading.document));
    m_callbacks.onFleet(revision);
    {
        const std::lock_guard lock(m_mutex);
        m_revisions.push_back(revision);
        if (m_revisions.size() > keptRevisions) {
            m_revisions.pop_front();
        }
    }
    logEvent(revisionInForce, "revision {}", action.revision);
    act([&](SpreadState &state) { return state.putInForce(action.revision); });
}

void Configuration::carryOut(const PublishWithdrawn &action)
{
    logEvent(keysWithdrawn, "{} keys", action.ids.size());
    m_callbacks.onWithdrawn(action.ids);
}

void Configuration::carryOut(const ReadStore &action)
{
    const auto sentAt = steadyNow();
    auto completion = [this, sentAt](const Result<store::StoreListing> &listing) {
        if (m_stopping) {
            return;
        }
        if (!listing) {
            logEvent(storeReadFailed, "{}", listing.error().message);
        }
        act([&](SpreadState &state) {
            return listing ? state.takeListing(listing.value(), sentAt, steadyNow())
                           : state.failRead(steadyNow(), m_random);
        });
    };
    if (action.after == 0) {
        m_store.list(configPrefix, std::move(completion));
    } else {
        m_store.watch(configPrefix, action.after, watchWait, std::move(completion));
    }
}

void Configuration::carryOut(const ReadPart &action)
{
    m_store.get(partPrefix + action.hash,
                [this](const Result<std::optional<store::StoreItem>> &item) {
                    if (m_stopping || !item || !item.value()) {
                        return;
                    }
                    act([&](SpreadState &state) {
                        return state.takePart(item.value()->value, steadyNow());
                    });
                });
}

void Configuration::carryOut(const StoreWithdrawn &action)
{
    storeWithdrawn(action.ids, [](const Result<void> &) {});
}

FleetRevision Configuration::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_revisions.empty() ? FleetRevision{} : m_revisions.back();
}

std::shared_ptr<const fleet::FleetDocument> Configuration::findRevision(
        StoreRevision revision) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(
            m_revisions.begin(), m_revisions.end(),
            [revision](const FleetRevision &kept) { return kept.revision == revision; });
    return found == m_revisions.end() ? nullptr : found->fleet;
}

std::string Configuration::unreadyReason() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.unreadyReason();
}

bool Configuration::isWithdrawn(const KeyId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.withdrawn().contains(id);
}

bool Configuration::isDurable(const KeyId &id) const
{
    const std::lock_guard lock(m_mutex);
    return m_state.isDurable(id);
}

bool Configuration::isRelay() const
{
    const std::lock_guard lock(m_mutex);
    return m_state.isRelay(steadyNow());
}

void Configuration::apply(const fleet::FleetDocument &document, StoreRevision from,
                          ApplyCompletion completion)
{
    auto applying = std::make_shared<Applying>();
    applying->parts = fleet::writeFleetParts(document, maxPartBytes);
    applying->from = from;
    applying->completion = std::move(completion);
    writeNextPart(std::move(applying));
}

void Configuration::writeNextPart(std::shared_ptr<Applying> applying)
{
    if (applying->nextPart == applying->parts.size()) {
        return writeHead(std::move(applying));
    }
    const auto &part = applying->parts[applying->nextPart];
    m_store.compareAndSwap({partPrefix + contentHash(part), part, 0, ""},
                           [this, applying](const Result<StoreRevision> &written) {
                               // A conflict means that the same content is there already.
                               if (!written && written.error().kind != ErrorKind::Conflict) {
                                   auto error = written.error();
                                   return applying->completion(
                                           failure(ErrorKind::Unavailable,
                                                   "nothing was accepted: " + error.message,
                                                   "apply the document again"));
                               }
                               ++applying->nextPart;
                               writeNextPart(applying);
                           });
}

void Configuration::writeHead(std::shared_ptr<Applying> applying)
{
    ConfigHead head;
    for (const auto &part : applying->parts) {
        head.parts.push_back(contentHash(part));
    }
    auto text = head.toText();
    m_store.compareAndSwap({headKey, text, applying->from, ""},
                           [this, applying, text](const Result<StoreRevision> &written) {
                               if (written) {
                                   act([&](SpreadState &state) {
                                       for (const auto &part : applying->parts) {
                                           state.takePart(part, steadyNow());
                                       }
                                       return state.takeHead(written.value(), text, steadyNow());
                                   });
                               }
                               applying->completion(written);
                           });
}

void Configuration::withdraw(const KeyId &id, DoneCompletion done)
{
    act([&](SpreadState &state) {
        state.setPeers(m_peers.peers());
        return state.withdraw({id});
    });
    storeWithdrawn({id}, std::move(done));
}

void Configuration::storeWithdrawn(std::vector<KeyId> ids, DoneCompletion done)
{
    std::map<std::string, std::vector<KeyId>> shards;
    for (auto &id : ids) {
        auto key = shardKey(id);
        shards[std::move(key)].push_back(std::move(id));
    }
    for (auto &[key, shardIds] : shards) {
        auto storing = std::make_shared<StoringWithdrawn>();
        storing->key = key;
        storing->ids = std::move(shardIds);
        storing->done = done;
        storeShard(std::move(storing));
    }
}

void Configuration::storeShard(std::shared_ptr<StoringWithdrawn> storing)
{
    const auto fail = [storing](const Error &error) {
        logEvent(withdrawalNotDurable, "{}: {}", storing->key, error.message);
        storing->done(failure(error.kind, error.message, error.remedy));
    };
    const auto finish = [this, storing] {
        act([&](SpreadState &state) {
            state.noteDurable(storing->ids);
            return SpreadActions{};
        });
        storing->done(success());
    };
    m_store.get(storing->key, [this, storing, fail,
                               finish](const Result<std::optional<store::StoreItem>> &item) {
        if (!item) {
            return fail(item.error());
        }
        const auto &found = item.value();
        const auto before = found ? found->value : std::string();
        auto merged = mergeIds(before, storing->ids);
        if (merged == before) {
            return finish();
        }
        m_store.compareAndSwap({storing->key, std::move(merged), found ? found->revision : 0, ""},
                               [this, storing, fail, finish](const Result<StoreRevision> &written) {
                                   if (written) {
                                       return finish();
                                   }
                                   const auto kind = written.error().kind;
                                   const bool mayRepeat = kind == ErrorKind::Conflict
                                                          || kind == ErrorKind::Unknown;
                                   if (!mayRepeat || ++storing->conflicts > maxShardConflicts
                                       || m_stopping) {
                                       return fail(written.error());
                                   }
                                   storeShard(storing);
                               });
    });
}

SpreadReport Configuration::reportRevision(StoreRevision revision) const
{
    const std::lock_guard lock(m_mutex);
    return makeReport(
            m_state, m_peers.self(), m_state.revisionInForce() >= revision,
            [revision](const PeerView &peer) { return peer.digest.revisionInForce >= revision; });
}

SpreadReport Configuration::reportWithdrawn() const
{
    const std::lock_guard lock(m_mutex);
    return makeReport(m_state, m_peers.self(), true,
                      [this](const PeerView &peer) { return m_state.hasAllWithdrawn(peer); });
}

void Configuration::whenInForce(StoreRevision revision, std::chrono::milliseconds patience,
                                ReportCompletion completion)
{
    wait({[this, revision] { return reportRevision(revision); }, steadyNow() + patience,
          std::move(completion)});
}

void Configuration::whenWithdrawnEverywhere(std::chrono::milliseconds patience,
                                            ReportCompletion completion)
{
    wait({[this] { return reportWithdrawn(); }, steadyNow() + patience, std::move(completion)});
}

void Configuration::wait(Waiter waiter)
{
    // A peer that joined since the last tick has to acknowledge as well.
    const auto peers = m_peers.peers();
    {
        const std::lock_guard lock(m_mutex);
        m_state.setPeers(peers);
        m_waiters.push_back(std::move(waiter));
    }
    answerWaiters();
}

void Configuration::answerWaiters()
{
    std::vector<Waiter> waiters;
    {
        const std::lock_guard lock(m_mutex);
        waiters.swap(m_waiters);
    }
    const auto now = steadyNow();
    for (auto &waiter : waiters) {
        const auto report = waiter.report();
        if (report.isEverywhere() || waiter.deadline <= now) {
            waiter.completion(report);
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_waiters.push_back(std::move(waiter));
    }
}

} // namespace cyclamenlatch::configuration
