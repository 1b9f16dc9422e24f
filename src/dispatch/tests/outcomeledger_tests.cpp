// A key runs at most once, whichever entry is asked, when entries are killed or replaced and
// messages are lost.
#include "dispatch/outcomeledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>

namespace cyclamenlatch::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WallTime start{milliseconds(1'700'000'000'000)};

std::string keyAt(WallTime time, const std::string &random = "abcdefgh")
{
    return "dc-a-" + std::to_string(time.time_since_epoch().count()) + "-" + random;
}

OutcomeClaim claimOf(const std::string &key, const std::string &attempt)
{
    return {"drivers/swaps/" + key, key, attempt, 1, 1000};
}

OwnerRoster soleOwnerSince(WallTime time)
{
    OwnerRoster roster(EntryId("e-1"), 1);
    roster.setPeers({}, time);
    return roster;
}

TEST(IdempotencyKey, parsesDataCentreAndTime)
{
    const auto key = parseIdempotencyKey("dc-a-1700000000000-abcdefgh");
    ASSERT_TRUE(key.has_value());
    EXPECT_EQ(key.value().home, DataCentreId("dc-a"));
    EXPECT_EQ(key.value().mintedAt, start);
    for (const auto *wrong :
         {"", "-", "abc", "dc-a-x-abcdefgh", "dc-a-1700000000000-short",
          "dc-a-1700000000000-abc defgh", "-1700000000000-abcdefgh", "dc-a-0-abcdefgh"}) {
        EXPECT_FALSE(parseIdempotencyKey(wrong).has_value()) << wrong;
    }
}

TEST(OutcomeLedger, grantsOnceAndReturnsTheStoredAnswer)
{
    const auto roster = soleOwnerSince(start);
    OutcomeLedger ledger({});
    const auto now = start + seconds(100);
    const auto key = keyAt(now);
    EXPECT_EQ(ledger.claim(claimOf(key, "a1"), roster, now).verdict, ClaimVerdict::Granted);
    EXPECT_EQ(ledger.claim(claimOf(key, "a1"), roster, now).verdict, ClaimVerdict::Granted)
            << "the same attempt asks again because the answer was lost";
    EXPECT_EQ(ledger.claim(claimOf(key, "a2"), roster, now).verdict, ClaimVerdict::Running);
    auto other = claimOf(key, "a3");
    other.fingerprint = 2;
    EXPECT_EQ(ledger.claim(other, roster, now).verdict, ClaimVerdict::FingerprintMismatch);
    ledger.report({"drivers/swaps/" + key, key, "a1", Outcome::Completed, {true, 200, "", "ok"}},
                  now);
    const auto repeated = ledger.claim(claimOf(key, "a4"), roster, now);
    EXPECT_EQ(repeated.verdict, ClaimVerdict::Completed);
    EXPECT_EQ(repeated.answer.body, "ok");
}

TEST(OutcomeLedger, unreportedAttemptIsUnknownAndProvenNotRunMayBeRepeated)
{
    const auto roster = soleOwnerSince(start);
    OutcomeLedger ledger({});
    const auto now = start + seconds(100);
    const auto silent = keyAt(now, "silentsilent");
    ledger.claim(claimOf(silent, "a1"), roster, now);
    EXPECT_EQ(ledger.claim(claimOf(silent, "a2"), roster, now + seconds(7)).verdict,
              ClaimVerdict::Unknown);
    const auto refused = keyAt(now, "refusedrefused");
    ledger.claim(claimOf(refused, "b1"), roster, now);
    ledger.report({"drivers/swaps/" + refused, refused, "b1", Outcome::NotRun, {}}, now);
    EXPECT_EQ(ledger.claim(claimOf(refused, "b2"), roster, now).verdict, ClaimVerdict::Granted);
}

TEST(OutcomeLedger, ownerThatMayHaveNoRecordAnswersUnknown)
{
    const auto now = start + seconds(100);
    OutcomeLedger ledger({});
    const auto roster = soleOwnerSince(now);
    EXPECT_EQ(ledger.claim(claimOf(keyAt(now - seconds(1)), "a1"), roster, now).verdict,
              ClaimVerdict::Unknown);
    EXPECT_EQ(ledger.claim(claimOf(keyAt(now + seconds(30)), "a1"), roster, now).verdict,
              ClaimVerdict::FromFuture);
    EXPECT_EQ(
            ledger.claim(claimOf(keyAt(now + seconds(4)), "a1"), roster, now + seconds(4)).verdict,
            ClaimVerdict::Granted);
    EXPECT_EQ(ledger.claim(claimOf(keyAt(start), "a1"), soleOwnerSince(start - seconds(60)),
                           start + std::chrono::hours(1))
                      .verdict,
              ClaimVerdict::Unknown)
            << "older than LedgerSettings::keyRetention";
}

TEST(OwnerRoster, ownsNothingUntilEveryPeerHasAcknowledged)
{
    OwnerRoster roster(EntryId("e-1"), 1);
    roster.setPeers({EntryId("e-2")}, start);
    EXPECT_FALSE(roster.ownsNow("k"));
    EXPECT_EQ(roster.unacknowledged(), std::set<EntryId>{EntryId("e-2")});
    roster.acknowledged(EntryId("e-2"), roster.handshake(), start + seconds(5));
    const auto owner = ownerOf("k", roster.entries());
    EXPECT_EQ(roster.ownsNow("k"), owner == EntryId("e-1"));
    EXPECT_FALSE(roster.ownedSince("k", start + seconds(4)));
}

// An entry and its peer exchange messages that may be late, repeated or lost, while the entry is
// paused and forgotten, or the peer is replaced. The entry must not count as acknowledged by a peer
// whose roster does not contain it.
RC_GTEST_PROP(OwnerRoster, ignoresAcknowledgementsSentBeforeItWasForgotten, ())
{
    const EntryId peer("e-2");
    OwnerRoster roster(EntryId("e-1"), 1);
    auto now = start;
    roster.observeTime(now);
    roster.setPeers({peer}, now);
    bool isInPeerRoster = false;
    std::vector<std::uint64_t> hellos;
    std::vector<std::uint64_t> acknowledgements;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            roster.observeTime(now);
            hellos.push_back(roster.handshake());
            break;
        case 1:
            if (!hellos.empty()) {
                acknowledgements.push_back(*rc::gen::elementOf(hellos));
                isInPeerRoster = true;
            }
            break;
        case 2:
            if (!acknowledgements.empty()) {
                roster.observeTime(now);
                roster.acknowledged(peer, *rc::gen::elementOf(acknowledgements), now);
            }
            break;
        case 3:
            // The entry is paused and the peer forgets it.
            now += 2 * OwnerRoster::longestPause;
            isInPeerRoster = false;
            break;
        default:
            // The peer leaves and another entry joins under its name.
            roster.observeTime(now);
            roster.setPeers({}, now);
            roster.setPeers({peer}, now);
            isInPeerRoster = false;
            break;
        }
        roster.observeTime(now);
        RC_ASSERT(isInPeerRoster || roster.unacknowledged().contains(peer));
    }
}

TEST(OwnerRoster, ownsNothingAfterALongPauseUntilAcknowledgedAgain)
{
    const WallTime start{std::chrono::hours(1)};
    const EntryId peer("e-2");
    OwnerRoster roster(EntryId("e-1"), 1);
    roster.observeTime(start);
    roster.setPeers({peer}, start);
    roster.acknowledged(peer, roster.handshake(), start);
    std::string key = "dc-a-3600000-aaaaaaaa";
    while (!roster.ownsNow(key)) {
        key += 'a';
    }
    const auto beforePause = roster.handshake();
    roster.observeTime(start + OwnerRoster::longestPause);
    EXPECT_TRUE(roster.unacknowledged().empty());

    const auto awake = start + 3 * OwnerRoster::longestPause;
    roster.observeTime(awake);
    EXPECT_EQ(roster.unacknowledged(), std::set<EntryId>{peer});
    EXPECT_FALSE(roster.ownsNow(key));
    EXPECT_FALSE(roster.ownedSince(key, start));

    roster.acknowledged(peer, beforePause, awake);
    EXPECT_FALSE(roster.ownsNow(key)) << "sent before the peer may have forgotten the entry";

    roster.acknowledged(peer, roster.handshake(), awake);
    EXPECT_FALSE(roster.ownedSince(key, start)) << "keys from before the pause stay unknown";
}

// In one data centre, entries join, are killed, and are replaced under the same or another name;
// clocks differ by up to the clock skew, and messages are repeated. A key is granted to a second
// attempt only after the first was proven not-run.
RC_GTEST_PROP(OutcomeLedger, keyRunsAtMostOnce, ())
{
    struct Entry
    {
        explicit Entry(const std::string &name)
            : roster(EntryId(name), 1)
        {}
        OwnerRoster roster;
        OutcomeLedger ledger{{}};
        milliseconds clockError{0};
    };
    std::map<std::string, std::unique_ptr<Entry>> entries;
    auto now = start;
    const auto clockOf = [&now](const Entry &entry) { return now + entry.clockError; };
    const auto join = [&](const std::string &name) {
        auto entry = std::make_unique<Entry>(name);
        entry->clockError = milliseconds(*rc::gen::inRange(0, 1000));
        std::set<EntryId> peers;
        for (const auto &[other, peer] : entries) {
            peers.insert(EntryId(other));
        }
        entry->roster.setPeers(peers, clockOf(*entry));
        for (const auto &[other, peer] : entries) {
            peer->roster.addPeer(EntryId(name), clockOf(*peer));
            entry->roster.acknowledged(EntryId(other), entry->roster.handshake(), clockOf(*entry));
        }
        entries[name] = std::move(entry);
    };
    // The other entries learn later that an entry was killed, each at a different time.
    const auto updateRosters = [&] {
        for (const auto &[name, entry] : entries) {
            if (*rc::gen::arbitrary<bool>()) {
                std::set<EntryId> peers;
                for (const auto &[other, peer] : entries) {
                    if (other != name) {
                        peers.insert(EntryId(other));
                    }
                }
                entry->roster.setPeers(peers, clockOf(*entry));
            }
        }
    };
    join("e-1");
    join("e-2");
    join("e-3");
    std::vector<std::string> keys;
    std::map<std::string, std::string> runner;
    int attempts = 0;
    const int steps = *rc::gen::inRange(10, 150);
    for (int step = 0; step < steps; ++step) {
        const int kind = *rc::gen::inRange(0, 10);
        if (kind == 0 && entries.size() > 1) {
            auto victim = entries.begin();
            std::advance(victim, *rc::gen::inRange<int>(0, static_cast<int>(entries.size())));
            entries.erase(victim);
        } else if (kind == 1) {
            const auto name = *rc::gen::element<std::string>("e-1", "e-2", "e-3", "e-4");
            if (!entries.contains(name)) {
                join(name);
            }
        } else if (kind == 2) {
            updateRosters();
        } else if (kind == 3) {
            now += milliseconds(*rc::gen::inRange(0, 20000));
        } else if (kind == 4 || keys.empty()) {
            // The caller's clock is ahead by up to the clock skew.
            keys.push_back(keyAt(now + milliseconds(*rc::gen::inRange(0, 1000)),
                                 "random" + std::to_string(keys.size()) + "xx"));
        } else {
            const auto key = *rc::gen::elementOf(keys);
            // Any entry may be asked, since the asking entry's roster may be outdated.
            auto asked = entries.begin();
            std::advance(asked, *rc::gen::inRange<int>(0, static_cast<int>(entries.size())));
            auto &entry = *asked->second;
            const auto attempt = "a" + std::to_string(++attempts);
            const auto answer =
                    entry.ledger.claim(claimOf(key, attempt), entry.roster, clockOf(entry));
            if (answer.verdict != ClaimVerdict::Granted) {
                continue;
            }
            RC_ASSERT(!runner.contains(key));
            if (*rc::gen::inRange(0, 4) == 0) {
                entry.ledger.report({"drivers/swaps/" + key, key, attempt, Outcome::NotRun, {}},
                                    clockOf(entry));
            } else {
                runner[key] = attempt;
                const auto outcome = *rc::gen::element(Outcome::Completed, Outcome::Unknown);
                if (*rc::gen::arbitrary<bool>()) {
                    entry.ledger.report({"drivers/swaps/" + key, key, attempt, outcome, {}},
                                        clockOf(entry));
                }
            }
        }
    }
}

} // namespace
} // namespace cyclamenlatch::dispatch
