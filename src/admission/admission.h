// Decides whether a request may enter a queue, and for which workspace it runs.
#pragma once

#include "admission/keygate.h"
#include "fleet/fleetdocument.h"
#include "global/result.h"

#include <string_view>

namespace cyclamenlatch::admission {

// presentedKey is empty when the caller sent none. The answer for an unknown key and for a wrong
// secret is the same, and takes the same steps. An open queue without a key yields an empty id.
// The gate, unless it is null, refuses withdrawn keys, and every key of a workspace without
// serveWhenIsolated while a withdrawal may have been missed (kind Unavailable).
Result<WorkspaceId> admit(const fleet::FleetDocument &fleet, const fleet::Queue &queue,
                          std::string_view presentedKey, const KeyGate *gate = nullptr);

// A queue, and the workspace whose work may enter it.
struct QueueAdmission
{
    // Belongs to the fleet document.
    const fleet::Queue *queue = nullptr;
    WorkspaceId workspace;
};

// Admits to a queue by its name. Without a good key a queue that does not exist looks like one
// that is not open, so that only holders of a key can find out which queues there are.
Result<QueueAdmission> admitTo(const fleet::FleetDocument &fleet, const QueueId &queue,
                               std::string_view presentedKey, const KeyGate *gate = nullptr);

} // namespace cyclamenlatch::admission
