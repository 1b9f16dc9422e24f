// A target's description of itself.
#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

struct TargetInfo
{
    // A target may restart under the same id; see incarnation.
    std::string id;
    std::string service;
    // Address and port.
    std::string address;
    std::string dataCentre;
    // Name of the host that the target runs on; empty when it is not reported.
    std::string host;
    bool isDraining = false;
    Resources capacity;
    std::vector<std::string> labels;
    // Time of the target's start in Unix milliseconds, which tells its incarnations apart; 0: not
    // known.
    std::int64_t incarnation = 0;

    bool hasLabel(const std::string &label) const
    {
        for (const auto &own : labels) {
            if (own == label) {
                return true;
            }
        }
        return false;
    }
    // The rack is the second label; empty when there is none.
    const std::string &rack() const
    {
        static const std::string none;
        return labels.size() > 1 ? labels[1] : none;
    }
};

} // namespace cyclamenlatch::scheduling
