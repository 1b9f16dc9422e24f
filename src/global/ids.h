// The identifier types that all modules share.
#pragma once

#include "global/id.h"

namespace cyclamenlatch {

using DataCentreId = Id<struct DataCentreTag>;
using EntryId = Id<struct EntryTag>;
using JobId = Id<struct JobTag>;
using KeyId = Id<struct KeyTag>;
using MinionId = Id<struct MinionTag>;
using PoolId = Id<struct PoolTag>;
using QueueId = Id<struct QueueTag>;
using RackId = Id<struct RackTag>;
using ServiceId = Id<struct ServiceTag>;
using WaveId = Id<struct WaveTag>;
using WorkerId = Id<struct WorkerTag>;
using WorkspaceId = Id<struct WorkspaceTag>;

} // namespace cyclamenlatch
