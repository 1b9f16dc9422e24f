// Log events 1800 to 1899: an entry on the users' platform.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::control {

inline constexpr Event controlStarted{1800, Severity::Info, "control-started",
                                      "The entry serves callers; says its addresses."};
inline constexpr Event controlStopping{
        1801, Severity::Info, "control-stopping",
        "The entry received a stop signal; it answers the open requests, then exits."};
inline constexpr Event controlStopped{
        1802, Severity::Info, "control-stopped",
        "The entry has stopped; says how many requests were left unanswered."};
inline constexpr Event settingsRead{
        1803, Severity::Info, "settings-read",
        "The settings file was read again after SIGHUP; says whether it is in force."};
inline constexpr Event rulesInForce{1804, Severity::Info, "rules-in-force",
                                    "The entry uses a newer configuration; says its version."};
inline constexpr Event rulesRefused{
        1805, Severity::Error, "rules-refused",
        "The configuration in the store can't be read; the previous one stays in force."};
inline constexpr Event evacuationChanged{
        1808, Severity::Info, "evacuation-changed",
        "Operators changed which data centres get no more work; an empty list: all are in use."};
inline constexpr Event storeUnavailable{
        1806, Severity::Warning, "store-unavailable",
        "The platform's store does not answer this entry; new jobs are refused."};
inline constexpr Event storeRecovered{1807, Severity::Info, "store-recovered",
                                      "The platform's store answers this entry again."};
inline constexpr Event ownershipGained{
        1810, Severity::Info, "ownership-gained",
        "This entry has become the owner of the fleet's work; says the term."};
inline constexpr Event ownershipLost{
        1811, Severity::Warning, "ownership-lost",
        "This entry is no longer the owner of the fleet's work; says why."};
inline constexpr Event ownerLoaded{1812, Severity::Info, "owner-loaded",
                                   "The owner has read the stored jobs; says how many."};
inline constexpr Event ownershipSuspended{
        1818, Severity::Warning, "ownership-suspended",
        "The owner's lease could not be renewed in time; the owner sends no orders until the store "
        "confirms or ends the lease."};
inline constexpr Event ownershipResumed{
        1819, Severity::Info, "ownership-resumed",
        "The store has renewed the lease of a suspended owner; no other entry owned in between."};
inline constexpr Event recordUnreadable{
        1813, Severity::Error, "record-unreadable",
        "A record in the store can't be decoded; it is left unchanged."};
inline constexpr Event taskDecision{
        1814, Severity::Info, "task-decision",
        "The owner has started, ended, lost or stopped a task; says why."};
inline constexpr Event recordRejected{
        1836, Severity::Error, "record-rejected",
        "The store does not take the record of a job, most likely for its size; other jobs go on. "
        "The "
        "record is sent without checkpoints if it has any, or again later."};
inline constexpr Event jobEnded{1815, Severity::Info, "job-ended", "A job has ended; says how."};
inline constexpr Event targetUnreachable{
        1816, Severity::Warning, "target-unreachable",
        "A target does not answer the owner; its runs go on until their leases expire."};
inline constexpr Event callersLimited{
        1828, Severity::Warning, "callers-limited",
        "Requests were refused or connections closed at a limit on what callers may make this "
        "entry "
        "hold; says how many by limit since the last such line, and what is held now."};
inline constexpr Event targetRecovered{1817, Severity::Info, "target-recovered",
                                       "A target answers the owner again."};
inline constexpr Event targetAssigned{
        1825, Severity::Info, "target-assigned",
        "A target came into use that the platform had listed before: the configuration or a job "
        "names its service now."};
inline constexpr Event orderAnsweredByOther{
        1826, Severity::Warning, "order-answered-by-other",
        "An order was answered on another clock than that of the incarnation that it was for; says "
        "both clocks."};
inline constexpr Event orderNotDelivered{
        1827, Severity::Info, "order-not-delivered",
        "An order was not sent, because the target has restarted; says for which incarnation it "
        "was."};
inline constexpr Event jobAccepted{1820, Severity::Info, "job-accepted",
                                   "A caller's job is stored; the owner will run it."};
inline constexpr Event jobRefused{
        1821, Severity::Info, "job-refused",
        "A caller's request was refused; says with which status and why."};
inline constexpr Event jobOutcomeUnknown{
        1822, Severity::Warning, "job-outcome-unknown",
        "The store did not confirm whether a caller's request took effect; the caller has to "
        "repeat it."};
inline constexpr Event jobCancelAccepted{1823, Severity::Info, "job-cancel-accepted",
                                         "The cancellation of a job is stored."};
inline constexpr Event unknownJobCancelled{
        1829, Severity::Info, "unknown-job-cancelled",
        "A caller cancelled an id under which no job is stored; a submission under that id is "
        "refused from now on."};
inline constexpr Event tombstonesExpired{
        1837, Severity::Info, "tombstones-expired",
        "The owner removes old tombstones, records of cancelled ids under which no job was stored; "
        "says how many it removes and keeps."};
inline constexpr Event linesDropped{
        1824, Severity::Warning, "lines-dropped",
        "Log lines were dropped, because the buffer was full; says how many."};
inline constexpr Event hostDecision{
        1830, Severity::Info, "host-decision",
        "The owner drains a host, moves it or sends it to maintenance; says why."};
inline constexpr Event poolState{1832, Severity::Info, "pool-state",
                                 "Hosts, cores in demand and waiting core-seconds of a pool."};
inline constexpr Event ownerWork{
        1833, Severity::Info, "owner-work",
        "Work of the owner's event loop in the last second: count/milliseconds by kind."};
inline constexpr Event runTimesStored{
        1834, Severity::Info, "run-times-stored",
        "The owner has stored the run times that it has learned; says for how many kinds of work, "
        "and by queue the mean errors of learned and of declared times, as factors."};
inline constexpr Event runTimesRestored{
        1835, Severity::Info, "run-times-restored",
        "The owner goes on with the run times that an earlier one has learned; says how many kinds "
        "of work they are for."};
inline constexpr Event waveChanged{1831, Severity::Info, "wave-changed",
                                   "The stored progress of a maintenance wave has changed."};

} // namespace cyclamenlatch::control
