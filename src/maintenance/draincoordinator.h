// Makes sure that workers are used by nobody before they stop. On every entry it follows the
// leaving marks of each scope (a data centre's waves, or the pools) and answers what the entry
// still has with the workers; for the scopes that this entry leads it asks all entries.
// Lock order: m_mutex, then the locks of the part that sends requests (through the hooks).
#pragma once

#include "maintenance/drainhooks.h"
#include "maintenance/entryrecord.h"
#include "maintenance/leavingmarks.h"
#include "maintenance/quietcollector.h"
#include "membership/peerbus.h"

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenlatch::maintenance {

class DrainCoordinator
{
public:
    DrainCoordinator(membership::PeerBus &peers, DrainHooks hooks);

    // Call before the peer bus starts.
    void subscribe();
    // Takes marks that were read from the store.
    void take(const DrainPoll &poll);
    // The assignments that this entry has read and routes by; see LeavingMarks.
    void noteRead(store::StoreRevision revision,
                  std::unordered_map<WorkerId, store::StoreRevision> records);
    // Tells every entry, this one included, of the marks and asks what is left; repeat it while
    // there are marks, and once after the last one is gone.
    void ask(const DrainPoll &poll);
    // Asks peers for the marks that they know, when the store can't be read.
    void askForMarks();
    // The marks of a scope that every entry has lately confirmed, with nothing in flight and no
    // connection open. The records must be at least as new as the scope's marks.
    std::unordered_map<WorkerId, store::StoreRevision> quiet(const std::string &scope,
                                                             const EntryRecords &records) const;
    // The entries that some mark of the scope waits for.
    std::vector<EntryId> waitingFor(const std::string &scope, const EntryRecords &records) const;

private:
    void onMessage(const membership::PeerMessage &message);
    DrainAnswer answer(const DrainPoll &poll);
    void sendKnownMarks(const EntryId &to);
    std::vector<EntryId> allEntries(const EntryRecords &records) const;

    membership::PeerBus &m_peers;
    const DrainHooks m_hooks;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex.
    LeavingMarks m_marks;
    // By scope.
    std::map<std::string, QuietCollector> m_collectors;
};

} // namespace cyclamenlatch::maintenance
