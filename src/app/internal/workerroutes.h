// The operator routes of workers and their pools.
#pragma once

#include "capacity/poolcontroller.h"
#include "operatorapi/operatorapi.h"

namespace cyclamenlatch::app::detail {

// GET /v1/workers; POST /v1/workers/move with {"worker", "pool"} and optionally the "revision"
// that the move was decided on.
void addWorkerRoutes(operatorapi::OperatorApi &api, capacity::PoolController &pools);

} // namespace cyclamenlatch::app::detail
