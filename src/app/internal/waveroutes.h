// The operator routes of maintenance waves.
#pragma once

#include "maintenance/waveoperations.h"
#include "operatorapi/operatorapi.h"

namespace cyclamenlatch::app::detail {

// GET /v1/waves[/NAME], POST /v1/waves/{plan,start,pause,resume}. Bodies are JSON objects with
// "wave", and for plan and start "selector" and the fields of WaveSettings.
void addWaveRoutes(operatorapi::OperatorApi &api, maintenance::WaveOperations &waves);

} // namespace cyclamenlatch::app::detail
