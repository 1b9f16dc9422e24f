// Any text either has mistakes, each with a remedy, or is a document that survives a round trip.
#include "fleet/fleetyaml.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace cyclamenlatch::fleet;
    const auto reading = readFleet(std::string_view(reinterpret_cast<const char *>(data), size));
    for (const auto &mistake : reading.mistakes) {
        if (mistake.remedy.empty()) {
            std::abort();
        }
    }
    if (!reading.mistakes.empty()) {
        return 0;
    }
    const auto again = readFleet(writeFleet(reading.document));
    if (!again.mistakes.empty() || !(again.document == reading.document)) {
        std::abort();
    }
    return 0;
}
