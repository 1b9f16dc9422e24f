// Fleet-wide permits to start a request: one unit of its workspace's limit and one slot of its
// minion. Where a function is empty, only this entry's own counts limit the work.
#pragma once

#include "global/ids.h"

#include <functional>

namespace cyclamenlatch::dispatch {

struct StartPermits
{
    // The functions are called with the dispatcher's lock held and must not call the dispatcher.
    std::function<bool(const WorkspaceId &)> acquireWorkspace;
    std::function<void(const WorkspaceId &)> releaseWorkspace;
    std::function<bool(const WorkerId &)> acquireSlot;
    std::function<void(const WorkerId &)> releaseSlot;
};

} // namespace cyclamenlatch::dispatch
