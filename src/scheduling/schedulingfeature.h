// Parts of scheduling that an operator can switch off, each by itself.
#pragma once

#include "global/nametable.h"

#include <set>

namespace cyclamenlatch::scheduling {

enum class SchedulingFeature {
    // Workspaces that wait for the same pool are served by weight.
    FairShares,
    // Jobs that are still of use to their callers go before those that are not.
    UsefulFirst,
    // Run times are expected as learned from ended runs, instead of as declared.
    RunTimes,
    // Tasks whose steps allow it are run a second time when that ends sooner.
    Copies,
    // Targets that are slow beside others get less work.
    TargetSpeeds,
};

inline constexpr NamedValue<SchedulingFeature> schedulingFeatureEntries[] = {
        {SchedulingFeature::FairShares, "fair-shares"},
        {SchedulingFeature::UsefulFirst, "useful-first"},
        {SchedulingFeature::RunTimes, "run-times"},
        {SchedulingFeature::Copies, "copies"},
        {SchedulingFeature::TargetSpeeds, "target-speeds"},
};
inline constexpr NameTable schedulingFeatureNames{schedulingFeatureEntries};

using SchedulingFeatures = std::set<SchedulingFeature>;

} // namespace cyclamenlatch::scheduling
