// Any text either has mistakes, each with a remedy, or gives whole settings.
#include "app/entrysettings.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using cyclamenlatch::app::readEntrySettings;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto reading = readEntrySettings(text);
    for (const auto &mistake : reading.mistakes) {
        if (mistake.message.empty() || mistake.remedy.empty()) {
            std::abort();
        }
    }
    const auto &settings = reading.settings;
    const bool isWhole = !settings.entry.empty() && !settings.dataCentre.empty()
                         && !settings.peers.secret.empty() && !settings.platformUrl.empty()
                         && settings.threads > 0 && settings.platformCallsPerSecond > 0;
    if (reading.mistakes.empty() && !isWhole) {
        std::abort();
    }
    return 0;
}
