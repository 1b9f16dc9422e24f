// What is recorded of one entry's life.
#pragma once

#include "global/nametable.h"

namespace cyclamenlatch::maintenance {

enum class EntryPresence {
    // It may have requests with any worker.
    Present,
    // It said itself, with nothing in flight any more, that it ends.
    Left,
    // An operator gave their word that its process has ended for good.
    Gone,
};

inline constexpr NamedValue<EntryPresence> entryPresenceEntries[] = {
        {EntryPresence::Present, "present"},
        {EntryPresence::Left, "left"},
        {EntryPresence::Gone, "gone"},
};
inline constexpr NameTable entryPresenceNames{entryPresenceEntries};

} // namespace cyclamenlatch::maintenance
