// Amounts of processors, memory and accelerators, of a worker or of work.
#pragma once

namespace cyclamenlatch::fleet {

struct Resources
{
    // Cores.
    double processors = 0;
    // Mebibytes.
    double memoryMib = 0;
    // Whole devices.
    unsigned accelerators = 0;

    bool operator==(const Resources &) const = default;
};

} // namespace cyclamenlatch::fleet
