// What a target says of itself.
#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenlatch::scheduling {

struct TargetInfo
{
    // Names one target; a target may start anew under the same id.
    std::string id;
    std::string service;
    // Address and port.
    std::string address;
    std::string dataCentre;
    // The machine that it is one life of; empty when it does not say.
    std::string host;
    bool isDraining = false;
    Resources capacity;
    std::vector<std::string> labels;
    // Unix milliseconds of its start; tells lives apart. 0: not known.
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
    // The second label; empty when it has none.
    const std::string &rack() const
    {
        static const std::string none;
        return labels.size() > 1 ? labels[1] : none;
    }
};

} // namespace cyclamenlatch::scheduling
