// Events 1800 to 1899: an entry on the users' platform.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::control {

inline constexpr Event controlStarted{1800, Severity::Info, "control-started",
                                      "The entry serves callers; says its name and addresses."};
inline constexpr Event controlStopping{1801, Severity::Info, "control-stopping",
                                       "The entry was told to stop; it finishes what it has."};
inline constexpr Event controlStopped{1802, Severity::Info, "control-stopped",
                                      "The entry has stopped; says how many answers were cut."};
inline constexpr Event settingsRead{1803, Severity::Info, "settings-read",
                                    "The settings file was read again after a signal."};
inline constexpr Event rulesInForce{1804, Severity::Info, "rules-in-force",
                                    "The entry uses a newer configuration; says its version."};
inline constexpr Event rulesRefused{
        1805, Severity::Error, "rules-refused",
        "The configuration can't be read; the last one stays in force."};
inline constexpr Event evacuationChanged{
        1808, Severity::Info, "evacuation-changed",
        "Data centres to which nothing more is sent, as operators ask; none: all are in use."};
inline constexpr Event storeUnavailable{1806, Severity::Warning, "store-lost",
                                        "The store does not answer this entry; jobs are refused."};
inline constexpr Event storeRecovered{1807, Severity::Info, "store-regained",
                                      "The store answers this entry again."};
inline constexpr Event ownershipGained{1810, Severity::Info, "ownership-gained",
                                       "This entry owns the fleet's work; says the term."};
inline constexpr Event ownershipLost{1811, Severity::Warning, "ownership-lost",
                                     "This entry no longer owns the work; says why."};
inline constexpr Event ownerLoaded{1812, Severity::Info, "owner-loaded",
                                   "The owner has read the stored jobs; says how many."};
inline constexpr Event ownershipSuspended{
        1818, Severity::Warning, "ownership-doubted",
        "The ownership could not be renewed in time; nothing is ordered until the store tells."};
inline constexpr Event ownershipResumed{
        1819, Severity::Info, "ownership-resumed",
        "The store has renewed the ownership; nobody else owned in between."};
inline constexpr Event recordUnreadable{1813, Severity::Error, "record-unreadable",
                                        "A record in the store can't be read and is left alone."};
inline constexpr Event taskDecision{1814, Severity::Info, "task-decision",
                                    "A task was started, ended, lost or stopped; says why."};
inline constexpr Event jobEnded{1815, Severity::Info, "job-ended", "A job has ended; says how."};
inline constexpr Event targetUnreachable{
        1816, Severity::Warning, "target-lost",
        "A target does not answer; its work is safe until its lease ends."};
inline constexpr Event targetRecovered{1817, Severity::Info, "target-regained",
                                       "A target answers again."};
inline constexpr Event jobAccepted{1820, Severity::Info, "job-accepted",
                                   "A job is stored; from now on it is run."};
inline constexpr Event jobRefused{
        1821, Severity::Info, "job-refused",
        "A caller's request was refused; says with which status and why."};
inline constexpr Event jobOutcomeUnknown{
        1822, Severity::Warning, "job-unclear",
        "The store did not say whether a job was stored; the caller asks again."};
inline constexpr Event jobCancelAccepted{1823, Severity::Info, "job-cancel-accepted",
                                         "A job's cancelling is stored."};
inline constexpr Event linesDropped{
        1824, Severity::Warning, "lines-dropped",
        "More was logged than could be written; says how many lines are missing."};
inline constexpr Event hostDecision{
        1830, Severity::Info, "host-decision",
        "A machine is emptied, moved or taken down for upkeep; says why."};
inline constexpr Event poolState{1832, Severity::Info, "pool-state",
                                 "What a pool has and has to do: cores, core-seconds, hosts."};
inline constexpr Event ownerWork{
        1833, Severity::Info, "owner-work",
        "What the owner's loop did in the last second: count/milliseconds by kind of work."};
inline constexpr Event waveChanged{1831, Severity::Info, "wave-changed",
                                   "A wave has begun or is completed."};

} // namespace cyclamenlatch::control
