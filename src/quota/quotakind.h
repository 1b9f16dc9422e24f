// The kinds of divisible rights that entries share.
#pragma once

#include "global/nametable.h"

#include <cstdint>

namespace cyclamenlatch::quota {

enum class QuotaKind : std::uint8_t {
    // What a workspace may have running over the whole fleet. Never exceeded.
    WorkspaceLimit = 1,
    // What a minion runs at once. Exceeding it costs time only.
    MinionSlots = 2,
};

inline constexpr NamedValue<QuotaKind> quotaKindEntries[] = {
        {QuotaKind::WorkspaceLimit, "workspace-limit"},
        {QuotaKind::MinionSlots, "minion-slots"},
};
inline constexpr NameTable quotaKindNames{quotaKindEntries};

} // namespace cyclamenlatch::quota
