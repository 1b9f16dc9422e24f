// Events 1400 to 1499: maintenance waves.
#pragma once

#include "global/event.h"

namespace cyclamenlatch::maintenance {

inline constexpr Event leadershipTaken{1400, Severity::Info, "maintenance-leadership-taken",
                                       "This entry leads the waves of its data centre."};
inline constexpr Event leadershipLost{
        1401, Severity::Warning, "maintenance-leadership-lost",
        "The lease lapsed or the store is out of reach; another entry goes on."};
inline constexpr Event hostStepTaken{1402, Severity::Info, "host-step",
                                     "A host of a wave has reached its next step."};
inline constexpr Event wavePaused{
        1403, Severity::Warning, "wave-paused",
        "A wave takes no new hosts. Look at the reason, then resume the wave."};
inline constexpr Event waveFinished{1404, Severity::Info, "wave-finished",
                                    "Every host of a wave is done or set aside."};
inline constexpr Event hostSetAside{
        1405, Severity::Error, "host-set-aside",
        "A host did not come back from its reboot and counts as failed. Repair it."};
inline constexpr Event rebootRefused{1406, Severity::Warning, "reboot-refused",
                                     "The platform did not accept a reboot; it is asked again."};
inline constexpr Event recordMalformed{
        1407, Severity::Error, "maintenance-record-malformed",
        "A record in the store can't be read and is left alone. Remove or correct it."};
inline constexpr Event hostListFailed{
        1408, Severity::Warning, "host-list-failed",
        "The platform did not list its hosts; a wave waits for reboots until it does."};

inline constexpr Event entryNotRecorded{
        1409, Severity::Warning, "entry-not-recorded",
        "The store is out of reach, so that this entry serves without having recorded itself; what "
        "is leaving it learns from its peers."};
inline constexpr Event entriesAwaited{
        1410, Severity::Warning, "entries-awaited",
        "Hosts can't be rebooted until the named entries answer. Start them again, or, when a "
        "process has ended for good, say so with \"entry gone\"."};
inline constexpr Event entrySaidGone{
        1411, Severity::Warning, "entry-said-gone",
        "An operator gave their word that an entry's process has ended for good."};
inline constexpr Event waveRemoved{1412, Severity::Info, "wave-removed",
                                   "A finished wave's records were removed after their time."};

} // namespace cyclamenlatch::maintenance
